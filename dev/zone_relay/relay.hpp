#ifndef JUJUBECART_DEV_ZONE_RELAY_RELAY_HPP
#define JUJUBECART_DEV_ZONE_RELAY_RELAY_HPP

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

/// @brief Listener that relays to one target in a zone.
struct Leg {
  std::string Id;
  std::string Zone;
  boost::asio::ip::tcp::endpoint Target;
  /// Delay from every source; absent: by zone of the source.
  std::optional<std::chrono::microseconds> Fixed;
  boost::asio::ip::tcp::acceptor Acceptor;
};

/// @brief Relays TCP connections and delays them by zone pair.
class Relay {
public:
  /// @brief Starts to listen; throws std::exception if settings are invalid.
  Relay(boost::asio::io_context &Context, const nlohmann::json &Settings);

  /// @brief Accepts on all legs until the context stops.
  void start();

  /// @brief Addresses of the legs by id, and of the control port.
  [[nodiscard]] nlohmann::json addresses() const;

  /// @brief Sets the state of the way from a source to a leg.
  /// @param Command `leg` and `source` (`*` for any) and `state`.
  void apply(const nlohmann::json &Command);

private:
  [[nodiscard]] boost::asio::awaitable<void> accept(Leg &From);
  [[nodiscard]] boost::asio::awaitable<void>
  connect(std::shared_ptr<Link> Connection, const Leg &From);
  [[nodiscard]] boost::asio::awaitable<void> control();
  [[nodiscard]] boost::asio::awaitable<void>
  serve(boost::asio::ip::tcp::socket Socket);
  [[nodiscard]] std::chrono::microseconds
  delay(const Leg &To, const std::string &Source) const;
  [[nodiscard]] LegState state(const std::string &Id,
                               const std::string &Source) const;

  boost::asio::io_context &Context;
  std::list<Leg> Legs;
  /// Zone of each source IP.
  std::map<std::string, std::string> Sources;
  std::chrono::microseconds ZoneDelay{0};
  /// Latest rule that matches wins.
  struct Rule {
    std::string Leg;
    std::string Source;
    LegState State;
  };
  std::vector<Rule> Rules;
  std::vector<std::weak_ptr<Link>> Links;
  boost::asio::ip::tcp::acceptor ControlAcceptor;
};

} // namespace jujubecart::dev

#endif
