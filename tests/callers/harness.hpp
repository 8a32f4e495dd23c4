#ifndef JUJUBECART_TESTS_CALLERS_HARNESS_HPP
#define JUJUBECART_TESTS_CALLERS_HARNESS_HPP

#include <jujubecart/backends.hpp>
#include <jujubecart/callers.hpp>
#include <jujubecart/core.hpp>

#include <atomic>
#include <boost/asio.hpp>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace jujubecart::test {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

/// @brief Grants the first server that is not excluded, without a queue.
class FirstServerBroker final : public core::SlotBroker {
public:
  explicit FirstServerBroker(const core::ConfigSource &Config)
      : Config(Config) {}

  core::Awaitable<core::Result<core::SlotGrant>>
  acquire(core::SlotRequest Request) override;
  void cancel(core::RequestId) noexcept override { ++Cancels; }
  void release(const core::SlotGrant &,
               const core::CallReport &) noexcept override;
  void releaseClaim(const std::string &, core::OrderKey Key,
                    core::RequestId) noexcept override;

  /// @brief Outcomes reported so far.
  std::vector<core::CallOutcome> outcomes();

  std::atomic<int> Granted{0};
  std::atomic<int> Cancels{0};
  std::atomic<int> ClaimsReleased{0};

private:
  const core::ConfigSource &Config;
  std::mutex Mutex;
  std::map<core::OrderKey, core::RequestId> Claims;
  std::vector<core::CallOutcome> Outcomes;
};

/// @brief Records the kinds of events.
class EventRecorder final : public core::EventSink {
public:
  void record(core::Event Item) noexcept override;
  std::uint64_t logicalNow() noexcept override { return 0; }
  void observe(std::uint64_t) noexcept override {}
  int count(const std::string &Kind);

private:
  std::mutex Mutex;
  std::map<std::string, int> Kinds;
};

/// @brief Backend server whose behaviour is a function per connection.
class ScriptedBackend {
public:
  using Script = std::function<void(tcp::socket &, int Connection)>;

  explicit ScriptedBackend(Script Behaviour);
  ~ScriptedBackend();

  std::string address() const;
  int connections() const { return Accepted; }

  /// @brief Heads and bodies received, as read by readRequest.
  std::vector<std::string> requests();

  /// @brief Reads one request with its Content-Length or chunked body.
  std::string readRequest(tcp::socket &From);

private:
  void accept();

  Script Behaviour;
  asio::io_context Io;
  tcp::acceptor Acceptor;
  std::atomic<int> Accepted{0};
  std::atomic<bool> Closing{false};
  std::mutex Mutex;
  std::vector<std::string> Seen;
  std::vector<std::shared_ptr<tcp::socket>> Sockets;
  std::vector<std::thread> Handlers;
  std::thread Thread;
};

/// @brief Server for callers with its pool, on one port of the loopback.
class Harness {
public:
  struct Settings {
    callers::ServerOptions Options;
    backends::PoolOptions Pool;
    core::ServiceKind Kind = core::ServiceKind::Lookup;
    std::uint32_t DeadlineMs = 2000;
    bool Configured = true;
    int RetryTokens = 1;
    /// Routes that replace the rules of the service `tags`.
    std::vector<core::Route> Routes;
  };

  Harness(const std::vector<std::string> &Backends, const Settings &With);
  explicit Harness(const std::vector<std::string> &Backends)
      : Harness(Backends, Settings{}) {}
  ~Harness();

  /// @brief Opens a connection as a caller.
  tcp::socket connect();

  /// @brief Sends bytes and reads one response, or what there is until the
  /// close.
  std::string call(const std::string &Bytes);

  /// @brief Reads one response with Content-Length from a connection.
  static std::string readResponse(tcp::socket &From);

  /// @brief Stops the server.
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

/// @brief Script that answers every request with 200 and a body.
ScriptedBackend::Script answering(const std::string &Body);

/// @brief Response with Content-Length.
std::string response(const std::string &Status, const std::string &Body,
                     const std::string &Fields = "");

/// @brief Writes all bytes, ignoring errors.
void send(tcp::socket &To, const std::string &Bytes);

/// @brief Status code of a raw response, 0 if there is none.
int statusOf(const std::string &Response);

/// @brief Waits up to 3 s for a condition.
bool eventually(const std::function<bool()> &Condition);

} // namespace jujubecart::test

#endif
