#include "connection.hpp"

#include <jujubecart/core/http_limits.hpp>
#include <jujubecart/core/log.hpp>

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <string_view>
#include <utility>

namespace jujubecart::operators::internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace ssl = boost::asio::ssl;
using namespace std::chrono_literals;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds HandshakeLimit = 20s;
// For the wait for a request and for its head.
constexpr std::chrono::milliseconds HeadLimit = 30s;
// For the body of a request and for a response. A timeline has about 5 MB.
constexpr std::chrono::milliseconds TransferLimit = 60s;
// The platform kills a VM 10 s after its stop signal.
constexpr std::chrono::milliseconds StopLimit = 1s;
constexpr std::chrono::milliseconds GoodbyeLimit = 1s;
constexpr std::size_t BodyReadSize = 65536;

// Reads the files for each connection, so that renewed certificates take effect
// without a restart.
boost::system::error_code configure(ssl::context &Context,
                                    const TlsFiles &Files) {
  boost::system::error_code Failed;
  SSL_CTX_set_min_proto_version(Context.native_handle(), TLS1_2_VERSION);
  // A resumed session would not check the certificate of the client again.
  SSL_CTX_set_session_cache_mode(Context.native_handle(), SSL_SESS_CACHE_OFF);
  SSL_CTX_set_num_tickets(Context.native_handle(), 0);
  SSL_CTX_set_options(Context.native_handle(), SSL_OP_NO_TICKET);
  Context.use_certificate_chain_file(Files.Certificate, Failed);
  if (!Failed)
    Context.use_private_key_file(Files.Key.empty() ? Files.Certificate
                                                   : Files.Key,
                                 ssl::context::pem, Failed);
  if (!Failed)
    Context.load_verify_file(Files.Ca, Failed);
  if (!Failed)
    Context.set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert,
                            Failed);
  return Failed;
}

} // namespace

Connection::Connection(asio::ip::tcp::socket Socket, const TlsFiles &Tls,
                       RequestHandler Handler)
    : Socket(std::move(Socket)), Limit(this->Socket.get_executor()), Tls(Tls),
      Handler(std::move(Handler)), Buffer(core::MaxHttpBufferBytes) {}

core::Awaitable<void> Connection::run() {
  if (Tls.enabled())
    co_await runTls();
  else
    co_await serve(Socket);
  close();
}

core::Awaitable<void> Connection::runTls() {
  ssl::context Context(ssl::context::tls_server);
  if (const auto Failed = configure(Context, Tls)) {
    core::LogLine(core::LogLevel::Error, "operators.certificates_unreadable")
        .field("certificate", Tls.Certificate)
        .field("error", Failed.message());
    co_return;
  }
  ssl::stream<asio::ip::tcp::socket &> Secured(Socket, Context);
  limit(HandshakeLimit);
  const auto [Failed] =
      co_await Secured.async_handshake(ssl::stream_base::server, UseTuple);
  if (Failed)
    co_return;
  co_await serve(Secured);
  // Tells the client that nothing was cut off.
  if (!Socket.is_open())
    co_return;
  limit(GoodbyeLimit);
  co_await Secured.async_shutdown(UseTuple);
}

template <typename Stream>
core::Awaitable<void> Connection::serve(Stream &Client) {
  bool KeepAlive = true;
  while (KeepAlive && !Stopping && Socket.is_open()) {
    http::request_parser<http::buffer_body> Parser;
    Parser.body_limit(boost::none);
    const std::optional<Request> Received = co_await receive(Client, Parser);
    if (!Received)
      co_return;
    Responding = true;
    const Response Message = Handler(*Received);
    // The response to other methods than GET and POST may have to end without
    // its body.
    KeepAlive = Parser.keep_alive() && !Stopping &&
                (Received->Method == "GET" || Received->Method == "POST");
    if (!co_await send(Client, Message, KeepAlive))
      co_return;
    Responding = false;
  }
}

template <typename Stream, typename Parser>
core::Awaitable<std::optional<Request>> Connection::receive(Stream &Client,
                                                            Parser &From) {
  limit(HeadLimit);
  const auto [HeadFailed, HeadSize] =
      co_await http::async_read_header(Client, Buffer, From, UseTuple);
  if (HeadFailed) {
    if (HeadFailed.category() ==
            http::make_error_code(http::error::bad_method).category() &&
        HeadFailed != http::error::end_of_stream)
      co_await send(Client, errorResponse(400, HeadFailed.message()), false);
    co_return std::nullopt;
  }
  auto &Message = From.get();
  Request Out{.Method = Message.method_string(),
              .Target = Message.target(),
              .Body = {},
              .Oversized = false};
  std::array<char, BodyReadSize> Part{};
  limit(TransferLimit);
  while (!From.is_done()) {
    Message.body().data = Part.data();
    Message.body().size = Part.size();
    const auto [Failed, Size] =
        co_await http::async_read(Client, Buffer, From, UseTuple);
    if (Failed && Failed != http::error::need_buffer)
      co_return std::nullopt;
    // The rest of an oversized body is received, too, since the client reads
    // the response only after it has sent all.
    const std::size_t Received = Part.size() - Message.body().size;
    const std::size_t Kept = std::min(Received, MaxBodyBytes - Out.Body.size());
    Out.Body.append(Part.data(), Kept);
    Out.Oversized = Out.Oversized || Kept < Received;
  }
  co_return Out;
}

template <typename Stream>
core::Awaitable<bool> Connection::send(Stream &Client, const Response &Message,
                                       bool KeepAlive) {
  constexpr unsigned HttpVersion = 11;
  http::response<http::string_body> Out(
      static_cast<http::status>(Message.Status), HttpVersion, Message.Body);
  Out.set(http::field::content_type, Message.ContentType);
  Out.set(http::field::cache_control, "no-store");
  Out.keep_alive(KeepAlive);
  Out.prepare_payload();
  limit(Stopping ? StopLimit : TransferLimit);
  const auto [Failed, Size] = co_await http::async_write(Client, Out, UseTuple);
  co_return !Failed;
}

void Connection::stop() {
  Stopping = true;
  if (Responding)
    limit(StopLimit);
  else
    close();
}

void Connection::limit(std::chrono::milliseconds Duration) {
  LimitAt = std::chrono::steady_clock::now() + Duration;
  Limit.expires_at(LimitAt);
  Limit.async_wait(
      [this, Self = shared_from_this()](const boost::system::error_code &Code) {
        // The wait of a limit that was replaced meanwhile can end without an
        // error.
        if (!Code && std::chrono::steady_clock::now() >= LimitAt)
          close();
      });
}

void Connection::close() {
  boost::system::error_code Ignored;
  Limit.cancel();
  Socket.close(Ignored);
}

} // namespace jujubecart::operators::internal
