#ifndef JUJUBECART_CORE_ROUTING_TABLE_HPP
#define JUJUBECART_CORE_ROUTING_TABLE_HPP

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jujubecart::core {

/// @brief Part of a route's requests that goes to one service.
struct WeightedService {
  std::string Service;
  std::uint32_t Weight = 1;

  friend auto operator<=>(const WeightedService &,
                          const WeightedService &) = default;
};

/// @brief How requests with one host and path prefix are handled.
struct Route {
  std::string Name;
  /// Lower case, without port.
  std::string Host;
  std::string PathPrefix;
  /// Whether a request may run more than once.
  bool Idempotent = false;
  /// Lower is served first.
  std::uint8_t Priority = 5;
  /// Backend servers that one request may be sent to.
  std::uint32_t MaxAttempts = 1;
  /// Longest time until an answer, in milliseconds.
  std::uint32_t TimeoutMs = 0;
  /// Latency objective in milliseconds; 0 if there is none.
  std::uint32_t ObjectiveMs = 0;
  /// At least one; more than one split the requests by weight.
  std::vector<WeightedService> Services;

  friend auto operator<=>(const Route &, const Route &) = default;

  /// @brief Chooses a service by weight.
  /// @param Draw Uniformly distributed number, the same for all attempts of a
  /// request.
  [[nodiscard]] const std::string &service(std::uint64_t Draw) const noexcept;
};

/// @brief What a caller may send, and how long it may take.
struct CallerLimits {
  std::uint32_t HeaderBytes = 16384;
  std::uint64_t BodyBytes = 67108864;
  std::uint32_t HeaderTimeoutMs = 10000;
  std::uint32_t IdleTimeoutMs = 60000;

  friend auto operator<=>(const CallerLimits &, const CallerLimits &) = default;
};

/// @brief Immutable routes of one version of the configuration.
class RoutingTable {
public:
  /// @brief Creates a table.
  /// @param Version Version that the operators gave it.
  RoutingTable(std::uint64_t Version, std::vector<Route> Routes,
               CallerLimits Limits);

  [[nodiscard]] std::uint64_t version() const noexcept { return Version; }
  [[nodiscard]] const CallerLimits &limits() const noexcept { return Limits; }
  [[nodiscard]] const std::vector<Route> &routes() const noexcept {
    return Routes;
  }

  /// @brief Finds the route with the longest matching prefix.
  /// @param Host Lower case, without port.
  /// @param Path Path of the request target.
  /// @return The route or nullptr.
  [[nodiscard]] const Route *find(std::string_view Host,
                                  std::string_view Path) const noexcept;

  friend bool operator==(const RoutingTable &Left, const RoutingTable &Right) {
    return Left.Version == Right.Version && Left.Routes == Right.Routes &&
           Left.Limits == Right.Limits;
  }

private:
  std::uint64_t Version;
  std::vector<Route> Routes;
  CallerLimits Limits;
  /// Indices in Routes, the longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> ByHost;
};

} // namespace jujubecart::core

#endif
