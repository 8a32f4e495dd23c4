#ifndef JUJUBECART_OPERATORS_SETTINGS_FILE_HPP
#define JUJUBECART_OPERATORS_SETTINGS_FILE_HPP

#include <jujubecart/operators/fwd.hpp>

#include <optional>
#include <string>

namespace jujubecart::operators {

/// @brief Detects changes of the settings file while the process runs.
class SettingsFile {
public:
  /// @brief Remembers the current content of the file.
  /// @param Path File from which the process has read its settings.
  explicit SettingsFile(std::string Path);

  [[nodiscard]] const std::string &path() const noexcept { return Path; }

  /// @brief Compares the file with the content remembered before, then
  /// remembers the new content.
  /// @return Whether it differs; false while the file cannot be read, for
  /// example in the middle of a replacement.
  [[nodiscard]] bool checkForChange();

private:
  std::string Path;
  std::optional<std::string> LastContent;
};

} // namespace jujubecart::operators

#endif
