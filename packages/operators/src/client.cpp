#include <jujubecart/operators/client.hpp>

#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/endpoint.hpp>
#include <jujubecart/core/http_limits.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace jujubecart::operators {

namespace internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Request = http::request<http::string_body>;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
// A timeline of 20,000 events, the default, has about 5 MB.
constexpr std::uint64_t MaxResponseBytes = 16U << 20U;
constexpr unsigned HttpVersion = 11;

// Result of one request; Connected tells whether it may have been sent.
struct Outcome {
  bool Connected = false;
  std::optional<Response> Reply;
};

template <typename Stream>
core::Awaitable<void> exchange(Stream &Connection, const Request &Message,
                               Outcome &Out) {
  Out.Connected = true;
  const auto [WriteCode, Written] =
      co_await http::async_write(Connection, Message, AsTuple);
  if (WriteCode)
    co_return;
  boost::beast::flat_buffer Buffer(core::MaxHttpBufferBytes);
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(MaxResponseBytes);
  const auto [ReadCode, Read] =
      co_await http::async_read(Connection, Buffer, Parser, AsTuple);
  if (!ReadCode)
    Out.Reply = Response{.Status = Parser.get().result_int(),
                         .ContentType = "",
                         .Body = std::move(Parser.get().body())};
}

// The server identifies the client by its certificate.
asio::ssl::context makeContext(const TlsFiles &Files) {
  asio::ssl::context Context(asio::ssl::context::tls_client);
  Context.use_certificate_chain_file(Files.Certificate);
  Context.use_private_key_file(Files.Key.empty() ? Files.Certificate
                                                 : Files.Key,
                               asio::ssl::context::pem);
  if (!Files.Ca.empty()) {
    Context.load_verify_file(Files.Ca);
    Context.set_verify_mode(asio::ssl::verify_peer);
  }
  return Context;
}

core::Awaitable<void> execute(tcp::endpoint Target, const TlsFiles &Tls,
                              const Request &Message, Outcome &Out) {
  tcp::socket Socket(co_await asio::this_coro::executor);
  const auto [ConnectCode] = co_await Socket.async_connect(Target, AsTuple);
  if (ConnectCode)
    co_return;
  if (!Tls.enabled()) {
    co_await exchange(Socket, Message, Out);
    co_return;
  }
  asio::ssl::context Context = makeContext(Tls);
  asio::ssl::stream<tcp::socket &> Secured(Socket, Context);
  const auto [HandshakeCode] =
      co_await Secured.async_handshake(asio::ssl::stream_base::client, AsTuple);
  if (!HandshakeCode)
    co_await exchange(Secured, Message, Out);
}

// Ends at the timeout whatever the other side does; the context then destroys
// what is pending.
Outcome run(const std::string &Endpoint, const TlsFiles &Tls,
            const Request &Message, std::chrono::milliseconds Timeout) {
  Outcome Out;
  const auto Target = core::parseEndpoint(Endpoint);
  if (!Target)
    return Out;
  asio::io_context Io{1};
  // A certificate that cannot be read throws; there is no connection then.
  asio::co_spawn(Io, execute(*Target, Tls, Message, Out),
                 [](const std::exception_ptr &) {});
  Io.run_for(Timeout);
  return Out;
}

Request makeRequest(http::verb Method, const std::string &Endpoint,
                    const std::string &Path, std::string Body) {
  Request Message{Method, Path, HttpVersion};
  Message.set(http::field::host, Endpoint);
  Message.keep_alive(false);
  Message.body() = std::move(Body);
  Message.prepare_payload();
  return Message;
}

} // namespace internal

Client::Client(std::string Endpoint, TlsFiles Tls,
               std::chrono::milliseconds Timeout)
    : Endpoint(std::move(Endpoint)), Tls(std::move(Tls)), Timeout(Timeout) {}

core::Result<Response> Client::fetch(const std::string &Path) const {
  internal::Outcome Out = internal::run(
      Endpoint, Tls,
      internal::makeRequest(internal::http::verb::get, Endpoint, Path, ""),
      Timeout);
  if (Out.Reply)
    return std::move(*Out.Reply);
  return make_error_code(core::Error::Unavailable);
}

core::Result<Response> Client::post(const std::string &Path,
                                    const std::string &Body) const {
  internal::Outcome Out = internal::run(
      Endpoint, Tls,
      internal::makeRequest(internal::http::verb::post, Endpoint, Path, Body),
      Timeout);
  if (Out.Reply)
    return std::move(*Out.Reply);
  return make_error_code(Out.Connected ? core::Error::OutcomeUnknown
                                       : core::Error::Unavailable);
}

} // namespace jujubecart::operators
