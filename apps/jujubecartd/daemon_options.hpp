#ifndef JUJUBECART_APPS_JUJUBECARTD_DAEMON_OPTIONS_HPP
#define JUJUBECART_APPS_JUJUBECARTD_DAEMON_OPTIONS_HPP

#include <jujubecart/backends/pool_options.hpp>
#include <jujubecart/callers/server_options.hpp>
#include <jujubecart/operators/settings.hpp>
#include <jujubecart/peers/peer_options.hpp>

#include <chrono>
#include <string>

namespace jujubecart::daemon {

/// @brief Options of the server for callers.
[[nodiscard]] callers::ServerOptions
callerOptions(const operators::Settings &All);

/// @brief Longest time from SIGTERM to the end of the process.
[[nodiscard]] std::chrono::milliseconds
shutdownTime(const operators::Settings &All);

/// @brief How long new connections are served after SIGTERM.
[[nodiscard]] std::chrono::milliseconds
leaveTime(const operators::Settings &All);

/// @brief Options of the connections to backend servers.
[[nodiscard]] backends::PoolOptions
poolOptions(const operators::Settings &Settings);

/// @brief Options of the links to other entry VMs.
/// @param Incarnation Start time of the process in Unix milliseconds.
[[nodiscard]] peers::PeerOptions peerOptions(const operators::Settings &All,
                                             std::uint64_t Incarnation);

/// @brief Name of the local policy that a policy setting selects; the
/// dispatcher falls back to power of two choices.
[[nodiscard]] std::string localPolicy(const std::string &Policy);

} // namespace jujubecart::daemon

#endif
