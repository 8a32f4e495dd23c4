#ifndef JUJUBECART_BACKENDS_POOL_OPTIONS_HPP
#define JUJUBECART_BACKENDS_POOL_OPTIONS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace jujubecart::backends {

/// @brief Limits of the connections to backend servers.
struct PoolOptions {
  /// A backend server accepts a connection in about 1 ms.
  std::chrono::milliseconds ConnectTimeout{1000};
  std::chrono::milliseconds IdleTimeout{30000};
  /// An order uses a pooled connection only if a response arrived on it this
  /// recently; otherwise it opens a new one.
  std::chrono::milliseconds OrderLiveWindow{100};
  /// An attempt that times out after waiting this long makes the pool close
  /// the server's connections that have been idle since before the attempt.
  std::chrono::milliseconds SilentAfter{250};
  /// A new connection costs a backend server about 1 ms, so a burst of them
  /// would delay the calls that it is running.
  std::uint32_t MaxConnectsPerServer = 4;
  std::uint32_t MaxWaitingPerServer = 256;
  std::uint32_t MaxIdlePerServer = 32;
  /// Entry VMs that share the connections of a backend server.
  std::uint32_t FleetSize = 1;
  /// Largest head of a response in bytes.
  std::size_t MaxHead = 32768;
};

} // namespace jujubecart::backends

#endif
