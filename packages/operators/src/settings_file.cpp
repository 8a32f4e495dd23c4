#include <jujubecart/operators/settings_file.hpp>

#include <fstream>
#include <sstream>
#include <utility>

namespace jujubecart::operators {

SettingsFile::SettingsFile(std::string Path)
    : Path(std::move(Path)), Seen(content()) {}

bool SettingsFile::changed() {
  auto Now = content();
  if (!Now || Now == Seen)
    return false;
  Seen = std::move(Now);
  return true;
}

// The content is compared, since a file written twice within the resolution
// of its time stamp would look unchanged.
std::optional<std::string> SettingsFile::content() const {
  std::ifstream In(Path, std::ios::binary);
  std::ostringstream Text;
  if (!In || !(Text << In.rdbuf()))
    return std::nullopt;
  return std::move(Text).str();
}

} // namespace jujubecart::operators
