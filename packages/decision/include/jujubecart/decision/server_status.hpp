#ifndef JUJUBECART_DECISION_SERVER_STATUS_HPP
#define JUJUBECART_DECISION_SERVER_STATUS_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace jujubecart::decision {

/// @brief Health of a backend server from the dispatcher's point of view.
enum class ServerHealth : std::uint8_t {
  Active,
  /// In slow start: the limit of outstanding grants rises to its full value.
  Ramping,
  /// Its calls take far longer than expected, or it fails calls but may not be
  /// ejected; it gets calls only if they would otherwise wait long.
  Suspect,
  /// Ejected as an outlier; gets one trial request at a time.
  Ejected,
  /// Gets no new calls: the operators or the server itself set it to draining.
  Draining,
};

/// @brief State of one backend server as seen by its dispatcher.
struct ServerStatus {
  std::string Id;
  ServerHealth Health = ServerHealth::Active;
  /// Calls in flight: outstanding grants and adopted calls.
  std::uint32_t InFlight = 0;
  /// Maximum number of calls in flight allowed now.
  std::uint32_t Limit = 0;
  /// Estimated mean service time; 0 before the first sample of a
  /// GroupDispatcher.
  std::chrono::microseconds ServiceTime{0};
};

/// @brief Name of a health state in lower case, such as `ejected`.
[[nodiscard]] std::string_view toString(ServerHealth Health) noexcept;

} // namespace jujubecart::decision

#endif
