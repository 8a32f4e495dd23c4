#include <jujubecart/operators/client.hpp>

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>

namespace jujubecart::operators {

namespace internal {

Response execute(cxxtools::http::Client &Connection,
                 const cxxtools::http::Request &Request,
                 cxxtools::Milliseconds Timeout) {
  const unsigned Status = Connection.execute(Request, Timeout).httpReturnCode();
  Connection.readBody();
  return Response{.Status = Status,
                  .ContentType = "",
                  .Body = std::string(Connection.body())};
}

void connect(cxxtools::http::Client &Connection, const std::string &Endpoint,
             const TlsFiles &Tls) {
  const std::size_t Colon = Endpoint.rfind(':');
  const std::string Host = Endpoint.substr(0, Colon);
  const auto Port =
      static_cast<unsigned short>(std::stoul(Endpoint.substr(Colon + 1)));
  if (Tls.enabled())
    Connection.prepareConnect(Host, Port, Tls.Certificate);
  else
    Connection.prepareConnect(Host, Port);
  Connection.connect();
}

} // namespace internal

Client::Client(std::string Endpoint, TlsFiles Tls,
               std::chrono::milliseconds Timeout)
    : Endpoint(std::move(Endpoint)), Tls(std::move(Tls)), Timeout(Timeout) {}

core::Result<Response> Client::fetch(const std::string &Path) const {
  try {
    cxxtools::http::Client Connection;
    internal::connect(Connection, Endpoint, Tls);
    const std::size_t Question = Path.find('?');
    cxxtools::http::Request Request(Path.substr(0, Question));
    if (Question != std::string::npos)
      Request.qparams(Path.substr(Question + 1));
    return internal::execute(
        Connection, Request,
        cxxtools::Milliseconds(static_cast<double>(Timeout.count())));
  } catch (const std::exception &) {
    return make_error_code(core::Error::Unavailable);
  }
}

core::Result<Response> Client::post(const std::string &Path,
                                    const std::string &Body) const {
  cxxtools::http::Client Connection;
  try {
    internal::connect(Connection, Endpoint, Tls);
  } catch (const std::exception &) {
    return make_error_code(core::Error::Unavailable);
  }
  try {
    cxxtools::http::Request Request(Path);
    Request.method("POST");
    Request.body() << Body;
    return internal::execute(
        Connection, Request,
        cxxtools::Milliseconds(static_cast<double>(Timeout.count())));
  } catch (const std::exception &) {
    return make_error_code(core::Error::OutcomeUnknown);
  }
}

} // namespace jujubecart::operators
