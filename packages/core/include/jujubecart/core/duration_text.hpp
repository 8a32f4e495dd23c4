#ifndef JUJUBECART_CORE_DURATION_TEXT_HPP
#define JUJUBECART_CORE_DURATION_TEXT_HPP

#include <cstdint>
#include <optional>
#include <string_view>

namespace jujubecart::core {

/// @brief Parses a duration such as `1500ms` or `2.5s`.
/// @return Milliseconds, or nothing if the text is not a duration, or the
/// duration is negative or does not fit 32 bits (about 49 days).
[[nodiscard]] std::optional<std::uint32_t>
parseMilliseconds(std::string_view Text);

} // namespace jujubecart::core

#endif
