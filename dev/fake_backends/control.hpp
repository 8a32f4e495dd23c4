#ifndef JUJUBECART_DEV_FAKE_BACKENDS_CONTROL_HPP
#define JUJUBECART_DEV_FAKE_BACKENDS_CONTROL_HPP

#include "fake_backends/fwd.hpp"
#include "fakes/http_server.hpp"

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
  Control(boost::asio::io_context &Context, const ServerMap &Servers,
          const Record &Runs);

  /// @brief Applies one fault; throws std::exception if it is not valid.
  /// @param Fault `server` (id or `*`), `kind` and its parameters.
  void apply(const nlohmann::json &Fault);

  [[nodiscard]] std::string address() const;

private:
  [[nodiscard]] core::Awaitable<std::optional<HttpReply>>
  respond(HttpRequest Request);
  [[nodiscard]] std::string result(std::string_view Target,
                                   const std::string &Body);

  const ServerMap &Servers;
  const Record &Runs;
  HttpServer Port;
};

} // namespace jujubecart::dev

#endif
