#ifndef JUJUBECART_CORE_CONFIG_HPP
#define JUJUBECART_CORE_CONFIG_HPP

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jujubecart::core {

/// @brief Monotonically increasing number of an accepted configuration.
using Revision = std::uint64_t;

/// @brief Whether operators allow new work on a backend server.
enum class ServerState : std::uint8_t { Active, Draining };

/// @brief One backend server of a service.
struct BackendServer {
  std::string Id;
  /// `IP:port`.
  std::string Address;
  std::string Zone;
  std::uint32_t Slots = 1;
  /// Connections allowed for the whole fleet.
  std::uint32_t Connections = 100;
  ServerState State = ServerState::Active;
  /// Start of the process in Unix milliseconds, 0 if unknown.
  std::uint64_t Incarnation = 0;
  std::string HealthPath = "/health";

  friend auto operator<=>(const BackendServer &,
                          const BackendServer &) = default;
};

/// @brief Maps callers' requests to a service; an empty host matches any.
struct RouteRule {
  std::string Host;
  std::string PathPrefix;

  friend auto operator<=>(const RouteRule &, const RouteRule &) = default;
};

/// @brief Whether the calls of a service are idempotent.
enum class ServiceKind : std::uint8_t { Lookup, Order };

/// @brief Where claims of idempotency keys are kept.
enum class OrderKeyMode : std::uint8_t { Durable, Memory };

/// @brief What the choice of backend servers aims at.
enum class PolicyProfile : std::uint8_t {
  Tail,
  /// As Tail, with less measurement.
  Cost,
  /// Latency objectives of calls that take far longer than the network.
  Objective,
};

/// @brief Complete state of one service.
struct ServiceConfig {
  std::string Name;
  ServiceKind Kind = ServiceKind::Lookup;
  std::vector<RouteRule> Rules;
  std::vector<BackendServer> Servers;
  /// Region of each availability zone.
  std::map<std::string, std::string> Zones;
  /// Relative deadline of requests without one, in milliseconds.
  std::uint32_t DefaultDeadlineMs = 2000;
  /// Lower is served first under overload.
  std::uint8_t Priority = 5;
  /// Budget of the whole fleet for health probes, per second.
  std::uint32_t MeasurePerS = 10;
  OrderKeyMode OrderKeys = OrderKeyMode::Durable;
  std::uint32_t OrderKeyRetentionS = 600;
  PolicyProfile Profile = PolicyProfile::Tail;

  friend auto operator<=>(const ServiceConfig &,
                          const ServiceConfig &) = default;
};

} // namespace jujubecart::core

#endif
