#ifndef JUJUBECART_BACKENDS_CONNECTION_POOL_HPP
#define JUJUBECART_BACKENDS_CONNECTION_POOL_HPP

#include <jujubecart/backends/connection.hpp>
#include <jujubecart/backends/pool_options.hpp>
#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/config.hpp>
#include <jujubecart/core/error.hpp>

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujubecart::backends {

/// @brief Numbers for metrics.
struct PoolCounters {
  std::uint64_t Open = 0;
  std::uint64_t Idle = 0;
  std::uint64_t Connects = 0;
  std::uint64_t FailedConnects = 0;
  std::uint64_t Reused = 0;
  /// Idle connections that were closed or silent when they were needed.
  std::uint64_t Stale = 0;
};

/// @brief Keeps connections to backend servers by address.
class ConnectionPool {
public:
  using Owned = std::unique_ptr<Connection>;

  /// @brief Creates an empty pool.
  ConnectionPool(boost::asio::any_io_executor Executor, PoolOptions Options,
                 const core::Clock &Time);

  /// @brief Takes an idle connection or opens one.
  /// @param Server Where to.
  /// @param ProvenLive Only a new connection or one proven live just now.
  /// @param Control Gives up the wait.
  /// @return The connection; on an error nothing was sent.
  [[nodiscard]] core::Awaitable<core::Result<Owned>>
  take(core::BackendServer Server, bool ProvenLive,
       std::shared_ptr<ConnectControl> Control);

  /// @brief Returns a connection on which a response has just ended.
  void giveBack(Owned Used) noexcept;

  /// @brief Closes a connection.
  void close(Owned Used) noexcept;

  /// @brief Closes idle connections that may have gone silent.
  /// @param Address Server from which a response did not arrive in time.
  /// @param Since Connections proven live after this instant are kept.
  void distrust(const std::string &Address, core::TimePoint Since) noexcept;

  /// @brief Sets how many entry VMs share each server's connections.
  void setFleetSize(std::uint32_t Size) noexcept;

  /// @brief Closes connections that have been idle too long; call it about
  /// once per second.
  void prune() noexcept;

  [[nodiscard]] PoolCounters counters() const;
  [[nodiscard]] const PoolOptions &options() const noexcept { return Options; }

private:
  using Waiter = std::weak_ptr<ConnectControl>;

  struct Entry {
    std::vector<Owned> Idle;
    std::deque<Waiter> Waiters;
    std::uint32_t Open = 0;
    std::uint32_t Connecting = 0;
  };

  enum class Step { Reuse, Connect, Wait, Refuse };

  [[nodiscard]] Step nextStep(const core::BackendServer &Server,
                              bool ProvenLive,
                              const std::shared_ptr<ConnectControl> &Control,
                              Owned &Out);
  [[nodiscard]] core::Awaitable<core::Result<Owned>>
  connect(std::string Address, std::shared_ptr<ConnectControl> Control);
  void closed(const std::string &Address, bool WasConnecting) noexcept;
  static void notifyOne(Entry &Server) noexcept;
  [[nodiscard]] std::uint32_t
  share(const core::BackendServer &Server) const noexcept;

  boost::asio::any_io_executor Executor;
  PoolOptions Options;
  const core::Clock &Time;
  std::atomic<std::uint32_t> FleetSize;
  std::atomic<std::uint64_t> Connects{0};
  std::atomic<std::uint64_t> FailedConnects{0};
  std::atomic<std::uint64_t> Reused{0};
  std::atomic<std::uint64_t> Stale{0};
  mutable std::mutex Mutex;
  std::unordered_map<std::string, Entry> Servers;
};

} // namespace jujubecart::backends

#endif
