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
  /// Index into Experiment::Entries.
  std::size_t EntryIndex = 0;
};

/// @brief Connections of callers to the entry VMs. Like the platform's load
/// balancer, it uses the VMs that accept connections and report ready, round
/// robin.
class Pool {
public:
  using ConnectionPtr = std::unique_ptr<CallerConnection>;

  /// @brief Creates a pool without connections.
  /// @param Plan Must outlive the pool.
  Pool(const boost::asio::any_io_executor &Executor, const Experiment &Plan);

  /// @brief Opens Experiment::ConnectionsPerEntry connections to each entry VM.
  [[nodiscard]] boost::asio::awaitable<void> openInitial();

  /// @brief Polls `/ready` of an entry VM and updates whether it is in
  /// rotation, until @ref stop is called.
  [[nodiscard]] boost::asio::awaitable<void> pollReady(std::size_t EntryIndex);

  /// @brief Takes an idle connection to the next entry VM or opens one; tries
  /// up to three entry VMs.
  /// @return The connection; null if no attempt succeeded.
  [[nodiscard]] boost::asio::awaitable<ConnectionPtr> acquire();

  /// @brief Gives back an idle keep-alive connection for reuse.
  void release(ConnectionPtr Connection);

  /// @brief Ends the polling of `/ready`.
  void stop() noexcept { Stopped = true; }

  [[nodiscard]] std::uint64_t connectFailures() const noexcept {
    return ConnectFailures;
  }

private:
  struct Target {
    boost::asio::ip::tcp::endpoint Endpoint;
    bool InRotation = true;
    std::deque<ConnectionPtr> Idle;
  };

  [[nodiscard]] boost::asio::awaitable<ConnectionPtr>
  open(std::size_t EntryIndex);
  [[nodiscard]] std::size_t nextTarget() noexcept;

  boost::asio::any_io_executor Executor;
  const Experiment &Plan;
  std::deque<Target> Targets;
  std::size_t RoundRobinIndex = 0;
  std::uint64_t ConnectFailures = 0;
  bool Stopped = false;
};

} // namespace jujubecart::dev

#endif
