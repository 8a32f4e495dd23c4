#ifndef JUJUBECART_DEV_FAKE_BACKENDS_CONNECTION_HPP
#define JUJUBECART_DEV_FAKE_BACKENDS_CONNECTION_HPP

#include "fake_backends/fwd.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>

namespace jujubecart::dev {

/// @brief One accepted connection of a fake backend server.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  /// @brief Wraps an accepted socket.
  /// @param Backend Must outlive the connection.
  /// @param Generation Sequence number among the connections of the server.
  Connection(boost::asio::ip::tcp::socket Socket, Server &Backend,
             std::uint64_t Generation);

  /// @brief Serves requests until either side closes.
  /// @param Self Keeps the connection alive.
  [[nodiscard]] static boost::asio::awaitable<void>
  run(std::shared_ptr<Connection> Self);

private:
  [[nodiscard]] boost::asio::awaitable<void> serve();
  [[nodiscard]] boost::asio::awaitable<bool> handle(Request Received);
  [[nodiscard]] boost::asio::awaitable<bool> send(Response Message,
                                                  bool Truncate);
  [[nodiscard]] boost::asio::awaitable<bool>
  runJob(std::shared_ptr<Job> Accepted);
  [[nodiscard]] boost::asio::awaitable<bool> discardUntilClosed();
  [[nodiscard]] Response makeResponse(unsigned Status, std::string Body) const;
  [[nodiscard]] bool isSilent() const noexcept;
  void watchForClose(const std::shared_ptr<bool> &Closed);

  boost::asio::ip::tcp::socket Socket;
  Server &Backend;
  std::uint64_t Generation;
  boost::beast::flat_buffer Buffer;
  boost::asio::steady_timer WakeTimer;
};

} // namespace jujubecart::dev

#endif
