#ifndef JUJUBECART_CORE_ROUTING_TABLE_HPP
#define JUJUBECART_CORE_ROUTING_TABLE_HPP

#include <jujubecart/core/workspace_table.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jujubecart::core {

/// @brief Service of a route, with its share of the route's requests.
struct WeightedService {
  std::string Service;
  /// Share in relation to the sum of the weights of the route.
  std::uint32_t Weight = 1;

  friend auto operator<=>(const WeightedService &,
                          const WeightedService &) = default;
};

/// @brief Handling of the requests with a given host and path prefix.
struct Route {
  std::string Name;
  /// Lower case, without port.
  std::string Host;
  std::string PathPrefix;
  /// Whether a request may be executed more than once.
  bool Idempotent = false;
  /// Priority under overload; lower values are served first.
  std::uint8_t Priority = 5;
  /// Maximum number of backend servers that one request is sent to.
  std::uint32_t MaxAttempts = 1;
  /// Maximum time from arrival to response, in milliseconds.
  std::uint32_t TimeoutMs = 0;
  /// Latency objective in milliseconds; 0 if there is none.
  std::uint32_t ObjectiveMs = 0;
  /// Whether requests need no API key although there are workspaces.
  bool Public = false;
  /// At least one; if there are more, requests are split by weight.
  std::vector<WeightedService> Services;

  friend auto operator<=>(const Route &, const Route &) = default;

  /// @brief Chooses a service by weight.
  /// @param Draw Uniformly distributed random number; the same for all attempts
  /// of a request, so that they go to the same service.
  [[nodiscard]] const std::string &service(std::uint64_t Draw) const noexcept;
};

/// @brief Limits for the requests and connections of callers.
struct CallerLimits {
  std::uint32_t HeaderBytes = 16384;
  std::uint64_t BodyBytes = 67108864;
  /// Time allowed for receiving a request head.
  std::uint32_t HeaderTimeoutMs = 10000;
  /// Time after which an idle connection is closed.
  std::uint32_t IdleTimeoutMs = 60000;

  friend auto operator<=>(const CallerLimits &, const CallerLimits &) = default;
};

/// @brief Immutable routes of one configuration version.
class RoutingTable {
public:
  /// @param Version Version number set by the operators.
  /// @param Workspaces Default-constructed if requests need no API key.
  RoutingTable(std::uint64_t Version, std::vector<Route> Routes,
               CallerLimits Limits, WorkspaceTable Workspaces = {});

  [[nodiscard]] std::uint64_t version() const noexcept { return Version; }
  [[nodiscard]] const CallerLimits &limits() const noexcept { return Limits; }
  [[nodiscard]] const std::vector<Route> &routes() const noexcept {
    return Routes;
  }
  [[nodiscard]] const WorkspaceTable &workspaces() const noexcept {
    return Workspaces;
  }

  /// @brief Finds the route of a host with the longest matching path prefix.
  /// @param Host Lower case, without port.
  /// @param Path Path of the request target.
  /// @return The route, or nullptr if none matches.
  [[nodiscard]] const Route *find(std::string_view Host,
                                  std::string_view Path) const noexcept;

  friend bool operator==(const RoutingTable &Left, const RoutingTable &Right) {
    return Left.Version == Right.Version && Left.Routes == Right.Routes &&
           Left.Limits == Right.Limits && Left.Workspaces == Right.Workspaces;
  }

private:
  std::uint64_t Version;
  std::vector<Route> Routes;
  CallerLimits Limits;
  WorkspaceTable Workspaces;
  /// For each host, indices into Routes, longest path prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> ByHost;
};

} // namespace jujubecart::core

#endif
