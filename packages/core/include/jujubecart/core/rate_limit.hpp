#ifndef JUJUBECART_CORE_RATE_LIMIT_HPP
#define JUJUBECART_CORE_RATE_LIMIT_HPP

#include <compare>
#include <cstdint>

namespace jujubecart::core {

/// @brief Rate of requests that a backend server accepts from all entry VMs
/// together, as it states in its responses.
struct RateLimit {
  /// Thousandths of a request per second.
  std::uint32_t MilliPerS = 0;

  friend auto operator<=>(const RateLimit &, const RateLimit &) = default;
};

} // namespace jujubecart::core

#endif
