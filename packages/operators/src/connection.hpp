#ifndef JUJUBECART_OPERATORS_SRC_CONNECTION_HPP
#define JUJUBECART_OPERATORS_SRC_CONNECTION_HPP

#include "endpoints.hpp"

#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/clock.hpp>
#include <jujubecart/operators/tls_files.hpp>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>

namespace jujubecart::operators::internal {

/// @brief Connection of a client of the operators' endpoint. Every wait for the
/// client has a time limit. All functions must be called on the strand that is
/// the executor of the socket.
class Connection final : public std::enable_shared_from_this<Connection> {
public:
  /// Returns the response to a request; may block.
  using RequestHandler = std::function<Response(const Request &)>;

  /// @param Tls Certificates; plain TCP if not enabled.
  Connection(boost::asio::ip::tcp::socket Socket, const TlsFiles &Tls,
             RequestHandler Handler);

  /// @brief Handles requests until the client leaves, a time limit passes or
  /// stop() is called.
  [[nodiscard]] core::Awaitable<void> run();

  /// @brief Closes the connection at once, or after the response of a request
  /// that was received, for which the client gets little time.
  void stop();

  [[nodiscard]] boost::asio::any_io_executor executor() {
    return Socket.get_executor();
  }

private:
  [[nodiscard]] core::Awaitable<void> runTls();

  template <typename Stream>
  [[nodiscard]] core::Awaitable<void> serve(Stream &Client);

  // Returns nothing if the connection failed or the request is invalid.
  template <typename Stream, typename Parser>
  [[nodiscard]] core::Awaitable<std::optional<Request>> receive(Stream &Client,
                                                                Parser &From);

  template <typename Stream>
  [[nodiscard]] core::Awaitable<bool>
  send(Stream &Client, const Response &Message, bool KeepAlive);

  // Closes the socket if the limit is not replaced or removed before it passes.
  void limit(std::chrono::milliseconds Duration);
  void close();

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Limit;
  core::TimePoint LimitAt;
  TlsFiles Tls;
  RequestHandler Handler;
  boost::beast::flat_buffer Buffer;
  bool Responding = false;
  bool Stopping = false;
};

} // namespace jujubecart::operators::internal

#endif
