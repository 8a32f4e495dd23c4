#ifndef JUJUBECART_CORE_REQUEST_ID_HPP
#define JUJUBECART_CORE_REQUEST_ID_HPP

#include <jujubecart/core/error.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace jujubecart::core {

/// @brief Identifies one request received by one entry VM.
struct RequestId {
  std::uint64_t Value = 0;

  friend auto operator<=>(const RequestId &, const RequestId &) = default;
};

/// @brief Creates a random request id.
/// @return An id that is unique in the fleet with overwhelming probability.
[[nodiscard]] RequestId newRequestId();

/// @brief Formats an id as 16 hexadecimal digits.
/// @param Id The id.
/// @return Lower-case hexadecimal text.
[[nodiscard]] std::string toString(RequestId Id);

/// @brief Parses the format of @ref toString.
/// @param Text 16 hexadecimal digits.
/// @return The id or Error::Malformed.
[[nodiscard]] Result<RequestId> parseRequestId(std::string_view Text) noexcept;

} // namespace jujubecart::core

#endif
