#ifndef JUJUBECART_PEERS_HEALTH_PROBER_HPP
#define JUJUBECART_PEERS_HEALTH_PROBER_HPP

#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/config.hpp>
#include <jujubecart/decision/probe_result.hpp>

namespace jujubecart::peers {

/// @brief Sends health probes to backend servers.
class HealthProber {
public:
  virtual ~HealthProber() = default;

  /// @brief Reads the health endpoint of a backend server once.
  /// @return The reported state and load; Unreachable if there was no valid
  /// response by the deadline.
  [[nodiscard]] virtual core::Awaitable<decision::ProbeResult>
  probe(core::BackendServer Server, core::TimePoint Deadline) = 0;
};

} // namespace jujubecart::peers

#endif
