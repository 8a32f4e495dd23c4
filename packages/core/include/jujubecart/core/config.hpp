#ifndef JUJUBECART_CORE_CONFIG_HPP
#define JUJUBECART_CORE_CONFIG_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/rate_limit.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jujubecart::core {

/// @brief Version number of the configuration or of a stored entry; it grows
/// with each accepted change.
using Revision = std::uint64_t;

/// @brief State set by operators; a draining server gets no new requests.
enum class ServerState : std::uint8_t { Active, Draining };

/// @brief Address, capacity and state of one backend server of a service.
struct BackendServer {
  std::string Id;
  /// `IP:port`.
  std::string Address;
  /// Availability zone.
  std::string Zone;
  /// Number of requests that the server can run at the same time.
  std::uint32_t Slots = 1;
  /// Limit for the connections of all entry VMs together.
  std::uint32_t Connections = 100;
  ServerState State = ServerState::Active;
  /// Start time of the server process in Unix milliseconds; 0 if unknown.
  std::uint64_t Incarnation = 0;
  std::string HealthPath = "/health";
  /// Until when the server is cold and accepts only ColdLimit.
  TimePoint ColdUntil = TimePoint::min();
  /// Requests that the server accepts while it is cold, from all VMs together;
  /// MilliPerS is 0 if there is no such limit.
  RateLimit ColdLimit;

  friend auto operator<=>(const BackendServer &,
                          const BackendServer &) = default;
};

/// @brief Selects the requests of a service by host and path prefix; an empty
/// host matches any.
struct RouteRule {
  std::string Host;
  std::string PathPrefix;

  friend auto operator<=>(const RouteRule &, const RouteRule &) = default;
};

/// @brief Whether the requests of a service are idempotent (Lookup) or not
/// (Order).
enum class ServiceKind : std::uint8_t { Lookup, Order };

/// @brief Where claims of idempotency keys are stored.
enum class OrderKeyMode : std::uint8_t { Durable, Memory };

/// @brief Optimization goal of the selection of backend servers.
enum class PolicyProfile : std::uint8_t {
  /// Low tail latency.
  Tail,
  /// As Tail, with fewer measurements.
  Cost,
  /// Latency objectives of requests that run far longer than a network round
  /// trip.
  Objective,
};

/// @brief Configuration of one service with its backend servers.
struct ServiceConfig {
  std::string Name;
  ServiceKind Kind = ServiceKind::Lookup;
  std::vector<RouteRule> Rules;
  std::vector<BackendServer> Servers;
  /// Region of each availability zone.
  std::map<std::string, std::string> Zones;
  /// Deadline of requests that state none, in milliseconds after arrival.
  std::uint32_t DefaultDeadlineMs = 2000;
  /// Priority under overload; lower values are served first.
  std::uint8_t Priority = 5;
  /// Limit for the health probes of the whole fleet, per second.
  std::uint32_t ProbesPerS = 10;
  OrderKeyMode OrderKeys = OrderKeyMode::Durable;
  /// Seconds for which a claimed idempotency key stays claimed.
  std::uint32_t OrderKeyRetentionS = 600;
  PolicyProfile Profile = PolicyProfile::Tail;

  friend auto operator<=>(const ServiceConfig &,
                          const ServiceConfig &) = default;
};

} // namespace jujubecart::core

#endif
