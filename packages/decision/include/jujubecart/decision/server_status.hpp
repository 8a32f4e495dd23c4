#ifndef JUJUBECART_DECISION_SERVER_STATUS_HPP
#define JUJUBECART_DECISION_SERVER_STATUS_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace jujubecart::decision {

/// @brief Health of a backend server as judged by a dispatcher.
enum class ServerHealth : std::uint8_t {
  Active,
  /// Slow start.
  Ramping,
  /// Outstanding calls are far over the expected time.
  Suspect,
  /// Outlier ejection; one trial request at a time.
  Ejected,
  Draining,
};

/// @brief State of one backend server at a dispatcher.
struct ServerStatus {
  std::string Id;
  ServerHealth Health = ServerHealth::Active;
  /// Outstanding grants, adopted ones included.
  std::uint32_t InFlight = 0;
  /// Most outstanding grants allowed now.
  std::uint32_t Limit = 0;
  /// Estimated service time.
  std::chrono::microseconds ServiceTime{0};
};

/// @brief Readable name of a health state.
[[nodiscard]] std::string_view toString(ServerHealth Health) noexcept;

} // namespace jujubecart::decision

#endif
