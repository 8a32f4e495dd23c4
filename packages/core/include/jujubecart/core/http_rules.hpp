#ifndef JUJUBECART_CORE_HTTP_RULES_HPP
#define JUJUBECART_CORE_HTTP_RULES_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubecart::core {

/// @brief Whether header field names or tokens are equal, ignoring case.
[[nodiscard]] bool equalsIgnoreCase(std::string_view Left,
                                    std::string_view Right) noexcept;

/// @brief Checks the raw bytes of an HTTP/1.1 message head.
///
/// Stricter than a usual parser: whatever two parsers could read differently
/// (request smuggling) is refused.
/// @param Head Start line and header fields with the empty line at the end.
/// @return What is wrong, or nullptr.
[[nodiscard]] const char *headFault(std::string_view Head) noexcept;

/// @brief Whether a field applies to one connection only.
/// @param Name Name of the field.
/// @param Connection Value of the `Connection` field, which can name more.
[[nodiscard]] bool isHopByHop(std::string_view Name,
                              std::string_view Connection) noexcept;

/// @brief Values of all `Connection` fields as one list.
template <typename Fields>
[[nodiscard]] std::string connectionOptions(const Fields &Head) {
  std::string List;
  for (const auto &Field : Head)
    if (equalsIgnoreCase(Field.name_string(), "connection"))
      List.append(List.empty() ? "" : ",").append(Field.value());
  return List;
}

/// @brief Removes spaces and tabs from both ends, as around field values.
[[nodiscard]] std::string_view trim(std::string_view Text) noexcept;

/// @brief Parses a decimal number without sign or space.
/// @return The number, or nothing if the text is anything else.
[[nodiscard]] std::optional<std::uint64_t>
parseDecimal(std::string_view Text) noexcept;

/// @brief Appends `Name: Value` and the line end.
void appendField(std::string &Out, std::string_view Name,
                 std::string_view Value);

} // namespace jujubecart::core

#endif
