#ifndef JUJUBECART_CORE_HTTP_RULES_HPP
#define JUJUBECART_CORE_HTTP_RULES_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubecart::core {

/// @brief Compares ASCII text such as header field names, ignoring case.
[[nodiscard]] bool equalsIgnoreCase(std::string_view Left,
                                    std::string_view Right) noexcept;

/// @brief Validates the raw bytes of an HTTP/1.1 message head.
///
/// Stricter than most parsers: rejects everything that two parsers could
/// interpret differently, to prevent request smuggling.
/// @param Head Start line and header fields, up to and including the empty
/// line.
/// @return Error message, or nullptr if the head is valid.
[[nodiscard]] const char *validateHead(std::string_view Head) noexcept;

/// @brief Validates the raw bytes of the head of a response: in addition to
/// validateHead(), its version and its status code (100 to 599).
/// @return Error message, or nullptr if the head is valid.
[[nodiscard]] const char *validateResponseHead(std::string_view Head) noexcept;

/// @brief Whether a header field is hop-by-hop and must not be forwarded.
/// @param Name Name of the field.
/// @param Connection Value of the `Connection` field, whose options are
/// hop-by-hop fields too.
[[nodiscard]] bool isHopByHop(std::string_view Name,
                              std::string_view Connection) noexcept;

/// @brief Joins the values of all `Connection` fields to one list.
template <typename Fields>
[[nodiscard]] std::string connectionOptions(const Fields &Head) {
  std::string List;
  for (const auto &Field : Head)
    if (equalsIgnoreCase(Field.name_string(), "connection"))
      List.append(List.empty() ? "" : ",").append(Field.value());
  return List;
}

/// @brief Removes the spaces and tabs at both ends of a header field value.
[[nodiscard]] std::string_view trim(std::string_view Text) noexcept;

/// @brief Parses an unsigned decimal number.
/// @return The number, or nothing if the text has any other character or the
/// number does not fit 64 bits.
[[nodiscard]] std::optional<std::uint64_t>
parseDecimal(std::string_view Text) noexcept;

/// @brief Appends the header field line `Name: Value` with its CRLF.
void appendField(std::string &Out, std::string_view Name,
                 std::string_view Value);

} // namespace jujubecart::core

#endif
