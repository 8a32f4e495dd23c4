#ifndef JUJUBECART_OPERATORS_SRC_QUERY_STRING_HPP
#define JUJUBECART_OPERATORS_SRC_QUERY_STRING_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecart::operators::internal {

/// @brief Parameter of a query string.
struct QueryParameter {
  std::string Name;
  /// Decoded; empty if it is not percent-encoded text or has control
  /// characters.
  std::optional<std::string> Value;
};

/// @brief Splits a query string at `&` and `=`, and decodes the values. A
/// parameter without `=` has an empty text for its value.
/// @param Text Query string without the question mark.
[[nodiscard]] std::vector<QueryParameter> parseQuery(std::string_view Text);

/// @brief Appends a percent-encoded value.
void appendEncoded(std::string_view Value, std::string &Out);

/// @brief Value of two hexadecimal digits; nothing for any other text.
[[nodiscard]] std::optional<std::uint8_t> hexByte(std::string_view Digits);

/// @brief Appends a byte as two hexadecimal digits in lower case.
void appendHex(std::uint8_t Byte, std::string &Out);

} // namespace jujubecart::operators::internal

#endif
