#ifndef JUJUBECART_DEV_ZONE_RELAY_PIPE_HPP
#define JUJUBECART_DEV_ZONE_RELAY_PIPE_HPP

#include "zone_relay/link.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <string>

namespace jujubecart::dev {

/// @brief One direction of a link: delivers bytes in order after its delay.
class Pipe : public std::enable_shared_from_this<Pipe> {
public:
  /// @brief Forwards from one socket of a link to the other.
  /// @param NotBefore Nothing is delivered earlier; accounts for the simulated
  /// connection setup.
  Pipe(std::shared_ptr<Link> Connection, boost::asio::ip::tcp::socket &From,
       boost::asio::ip::tcp::socket &To,
       std::chrono::steady_clock::time_point NotBefore);

  /// @brief Starts reading and delivering; both end when either side closes.
  void start();

private:
  struct Chunk {
    std::chrono::steady_clock::time_point DeliverAt;
    /// Empty if the sender has closed its side.
    std::string Bytes;
  };

  [[nodiscard]] static boost::asio::awaitable<void>
  read(std::shared_ptr<Pipe> Self);
  [[nodiscard]] static boost::asio::awaitable<void>
  deliver(std::shared_ptr<Pipe> Self);
  [[nodiscard]] boost::asio::awaitable<void> readAll();
  [[nodiscard]] boost::asio::awaitable<void> deliverAll();
  [[nodiscard]] boost::asio::awaitable<void>
  waitFor(std::chrono::steady_clock::time_point Instant);
  void push(std::string Bytes);

  std::shared_ptr<Link> Connection;
  boost::asio::ip::tcp::socket &From;
  boost::asio::ip::tcp::socket &To;
  std::chrono::steady_clock::time_point NotBefore;
  std::deque<Chunk> Chunks;
  std::size_t BufferedBytes = 0;
  boost::asio::steady_timer DeliveryTimer;
  boost::asio::steady_timer ChunkArrived;
  boost::asio::steady_timer BufferDrained;
};

} // namespace jujubecart::dev

#endif
