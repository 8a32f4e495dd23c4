#ifndef JUJUBECART_CORE_DURATION_TEXT_HPP
#define JUJUBECART_CORE_DURATION_TEXT_HPP

#include <cstdint>
#include <optional>
#include <string_view>

namespace jujubecart::core {

/// @brief Parses a time such as `1500ms` or `2.5s`.
/// @return Milliseconds, or nothing for other text, negative times and times
/// of more than 49 days.
[[nodiscard]] std::optional<std::uint32_t>
parseMilliseconds(std::string_view Text);

} // namespace jujubecart::core

#endif
