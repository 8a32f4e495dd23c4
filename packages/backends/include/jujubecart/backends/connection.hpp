#ifndef JUJUBECART_BACKENDS_CONNECTION_HPP
#define JUJUBECART_BACKENDS_CONNECTION_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/http_reader.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

namespace jujubecart::backends {

/// @brief One TCP connection to a backend server; owned by the pool while it is
/// idle and by an exchange while a request runs on it.
struct Connection {
  /// @brief Creates a connection whose socket is not open yet.
  /// @param Limits Largest sizes of a response, in bytes.
  Connection(const boost::asio::any_io_executor &Executor,
             core::HttpLimits Limits)
      : Socket(Executor), Reader(Limits) {}

  boost::asio::ip::tcp::socket Socket;
  core::HttpReader<false> Reader;
  /// `IP:port` of the backend server.
  std::string Address;
  /// When the server was last known to be reachable on this connection: when
  /// it was opened, then at the end of each response.
  core::TimePoint LastVerified;
  /// Whether the server reports its load, and so answers a health request at
  /// once, without waiting for a slot.
  bool ReportsLoad = false;
  /// Whether an earlier request was sent on it, so that a response without an
  /// id may belong to that one.
  bool Used = false;
};

/// @brief State of one pending ConnectionPool::acquire, with which the user of
/// the pool can abort it.
struct PendingAcquire {
  /// @param Executor Strand of the user of the pool.
  explicit PendingAcquire(const boost::asio::any_io_executor &Executor)
      : Timer(Executor) {}

  /// Limits the connect or the wait in the queue of the pool.
  boost::asio::steady_timer Timer;
  /// Socket being connected or verified, or nullptr.
  boost::asio::ip::tcp::socket *Connecting = nullptr;
  bool Aborted = false;
  /// Set when a connection may have become available, so that a waiting
  /// acquire tries again.
  bool Notified = false;

  /// @brief Makes the pending acquire fail; call it on the user's strand.
  void abort() noexcept;

  /// @brief Closes the socket in Connecting, if there is one.
  void abortConnect() noexcept;
};

} // namespace jujubecart::backends

#endif
