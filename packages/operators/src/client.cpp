#include <jujubecart/operators/client.hpp>

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/endpoint.hpp>
#include <jujubecart/core/http_limits.hpp>
#include <jujubecart/core/whole_response.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <exception>
#include <optional>
#include <sstream>

namespace jujubecart::operators {

namespace internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

// A timeline of 20,000 events, the default, has about 5 MB.
constexpr std::uint64_t MaxResponseBytes = 16U << 20U;
constexpr unsigned HttpVersion = 11;

// Result of one request; Connected tells whether it may have been sent.
struct Outcome {
  bool Connected = false;
  std::optional<Response> Reply;
};

// Starts an operation and waits for its end, at the latest until the deadline.
// After a failure nothing more may be started on the context.
template <typename Operation>
boost::system::error_code complete(asio::io_context &Io,
                                   core::TimePoint Deadline, Operation Start) {
  std::optional<boost::system::error_code> Ended;
  Start([&Ended](const boost::system::error_code &Code, std::size_t = 0) {
    Ended = Code;
  });
  // The context stops whenever it has run out of work.
  Io.restart();
  while (!Ended && Io.run_one_until(Deadline) > 0) {
  }
  return Ended.value_or(asio::error::timed_out);
}

template <typename Stream>
void exchange(Stream &Connection, asio::io_context &Io,
              core::TimePoint Deadline, const std::string &Message,
              Outcome &Out) {
  Out.Connected = true;
  if (complete(Io, Deadline, [&](auto Handler) {
        asio::async_write(Connection, asio::buffer(Message),
                          std::move(Handler));
      }))
    return;
  boost::beast::flat_buffer Buffer(core::MaxHttpBufferBytes);
  std::optional<boost::system::result<core::WholeResponse>> Read;
  asio::co_spawn(Io,
                 core::readWholeResponse(Connection, Buffer, MaxResponseBytes),
                 [&Read](const std::exception_ptr &Thrown,
                         boost::system::result<core::WholeResponse> Result) {
                   if (!Thrown)
                     Read = std::move(Result);
                 });
  Io.restart();
  while (!Read && Io.run_one_until(Deadline) > 0) {
  }
  if (!Read || !*Read)
    return;
  Out.Reply = Response{.Status = (*Read)->Status,
                       .ContentType = "",
                       .Body = std::move((*Read)->Body)};
}

// The server identifies the client by its certificate.
boost::system::error_code configure(asio::ssl::context &Context,
                                    const TlsFiles &Files) {
  boost::system::error_code Failed;
  Context.use_certificate_chain_file(Files.Certificate, Failed);
  if (!Failed)
    Context.use_private_key_file(Files.Key.empty() ? Files.Certificate
                                                   : Files.Key,
                                 asio::ssl::context::pem, Failed);
  if (Failed || Files.Ca.empty())
    return Failed;
  Context.load_verify_file(Files.Ca, Failed);
  if (!Failed)
    Context.set_verify_mode(asio::ssl::verify_peer, Failed);
  return Failed;
}

void exchangeOverTls(tcp::socket &Socket, asio::io_context &Io,
                     core::TimePoint Deadline, const TlsFiles &Tls,
                     const std::string &Message, Outcome &Out) {
  asio::ssl::context Context(asio::ssl::context::tls_client);
  if (configure(Context, Tls))
    return;
  asio::ssl::stream<tcp::socket &> Secured(Socket, Context);
  if (!complete(Io, Deadline, [&](auto Handler) {
        Secured.async_handshake(asio::ssl::stream_base::client,
                                std::move(Handler));
      }))
    exchange(Secured, Io, Deadline, Message, Out);
}

// Ends at the timeout whatever the other side does.
Outcome run(const std::string &Endpoint, const TlsFiles &Tls,
            const std::string &Message, std::chrono::milliseconds Timeout) {
  Outcome Out;
  const auto Target = core::parseEndpoint(Endpoint);
  if (!Target)
    return Out;
  const core::TimePoint Deadline = std::chrono::steady_clock::now() + Timeout;
  asio::io_context Io{1};
  tcp::socket Socket(Io);
  if (complete(Io, Deadline, [&](auto Handler) {
        Socket.async_connect(*Target, std::move(Handler));
      }))
    return Out;
  if (Tls.enabled())
    exchangeOverTls(Socket, Io, Deadline, Tls, Message, Out);
  else
    exchange(Socket, Io, Deadline, Message, Out);
  return Out;
}

std::string makeRequest(http::verb Method, const std::string &Endpoint,
                        const std::string &Path, std::string Body) {
  http::request<http::string_body> Message{Method, Path, HttpVersion};
  Message.set(http::field::host, Endpoint);
  Message.keep_alive(false);
  Message.body() = std::move(Body);
  Message.prepare_payload();
  std::ostringstream Text;
  Text << Message;
  return Text.str();
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
