#ifndef JUJUBECART_DEV_LOAD_POOL_HPP
#define JUJUBECART_DEV_LOAD_POOL_HPP

#include "common/experiment.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core.hpp>
#include <deque>
#include <memory>
#include <vector>

namespace jujubecart::dev {

/// @brief One keep-alive connection of a caller.
struct CallerConnection {
  explicit CallerConnection(const boost::asio::any_io_executor &Executor)
      : Stream(Executor) {}

  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer;
  std::size_t Entry = 0;
};

/// @brief Balances over entry VMs like the platform: round robin over those
/// that accept connections and report ready.
class Pool {
public:
  using Item = std::unique_ptr<CallerConnection>;

  /// @brief Creates an empty pool.
  Pool(const boost::asio::any_io_executor &Executor, const Experiment &Plan);

  /// @brief Opens the first connections.
  [[nodiscard]] boost::asio::awaitable<void> warm();

  /// @brief Polls `/ready` until the experiment ends.
  [[nodiscard]] boost::asio::awaitable<void> pollReady(std::size_t Entry);

  /// @brief Takes an idle connection to the next entry VM or opens one.
  /// @return The connection; null if no entry VM accepts one.
  [[nodiscard]] boost::asio::awaitable<Item> take();

  /// @brief Returns a connection that can carry another request.
  void put(Item Connection);

  /// @brief Ends polling.
  void stop() noexcept { Stopped = true; }

  [[nodiscard]] std::uint64_t connectFailures() const noexcept {
    return ConnectFailures;
  }

private:
  struct Target {
    boost::asio::ip::tcp::endpoint Endpoint;
    bool InRotation = true;
    std::deque<Item> Idle;
  };

  [[nodiscard]] boost::asio::awaitable<Item> open(std::size_t Entry);
  [[nodiscard]] std::size_t next() noexcept;

  boost::asio::any_io_executor Executor;
  const Experiment &Plan;
  std::deque<Target> Targets;
  std::size_t Position = 0;
  std::uint64_t ConnectFailures = 0;
  bool Stopped = false;
};

} // namespace jujubecart::dev

#endif
