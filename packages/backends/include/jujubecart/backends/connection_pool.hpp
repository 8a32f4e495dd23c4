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

/// @brief Numbers of connections (Open, Idle) and of events since the start.
struct PoolCounters {
  /// Idle, in use or being connected.
  std::uint64_t Open = 0;
  std::uint64_t Idle = 0;
  std::uint64_t Connects = 0;
  std::uint64_t FailedConnects = 0;
  std::uint64_t Reused = 0;
  /// Idle connections that could not be reused, because the server had closed
  /// them or had sent unexpected bytes.
  std::uint64_t Stale = 0;
  /// Bytes of requests to and responses from servers in other availability
  /// zones, including pace probes, which use this pool.
  std::uint64_t BytesToOtherZones = 0;
  std::uint64_t BytesFromOtherZones = 0;
};

/// @brief Pool of connections to backend servers, by address; limits the open
/// and the pending connections to each server. Safe for concurrent use.
class ConnectionPool {
public:
  using ConnectionPtr = std::unique_ptr<Connection>;

  /// @brief Creates an empty pool.
  /// @param Executor Executor of the sockets.
  /// @param Time Must outlive the pool.
  ConnectionPool(boost::asio::any_io_executor Executor, PoolOptions Options,
                 const core::Clock &Time);

  /// @brief Takes an idle connection or opens one; waits in a queue if the
  /// limit of the server is reached.
  /// @param Server Backend server to connect to.
  /// @param RequireVerified Reuse a connection only if a response arrived on it
  /// within OrderReuseWindow.
  /// @param Pending Aborts the wait or the connect.
  /// @return The connection, Unavailable or Cancelled; on an error nothing was
  /// sent.
  [[nodiscard]] core::Awaitable<core::Result<ConnectionPtr>>
  acquire(core::BackendServer Server, bool RequireVerified,
          std::shared_ptr<PendingAcquire> Pending);

  /// @brief Takes the idle connection that was used last, if it is verified or
  /// can be verified by a health request.
  /// @return Nullptr if there is none; nothing else is reserved then.
  [[nodiscard]] ConnectionPtr takeVerifiable(const std::string &Address);

  /// @brief Whether a response arrived on a connection within OrderReuseWindow.
  [[nodiscard]] bool isVerified(const Connection &Item) const noexcept;

  /// @brief Returns a connection to the pool right after the end of a response.
  void release(ConnectionPtr Item) noexcept;

  /// @brief Closes a connection, so that a waiting acquire can open another
  /// one.
  void close(ConnectionPtr Item) noexcept;

  /// @brief Closes idle connections that may be dead although no error showed
  /// it.
  /// @param Address Server whose response did not arrive in time.
  /// @param Since Connections verified as live at or after this instant are
  /// kept.
  void closeUnverified(const std::string &Address,
                       core::TimePoint Since) noexcept;

  /// @brief Sets the number of entry VMs among which the connections that each
  /// backend server accepts are divided.
  void setFleetSize(std::uint32_t Size) noexcept;

  /// @brief Closes connections that were idle for IdleTimeout; call it about
  /// once per second.
  void prune() noexcept;

  /// @brief Counts the bytes of an exchange if the server is in another zone.
  void recordBytes(const core::BackendServer &Server, std::uint64_t Sent,
                   std::uint64_t Received) noexcept;

  [[nodiscard]] PoolCounters counters() const;
  [[nodiscard]] const PoolOptions &options() const noexcept { return Options; }

private:
  using Waiter = std::weak_ptr<PendingAcquire>;

  /// @brief Connections to one backend server and the waiters for one.
  struct ServerPool {
    /// In order of their last use, the oldest first.
    std::vector<ConnectionPtr> Idle;
    std::deque<Waiter> Waiters;
    /// Idle, in use or being connected.
    std::uint32_t Open = 0;
    std::uint32_t Connecting = 0;
  };

  /// @brief What acquire does next; Refuse if the queue is full.
  enum class Step { Reuse, Connect, Wait, Refuse };

  /// @brief Takes an idle connection, reserves a new one or joins the queue.
  /// @param Out Receives the idle connection on Step::Reuse.
  [[nodiscard]] Step
  reserveOrEnqueue(const core::BackendServer &Server, bool RequireVerified,
                   const std::shared_ptr<PendingAcquire> &Pending,
                   ConnectionPtr &Out);
  [[nodiscard]] core::Awaitable<core::Result<ConnectionPtr>>
  connect(std::string Address, std::shared_ptr<PendingAcquire> Pending);
  /// @brief Frees the place of a connection that was closed.
  /// @param WasConnecting The connect had not succeeded.
  void recordClosed(const std::string &Address, bool WasConnecting) noexcept;
  /// @brief Makes the first waiter try again.
  static void notifyOne(ServerPool &Pool) noexcept;
  /// @brief Connections that this VM may have to a server, at least 1.
  [[nodiscard]] std::uint32_t
  connectionShare(const core::BackendServer &Server) const noexcept;

  boost::asio::any_io_executor Executor;
  PoolOptions Options;
  const core::Clock &Time;
  std::atomic<std::uint32_t> FleetSize;
  std::atomic<std::uint64_t> Connects{0};
  std::atomic<std::uint64_t> FailedConnects{0};
  std::atomic<std::uint64_t> Reused{0};
  std::atomic<std::uint64_t> Stale{0};
  std::atomic<std::uint64_t> BytesToOtherZones{0};
  std::atomic<std::uint64_t> BytesFromOtherZones{0};
  mutable std::mutex Mutex;
  std::unordered_map<std::string, ServerPool> Servers;
};

} // namespace jujubecart::backends

#endif
