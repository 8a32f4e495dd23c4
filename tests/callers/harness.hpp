#ifndef JUJUBECART_TESTS_CALLERS_HARNESS_HPP
#define JUJUBECART_TESTS_CALLERS_HARNESS_HPP

#include <jujubecart/backends.hpp>
#include <jujubecart/callers.hpp>
#include <jujubecart/core.hpp>

#include <atomic>
#include <boost/asio.hpp>
#include <functional>
#include <future>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace jujubecart::test {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

/// @brief Broker that grants the first server of the service that is not
/// excluded, at once and up to a limit; keeps claims of order keys.
class FirstServerBroker final : public core::SlotBroker {
public:
  explicit FirstServerBroker(const core::ConfigSource &Config)
      : Config(Config) {}

  core::Awaitable<core::Result<core::SlotGrant>>
  acquire(core::SlotRequest Request) override;
  void cancel(core::RequestId Request) noexcept override;
  [[nodiscard]] bool
  permits(const core::SlotGrant &Grant) const noexcept override;
  void release(const core::SlotGrant &,
               const core::CallReport &) noexcept override;
  void releaseClaim(const std::string &, core::OrderKey Key,
                    core::RequestId) noexcept override;

  /// @brief Forbids requests to a server from now on, also with grants.
  void avoid(const std::string &Server);

  /// @brief Outcomes of the released slots, in order of release.
  std::vector<core::CallOutcome> outcomes();

  /// @brief Requests for a slot, in the order of their arrival.
  std::vector<core::SlotRequest> slotRequests();

  /// @brief Sets after which time grants allow a second attempt.
  void setHedgeDelay(std::chrono::milliseconds Delay) { HedgeDelay = Delay; }

  /// Once so many slots were granted, further requests wait until they are
  /// cancelled.
  std::atomic<int> MaxGrants{std::numeric_limits<int>::max()};
  std::atomic<int> Granted{0};
  std::atomic<int> Waiting{0};
  std::atomic<int> Cancels{0};
  std::atomic<int> ClaimsReleased{0};
  /// Refuses each request because of its quota, with a retry after 1.5 s.
  std::atomic<bool> QuotaUsed{false};

private:
  const core::ConfigSource &Config;
  std::optional<std::chrono::milliseconds> HedgeDelay;
  mutable std::mutex Mutex;
  std::set<std::string> Avoided;
  /// The request that holds each claimed key.
  std::map<core::OrderKey, core::RequestId> Claims;
  std::vector<core::CallOutcome> Outcomes;
  std::vector<core::SlotRequest> Received;
  /// Timers of the requests that wait, by request id.
  std::multimap<std::uint64_t, std::shared_ptr<asio::steady_timer>> Waits;
};

/// @brief Counts the recorded events of each kind.
class EventRecorder final : public core::EventSink {
public:
  void record(core::Event Item) noexcept override;
  std::uint64_t logicalNow() noexcept override { return 0; }
  void observe(std::uint64_t) noexcept override {}
  /// @brief Number of recorded events of a kind.
  int count(const std::string &Kind);

private:
  std::mutex Mutex;
  std::map<std::string, int> CountByKind;
};

/// @brief Backend server on the loopback that runs a function for each accepted
/// connection, on a thread of its own.
class ScriptedBackend {
public:
  /// Called with the index of the connection, starting at 0. The connection is
  /// shut down when the function returns.
  using Script = std::function<void(tcp::socket &, int Connection)>;

  explicit ScriptedBackend(Script Behaviour);
  ~ScriptedBackend();

  /// @brief IP address and port, separated by a colon.
  std::string address() const;
  /// @brief Number of connections accepted so far.
  int connections() const { return Accepted; }

  /// @brief Requests that readRequest has read, each with head and body.
  std::vector<std::string> requests();

  /// @brief Reads one request, whose body may have a Content-Length or be
  /// chunked.
  /// @return Its bytes; empty if the connection ended before the end of the
  /// head.
  std::string readRequest(tcp::socket &From);

private:
  void accept();

  Script Behaviour;
  asio::io_context Io;
  tcp::acceptor Acceptor;
  std::atomic<int> Accepted{0};
  std::atomic<bool> Closing{false};
  std::mutex Mutex;
  std::vector<std::string> Requests;
  std::vector<std::shared_ptr<tcp::socket>> Sockets;
  std::vector<std::thread> Handlers;
  std::thread Thread;
};

/// @brief Server for callers under test with a connection pool, listening on a
/// loopback port; runs on two threads.
class Harness {
public:
  struct Settings {
    callers::ServerOptions Options;
    backends::PoolOptions Pool;
    core::ServiceKind Kind = core::ServiceKind::Lookup;
    std::uint32_t DeadlineMs = 2000;
    /// Whether a configuration is loaded; it has the service `tags` only.
    bool Configured = true;
    /// Retries that the retry budget allows at the start.
    int RetryTokens = 1;
    /// Routing table that replaces the rules of the service `tags`, if not
    /// empty.
    std::vector<core::Route> Routes;
    const core::HttpProfile *Profile = &core::nativeHttpProfile();
    /// Limits of the routing table.
    core::CallerLimits Limits;
    /// Workspaces of the routing table.
    core::WorkspaceTable Workspaces = {};
    const core::ConfigFreshness *Freshness = nullptr;
  };

  /// @brief Starts the server.
  /// @param Backends Addresses of the backend servers, which get the ids s0, s1
  /// and so on.
  Harness(const std::vector<std::string> &Backends,
          const Settings &TestSettings);
  explicit Harness(const std::vector<std::string> &Backends)
      : Harness(Backends, Settings{}) {}
  ~Harness();

  /// @brief Opens a connection to the server; reads time out after 10 s.
  tcp::socket connect();

  /// @brief Sends bytes on a new connection and reads one response, or the
  /// bytes received until the connection closes.
  std::string call(const std::string &Bytes);

  /// @brief Reads one response, whose body may have a Content-Length or be
  /// chunked.
  static std::string readResponse(tcp::socket &From);

  /// @brief Starts a graceful stop of the server.
  /// @param Within Time until the remaining requests are cut off.
  std::future<callers::StopReport> stop(std::chrono::milliseconds Within);

  asio::io_context Io;
  core::SystemClock Time;
  core::ConfigTable Config;
  FirstServerBroker Broker;
  EventRecorder Events;
  decision::RetryBudget Retries;
  backends::ConnectionPool Pool;
  backends::Transport Transport;
  std::unique_ptr<callers::Server> Server;

private:
  tcp::socket newSocket();

  asio::io_context CallerIo;
  asio::executor_work_guard<asio::io_context::executor_type> Work;
  std::vector<std::thread> Threads;
};

/// @brief Script that answers every request head with 200 and a body; it does
/// not read request bodies.
ScriptedBackend::Script answerWith(const std::string &Body);

/// @brief Serializes a response with a Content-Length.
/// @param Status Status code and reason phrase.
/// @param Fields Further header lines, each ending in CRLF.
std::string response(const std::string &Status, const std::string &Body,
                     const std::string &Fields = "");

/// @brief Writes all bytes, ignoring errors.
void send(tcp::socket &To, const std::string &Bytes);

/// @brief Status code of a serialized response; 0 if it has no status line.
int statusOf(const std::string &Response);

/// @brief Polls a condition for up to 3 s.
/// @return Whether it became true.
bool eventually(const std::function<bool()> &Condition);

} // namespace jujubecart::test

#endif
