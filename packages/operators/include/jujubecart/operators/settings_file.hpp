#ifndef JUJUBECART_OPERATORS_SETTINGS_FILE_HPP
#define JUJUBECART_OPERATORS_SETTINGS_FILE_HPP

#include <jujubecart/operators/fwd.hpp>

#include <optional>
#include <string>

namespace jujubecart::operators {

/// @brief Settings file of a process, which may be replaced while it runs.
class SettingsFile {
public:
  /// @param Path File that the process has read its settings from.
  explicit SettingsFile(std::string Path);

  [[nodiscard]] const std::string &path() const noexcept { return Path; }

  /// @brief Compares the content with the one seen by the last call.
  /// @return Whether it differs; false while the file cannot be read, as in
  /// the middle of a replacement.
  [[nodiscard]] bool changed();

private:
  std::string Path;
  std::optional<std::string> Seen;
};

} // namespace jujubecart::operators

#endif
