#ifndef JUJUBECART_OPERATORS_TEXT_FILE_HPP
#define JUJUBECART_OPERATORS_TEXT_FILE_HPP

#include <optional>
#include <string>

namespace jujubecart::operators {

/// @brief Reads a whole file.
/// @return The content, or nothing if the file cannot be read or is empty.
[[nodiscard]] std::optional<std::string> readTextFile(const std::string &Path);

} // namespace jujubecart::operators

#endif
