#ifndef JUJUBECART_CORE_REQUEST_ID_HPP
#define JUJUBECART_CORE_REQUEST_ID_HPP

#include <jujubecart/core/error.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace jujubecart::core {

/// @brief Identifies a request of a caller in the whole fleet.
struct RequestId {
  std::uint64_t Value = 0;

  friend auto operator<=>(const RequestId &, const RequestId &) = default;
};

/// @brief Creates a random id, unique in the fleet with overwhelming
/// probability.
[[nodiscard]] RequestId newRequestId();

/// @brief Formats an id as 16 lower-case hexadecimal digits.
[[nodiscard]] std::string toString(RequestId Id);

/// @brief Parses 16 hexadecimal digits, of either case.
/// @return The id or Error::Malformed.
[[nodiscard]] Result<RequestId> parseRequestId(std::string_view Text) noexcept;

} // namespace jujubecart::core

#endif
