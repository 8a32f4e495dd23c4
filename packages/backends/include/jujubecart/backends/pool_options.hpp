#ifndef JUJUBECART_BACKENDS_POOL_OPTIONS_HPP
#define JUJUBECART_BACKENDS_POOL_OPTIONS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace jujubecart::backends {

/// @brief Limits and timeouts of the connections to backend servers.
struct PoolOptions {
  /// Also limits each wait for a free connection. A backend server accepts a
  /// connection in about 1 ms.
  std::chrono::milliseconds ConnectTimeout{1000};
  std::chrono::milliseconds IdleTimeout{30000};
  /// An order (a request that must not be repeated) reuses a pooled connection
  /// only if a response arrived on it within this time; otherwise the
  /// connection is verified by a health request, or a new one is opened.
  std::chrono::milliseconds OrderReuseWindow{100};
  /// Limits the wait for the response to that health request. It takes a round
  /// trip and about 1 ms on the server.
  std::chrono::milliseconds VerifyTimeout{40};
  /// An attempt that times out after at least this time makes the pool close
  /// the server's connections that have been idle since before the attempt.
  std::chrono::milliseconds MinUnresponsiveTime{250};
  /// Connects in progress at a time. A new connection costs a backend server
  /// about 1 ms, so a burst of them would delay the calls that it is running.
  std::uint32_t MaxPendingConnectsPerServer = 4;
  /// Calls that wait for a connection; further ones fail at once.
  std::uint32_t MaxWaitingPerServer = 256;
  std::uint32_t MaxIdlePerServer = 32;
  /// Number of entry VMs among which the connections that a backend server
  /// accepts are divided.
  std::uint32_t FleetSize = 1;
  /// Start line and header fields of a response.
  std::size_t MaxHeadBytes = 32768;
  /// Source IP of the connections; if empty, the operating system chooses it.
  std::string SourceAddress;
  /// Availability zone of this VM; without one, no bytes between zones are
  /// counted.
  std::string Zone;
};

} // namespace jujubecart::backends

#endif
