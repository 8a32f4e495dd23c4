#ifndef JUJUBECART_APPS_JUJUBECARTD_DAEMON_METRICS_HPP
#define JUJUBECART_APPS_JUJUBECARTD_DAEMON_METRICS_HPP

#include <jujubecart/backends/connection_pool.hpp>
#include <jujubecart/callers/server.hpp>
#include <jujubecart/core.hpp>
#include <jujubecart/core/config_freshness.hpp>
#include <jujubecart/peers/peer_node.hpp>

namespace jujubecart::daemon {

/// @brief Components from which metrics are read; must outlive the registry.
struct MetricSources {
  const callers::Server &Callers;
  const backends::ConnectionPool &Pool;
  peers::PeerNode &Peers;
  const core::ConfigSource &Config;
  const core::EventRing &Events;
  const core::Clock &Time;
  /// Nullptr if API keys are accepted whatever their age.
  const core::ConfigFreshness *Freshness = nullptr;
};

/// @brief Registers all metrics of the process; docs/operators.md lists them.
void registerMetrics(core::MetricsRegistry &Registry, MetricSources Sources);

} // namespace jujubecart::daemon

#endif
