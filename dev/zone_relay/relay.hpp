#ifndef JUJUBECART_DEV_ZONE_RELAY_RELAY_HPP
#define JUJUBECART_DEV_ZONE_RELAY_RELAY_HPP

#include "fakes/http_server.hpp"
#include "zone_relay/fwd.hpp"
#include "zone_relay/link.hpp"

#include <boost/asio/awaitable.hpp>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace jujubecart::dev {

/// @brief One listener and the target it relays to; an element of `legs` in the
/// settings.
struct Route {
  std::string Id;
  /// Zone of the target.
  std::string Zone;
  boost::asio::ip::tcp::endpoint Target;
  /// One-way delay from every source; absent: by the zone of the source.
  std::optional<std::chrono::microseconds> FixedDelay;
  boost::asio::ip::tcp::acceptor Acceptor;
};

/// @brief Relays TCP connections and adds a delay between different zones.
/// Paths can be cut or frozen through an HTTP control port. Needs a
/// single-threaded context.
class Relay {
public:
  /// @brief Opens all listeners; throws an exception derived from
  /// std::exception if the settings are invalid.
  Relay(boost::asio::io_context &Context, const nlohmann::json &Settings);

  /// @brief Accepts connections on all routes until the context stops.
  void start();

  /// @brief `IP:port` of the control port and of each route by id.
  [[nodiscard]] nlohmann::json addresses() const;

  /// @brief Sets the state of the path from a source to a route, also for open
  /// connections.
  /// @param Command `leg` (route id, `*` for any), `source` (IP, `*` for any)
  /// and `state` (`open`, `cut` or `frozen`).
  void apply(const nlohmann::json &Command);

private:
  [[nodiscard]] boost::asio::awaitable<void> accept(Route &Via);
  [[nodiscard]] boost::asio::awaitable<void>
  connect(std::shared_ptr<Link> Connection, const Route &Via);
  [[nodiscard]] core::Awaitable<std::optional<HttpReply>>
  control(HttpRequest Request);
  [[nodiscard]] std::chrono::microseconds
  pathDelay(const Route &Via, const std::string &Source) const;
  [[nodiscard]] PathState pathState(const std::string &RouteId,
                                    const std::string &Source) const;

  boost::asio::io_context &Context;
  std::list<Route> Routes;
  /// Zone by source IP.
  std::map<std::string, std::string> ZoneBySource;
  std::chrono::microseconds ZoneDelay{0};
  /// State of the paths that match; of several rules, the latest one applies.
  struct PathRule {
    std::string RouteId;
    std::string Source;
    PathState State;
  };
  std::vector<PathRule> PathRules;
  std::vector<std::weak_ptr<Link>> Links;
  HttpServer ControlServer;
};

} // namespace jujubecart::dev

#endif
