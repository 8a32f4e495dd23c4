#ifndef JUJUBECART_DEV_ZONE_RELAY_LINK_HPP
#define JUJUBECART_DEV_ZONE_RELAY_LINK_HPP

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <string>

namespace jujubecart::dev {

/// @brief State of the way between a source and a leg.
enum class LegState : std::uint8_t {
  Open,
  /// Connections are closed and new ones refused.
  Cut,
  /// Connections stay open; no byte arrives until the leg is open again.
  Frozen,
};

/// @brief One relayed connection.
struct Link {
  Link(boost::asio::ip::tcp::socket Near, std::string Leg, std::string Source)
      : Near(std::move(Near)), Far(this->Near.get_executor()),
        Leg(std::move(Leg)), Source(std::move(Source)) {}

  boost::asio::ip::tcp::socket Near;
  boost::asio::ip::tcp::socket Far;
  std::string Leg;
  std::string Source;
  std::chrono::microseconds Delay{0};
  LegState State = LegState::Open;

  /// @brief Closes both sides.
  void close() noexcept {
    boost::system::error_code Code;
    Near.close(Code);
    Far.close(Code);
  }
};

} // namespace jujubecart::dev

#endif
