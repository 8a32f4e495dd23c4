#ifndef JUJUBECART_CALLERS_SERVER_COUNTERS_HPP
#define JUJUBECART_CALLERS_SERVER_COUNTERS_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace jujubecart::callers {

/// @brief Why the system answered a request itself.
enum class RejectReason : std::uint8_t {
  Malformed,
  NoRule,
  NotReady,
  TooLarge,
  Slow,
  OrderRepeated,
  Overloaded,
  Unavailable,
  DeadlineExceeded,
  BadResponse,
  CallerGone,
  ConnectionLimit,
};

constexpr std::size_t RejectReasons = 12;

/// @brief Readable name of a reason, for metrics and events.
[[nodiscard]] std::string_view toString(RejectReason Reason) noexcept;

/// @brief Numbers for metrics, since the start.
struct ServerCounters {
  std::uint64_t AcceptedConnections = 0;
  std::uint64_t Received = 0;
  /// Responses of backend servers passed on in full.
  std::uint64_t Completed = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Hedges = 0;
  /// Responses that broke off after their head had been passed on.
  std::uint64_t CutResponses = 0;
  /// Indexed by RejectReason.
  std::array<std::uint64_t, RejectReasons> Rejected{};
  /// Now.
  std::uint64_t InFlight = 0;
  /// Now.
  std::uint64_t OpenConnections = 0;

  /// @brief Requests rejected for a reason.
  [[nodiscard]] std::uint64_t rejected(RejectReason Reason) const noexcept {
    return Rejected[static_cast<std::size_t>(Reason)];
  }
};

} // namespace jujubecart::callers

#endif
