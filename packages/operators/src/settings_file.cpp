#include <jujubecart/operators/settings_file.hpp>

#include <jujubecart/operators/text_file.hpp>

#include <utility>

namespace jujubecart::operators {

SettingsFile::SettingsFile(std::string Path)
    : Path(std::move(Path)), Seen(readTextFile(this->Path)) {}

// The content is compared, since a file written twice within the resolution
// of its time stamp would look unchanged.
bool SettingsFile::changed() {
  auto Now = readTextFile(Path);
  if (!Now || Now == Seen)
    return false;
  Seen = std::move(Now);
  return true;
}

} // namespace jujubecart::operators
