#ifndef JUJUBECART_CALLERS_SERVER_OPTIONS_HPP
#define JUJUBECART_CALLERS_SERVER_OPTIONS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace jujubecart::callers {

/// @brief Limits of the server for callers.
struct ServerOptions {
  std::size_t MaxConnections = 20000;
  std::size_t MaxHead = 16384;
  std::uint64_t MaxBody = 16777216;
  /// Bodies up to this size are read before a slot is asked for, so that a
  /// slow sender holds no slot and a second attempt can send them again.
  std::size_t BufferedBody = 16384;
  std::chrono::milliseconds HeadTimeout{10000};
  std::chrono::milliseconds BodyTimeout{10000};
  std::chrono::milliseconds IdleTimeout{60000};
  std::chrono::milliseconds WriteTimeout{30000};
  /// Responses of backend servers up to this size are read whole before the
  /// caller gets the first byte; memory per response that is under way.
  std::size_t BufferedResponse = 16384;
  /// Cap of a caller's deadline and of a service's default.
  std::chrono::milliseconds MaxDeadline{30000};
  /// Attempts of one call, the first one included.
  std::uint32_t MaxAttempts = 2;
  /// A second attempt is made only if this much time is left.
  std::chrono::milliseconds MinRetryTime{20};
  /// Delay before a lookup is hedged; 0 turns hedging off.
  std::chrono::milliseconds HedgeDelay{0};
  std::uint32_t MaxCallDepth = 16;
  /// Value of `Retry-After` if the dispatcher gives no advice.
  std::chrono::milliseconds RetryAfter{1000};
  /// Whether a response that fits into BufferedResponse is read to its end
  /// before the caller gets the first byte, so that one that breaks off can be
  /// replaced by a second attempt.
  bool HoldResponses = false;
  /// How long idle connections can still send a request after stop.
  std::chrono::milliseconds StopIdleGrace{500};
};

} // namespace jujubecart::callers

#endif
