#ifndef JUJUBECART_DEV_FAKES_HTTP_SERVER_HPP
#define JUJUBECART_DEV_FAKES_HTTP_SERVER_HPP

#include <jujubecart/core/awaitable.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <optional>
#include <string>

namespace jujubecart::dev {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/// @brief Status and JSON body of a response.
struct HttpReply {
  unsigned Status = 200;
  std::string Body;
};

/// @brief HTTP/1.1 server for the fakes and control ports; needs a
/// single-threaded context.
class HttpServer {
public:
  /// @brief Handles one request. Returning std::nullopt closes the connection
  /// without a response.
  using Handler = std::function<core::Awaitable<std::optional<HttpReply>>(
      HttpRequest, boost::asio::ip::tcp::socket &)>;

  /// @brief Listens on 127.0.0.1 and serves until the context stops.
  /// @param Port 0 picks a free port.
  HttpServer(boost::asio::io_context &Context, std::uint16_t Port,
             Handler Respond);

  /// @brief Port that the server listens on.
  [[nodiscard]] std::uint16_t port() const;

private:
  boost::asio::ip::tcp::acceptor Acceptor;
  const Handler Respond;

  [[nodiscard]] core::Awaitable<void> accept();
  [[nodiscard]] core::Awaitable<void> serve(boost::beast::tcp_stream Stream);
};

/// @brief Value of a numeric query parameter of a request target; empty if the
/// parameter is missing or does not start with a digit.
[[nodiscard]] std::optional<std::uint64_t>
queryNumber(const std::string &Target, const std::string &Name);

} // namespace jujubecart::dev

#endif
