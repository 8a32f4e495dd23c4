#ifndef JUJUBECART_BACKENDS_CONNECTION_HPP
#define JUJUBECART_BACKENDS_CONNECTION_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/http_reader.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

namespace jujubecart::backends {

/// @brief One connection to a backend server, owned by the pool or a call.
struct Connection {
  /// @brief Creates an unconnected one.
  Connection(const boost::asio::any_io_executor &Executor,
             core::HttpLimits Limits)
      : Socket(Executor), Reader(Limits) {}

  boost::asio::ip::tcp::socket Socket;
  core::HttpReader<false> Reader;
  std::string Address;
  /// When the server last proved to be reachable on this connection.
  core::TimePoint LastProven;
};

/// @brief Lets the user of the pool give up a pending take.
struct ConnectControl {
  /// @brief Creates a control.
  /// @param Executor Strand of the user.
  explicit ConnectControl(const boost::asio::any_io_executor &Executor)
      : Timer(Executor) {}

  boost::asio::steady_timer Timer;
  /// Socket being connected, or nullptr.
  boost::asio::ip::tcp::socket *Connecting = nullptr;
  bool Aborted = false;
  /// Set when a waiting user should try again.
  bool Notified = false;

  /// @brief Ends a pending take; called on the user's strand.
  void abort() noexcept;
};

} // namespace jujubecart::backends

#endif
