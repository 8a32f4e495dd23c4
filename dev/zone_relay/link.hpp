#ifndef JUJUBECART_DEV_ZONE_RELAY_LINK_HPP
#define JUJUBECART_DEV_ZONE_RELAY_LINK_HPP

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <string>

namespace jujubecart::dev {

/// @brief State of the network path between a source and a route.
enum class PathState : std::uint8_t {
  Open,
  /// Open connections are closed, and new ones are closed when accepted.
  Cut,
  /// Connections stay open, but nothing is delivered until the path is open
  /// again.
  Frozen,
};

/// @brief One relayed connection.
struct Link {
  Link(boost::asio::ip::tcp::socket Downstream, std::string RouteId,
       std::string Source)
      : Downstream(std::move(Downstream)),
        Upstream(this->Downstream.get_executor()), RouteId(std::move(RouteId)),
        Source(std::move(Source)) {}

  /// Accepted connection.
  boost::asio::ip::tcp::socket Downstream;
  /// Connection to the target of the route.
  boost::asio::ip::tcp::socket Upstream;
  std::string RouteId;
  /// IP address of the peer.
  std::string Source;
  /// One-way delay.
  std::chrono::microseconds Delay{0};
  PathState State = PathState::Open;

  /// @brief Closes both sockets.
  void close() noexcept {
    boost::system::error_code Code;
    Downstream.close(Code);
    Upstream.close(Code);
  }
};

} // namespace jujubecart::dev

#endif
