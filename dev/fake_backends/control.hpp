#ifndef JUJUBECART_DEV_FAKE_BACKENDS_CONTROL_HPP
#define JUJUBECART_DEV_FAKE_BACKENDS_CONTROL_HPP

#include "fake_backends/fwd.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace jujubecart::dev {

/// @brief Control port: `POST /fault`, `GET /stats`, `GET /record`.
class Control {
public:
  using ServerMap = std::map<std::string, std::unique_ptr<Server>>;

  /// @brief Starts to listen.
  Control(boost::asio::io_context &Context,
          const boost::asio::ip::tcp::endpoint &Endpoint,
          const ServerMap &Servers, const Record &Runs);

  /// @brief Serves until the context stops.
  [[nodiscard]] boost::asio::awaitable<void> accept();

  /// @brief Applies one fault; throws std::exception if it is not valid.
  /// @param Fault `server` (id or `*`), `kind` and its parameters.
  void apply(const nlohmann::json &Fault);

  [[nodiscard]] std::string address() const;

private:
  [[nodiscard]] boost::asio::awaitable<void>
  serve(boost::asio::ip::tcp::socket Socket);
  [[nodiscard]] std::string respond(std::string_view Target,
                                    const std::string &Body);

  boost::asio::ip::tcp::acceptor Acceptor;
  const ServerMap &Servers;
  const Record &Runs;
};

} // namespace jujubecart::dev

#endif
