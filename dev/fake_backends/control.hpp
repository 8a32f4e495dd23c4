#ifndef JUJUBECART_DEV_FAKE_BACKENDS_CONTROL_HPP
#define JUJUBECART_DEV_FAKE_BACKENDS_CONTROL_HPP

#include "fake_backends/fwd.hpp"
#include "fakes/http_server.hpp"

#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace jujubecart::dev {

/// @brief HTTP control port of the fake backend servers: `POST /fault`,
/// `GET /stats` and `GET /record`.
class Control {
public:
  using ServerMap = std::map<std::string, std::unique_ptr<Server>>;

  /// @brief Listens on a free port of 127.0.0.1.
  /// @param Servers Servers by id; must outlive the control port, like Runs.
  Control(boost::asio::io_context &Context, const ServerMap &Servers,
          const RunRecord &Runs);

  /// @brief Applies one fault; throws an exception derived from std::exception
  /// if it is invalid.
  /// @param Fault `server` (id or `*`), `kind` and its parameters.
  void apply(const nlohmann::json &Fault);

  /// @brief `IP:port` of the control port.
  [[nodiscard]] std::string address() const;

private:
  [[nodiscard]] core::Awaitable<std::optional<HttpReply>>
  respond(HttpRequest Request);
  [[nodiscard]] std::string execute(std::string_view Target,
                                    const std::string &Body);

  const ServerMap &Servers;
  const RunRecord &Runs;
  HttpServer ControlServer;
};

} // namespace jujubecart::dev

#endif
