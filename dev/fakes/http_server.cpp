#include "fakes/http_server.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <charconv>

namespace jujubecart::dev {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t MaxBodyBytes = 8ULL << 20U;

} // namespace

HttpServer::HttpServer(asio::io_context &Context, std::uint16_t Port,
                       Handler Respond)
    : Acceptor(Context, {asio::ip::address_v4::loopback(), Port}),
      Respond(std::move(Respond)) {
  asio::co_spawn(Context, accept(), asio::detached);
}

std::uint16_t HttpServer::port() const {
  return Acceptor.local_endpoint().port();
}

core::Awaitable<void> HttpServer::accept() {
  for (;;) {
    auto [Code, Socket] = co_await Acceptor.async_accept(AsTuple);
    if (Code)
      co_return;
    boost::system::error_code Ignored;
    Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
    asio::co_spawn(Acceptor.get_executor(),
                   serve(boost::beast::tcp_stream(std::move(Socket))),
                   asio::detached);
  }
}

core::Awaitable<void> HttpServer::serve(boost::beast::tcp_stream Stream) {
  boost::beast::flat_buffer Buffer;
  for (;;) {
    http::request_parser<http::string_body> Parser;
    Parser.body_limit(MaxBodyBytes);
    const auto [ReadCode, Read] =
        co_await http::async_read(Stream, Buffer, Parser, AsTuple);
    if (ReadCode)
      co_return;
    const bool KeepAlive = Parser.keep_alive();
    auto Reply = co_await Respond(Parser.release(), Stream.socket());
    if (!Reply)
      co_return;
    http::response<http::string_body> Message{
        http::int_to_status(Reply->Status), 11, std::move(Reply->Body)};
    Message.set(http::field::content_type, "application/json");
    Message.keep_alive(KeepAlive);
    Message.prepare_payload();
    const auto [WriteCode, Written] =
        co_await http::async_write(Stream, Message, AsTuple);
    if (WriteCode || !KeepAlive)
      co_return;
  }
}

std::optional<std::uint64_t> queryNumber(const std::string &Target,
                                         const std::string &Name) {
  for (const char Separator : {'?', '&'}) {
    const std::size_t Found = Target.find(Separator + Name + "=");
    if (Found == std::string::npos)
      continue;
    std::uint64_t Number = 0;
    const char *Start = Target.data() + Found + Name.size() + 2;
    if (std::from_chars(Start, Target.data() + Target.size(), Number).ec ==
        std::errc())
      return Number;
  }
  return std::nullopt;
}

} // namespace jujubecart::dev
