#include <jujubecart/operators/settings_file.hpp>

#include <jujubecart/operators/text_file.hpp>

#include <utility>

namespace jujubecart::operators {

SettingsFile::SettingsFile(std::string Path)
    : Path(std::move(Path)), LastContent(readTextFile(this->Path)) {}

// Compares the content instead of the modification time: a file written twice
// within the resolution of its time stamp would look unchanged.
bool SettingsFile::checkForChange() {
  auto Content = readTextFile(Path);
  if (!Content || Content == LastContent)
    return false;
  LastContent = std::move(Content);
  return true;
}

} // namespace jujubecart::operators
