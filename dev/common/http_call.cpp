#include "common/http_call.hpp"

#include "common/endpoint.hpp"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <stdexcept>

namespace jujubecart::dev {

namespace http = boost::beast::http;
using boost::asio::use_awaitable;

boost::asio::awaitable<std::string>
httpCall(std::string Address, std::string Path, std::string Body,
         std::chrono::milliseconds Timeout) {
  boost::beast::tcp_stream Stream(co_await boost::asio::this_coro::executor);
  Stream.expires_after(Timeout);
  co_await Stream.async_connect(parseEndpoint(Address), use_awaitable);
  http::request<http::string_body> Request(
      Body.empty() ? http::verb::get : http::verb::post, Path, 11, Body);
  Request.set(http::field::host, Address);
  Request.keep_alive(false);
  Request.prepare_payload();
  co_await http::async_write(Stream, Request, use_awaitable);
  boost::beast::flat_buffer Buffer;
  http::response_parser<http::string_body> Parser;
  // The run record of a long experiment exceeds the default limit of 8 MB.
  Parser.body_limit(std::size_t{1} << 30);
  co_await http::async_read(Stream, Buffer, Parser, use_awaitable);
  if (Parser.get().result() != http::status::ok)
    throw std::runtime_error(Address + Path + " returned status " +
                             std::to_string(Parser.get().result_int()));
  co_return std::move(Parser.get().body());
}

} // namespace jujubecart::dev
