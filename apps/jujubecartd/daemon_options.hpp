#ifndef JUJUBECART_APPS_JUJUBECARTD_DAEMON_OPTIONS_HPP
#define JUJUBECART_APPS_JUJUBECARTD_DAEMON_OPTIONS_HPP

#include <jujubecart/backends/pool_options.hpp>
#include <jujubecart/callers/server_options.hpp>
#include <jujubecart/decision/retry_budget.hpp>
#include <jujubecart/operators/settings.hpp>
#include <jujubecart/peers/peer_options.hpp>

#include <chrono>
#include <string>

namespace jujubecart::daemon {

/// @brief Options of the HTTP server for callers.
[[nodiscard]] callers::ServerOptions
callerOptions(const operators::Settings &Settings);

/// @brief Limits of the retries that this VM sends to each service.
/// @param Vms Number of VMs that share the limit of the fleet.
[[nodiscard]] decision::RetryBudgetOptions
retryOptions(const operators::Settings &Settings, std::size_t Vms);

/// @brief Maximum time from SIGTERM until requests in flight are cut off.
[[nodiscard]] std::chrono::milliseconds
shutdownTimeout(const operators::Settings &Settings);

/// @brief How long new connections are still accepted after SIGTERM; 0 unless
/// directory mode is enabled.
[[nodiscard]] std::chrono::milliseconds
leaveDuration(const operators::Settings &Settings);

/// @brief Options of the connection pool for backend servers.
[[nodiscard]] backends::PoolOptions
poolOptions(const operators::Settings &Settings);

/// @brief Options of the links to other entry VMs.
/// @param Incarnation Start time of the process in Unix milliseconds; it tells
/// a restarted VM from its predecessor.
/// @param Time Stated to the other VMs if they need it; must outlive the links.
[[nodiscard]] peers::PeerOptions
peerOptions(const operators::Settings &Settings, std::uint64_t Incarnation,
            const core::Clock &Time);

/// @brief Maps the policy setting to the name of a local policy. With
/// `dispatcher` this is the fallback, power of two choices.
[[nodiscard]] std::string localPolicyName(const std::string &Policy);

} // namespace jujubecart::daemon

#endif
