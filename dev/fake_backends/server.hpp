#ifndef JUJUBECART_DEV_FAKE_BACKENDS_SERVER_HPP
#define JUJUBECART_DEV_FAKE_BACKENDS_SERVER_HPP

#include "common/draw.hpp"
#include "fake_backends/fwd.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace jujubecart::dev {

/// @brief Settings of one backend server.
struct ServerOptions {
  std::string Id;
  std::string Service;
  boost::asio::ip::tcp::endpoint Listen;
  /// Requests that run at the same time.
  std::size_t Slots = 2;
  /// Limit on the requests that wait for a slot.
  std::size_t QueueLimit = 64;
  ServiceTimeModel ServiceTimes;
};

/// @brief One request accepted by a backend server.
struct Job {
  explicit Job(const boost::asio::any_io_executor &Executor)
      : Timer(Executor) {}

  std::uint64_t Draw = 0;
  std::string OrderKey;
  /// Called when the request completes; not called after Server::cancel.
  std::function<void()> Done;
  boost::asio::steady_timer Timer;
  /// Service time left without slowdown, as of ProgressSince.
  std::chrono::nanoseconds Remaining{0};
  std::chrono::steady_clock::time_point ProgressSince;
  bool Running = false;
  /// Completed or cancelled.
  bool Finished = false;
  /// Index in the RunRecord; valid once the job has started.
  std::size_t RecordIndex = 0;
};

/// @brief Faults injected into one backend server; see docs/bench.md.
struct InjectedFaults {
  bool Draining = false;
  /// Rejects every request with 503 and `X-Outcome: not-run`.
  bool FailFast = false;
  /// Reports load 0 and state `ok`, whatever the actual state is.
  bool HideState = false;
  /// Number of future requests that a fault still applies to: the connection is
  /// closed after the request was read, the response is truncated, or the
  /// response is delayed.
  std::uint64_t CloseAfterRead = 0;
  std::uint64_t TruncatedResponses = 0;
  std::uint64_t DelayedResponses = 0;
  /// Delay of each delayed response.
  std::chrono::milliseconds ResponseDelay{0};
  /// Connections of a lower generation never send another response.
  std::uint64_t SilentBelowGeneration = 0;
};

/// @brief Fake backend server with a fixed number of slots, a bounded FIFO
/// queue and injected faults. Needs a single-threaded context.
class Server {
public:
  /// @brief Opens the listening socket; @ref accept serves it.
  Server(boost::asio::io_context &Context, ServerOptions Options,
         RunRecord &Runs);

  /// @brief Accepts connections until the context stops.
  [[nodiscard]] boost::asio::awaitable<void> accept();

  /// @brief Starts a job if a slot is free, otherwise queues it.
  /// @return False if the queue is full or the server fails fast.
  [[nodiscard]] bool submit(const std::shared_ptr<Job> &Item);

  /// @brief Cancels a queued or running job whose connection closed.
  void cancel(const std::shared_ptr<Job> &Item);

  /// @brief Multiplies service times, including the remaining time of running
  /// jobs.
  /// @param Factor 1 is normal speed, 10 is ten times slower.
  /// @param Duration Time after which the factor returns to 1; 0 is unlimited.
  void slowDown(double Factor, std::chrono::milliseconds Duration);

  /// @brief Sets whether the server reports that it drains; requests are still
  /// served.
  void setDraining(bool Enabled);

  /// @brief Sets whether the server rejects every request at once.
  void setFailFast(bool Enabled);

  /// @brief Makes all open connections stop responding for good.
  void silenceConnections() noexcept {
    Faults.SilentBelowGeneration = NextGeneration;
  }

  /// @brief Records the state that is reported 500 ms later; called every 100
  /// ms.
  void sampleLoad();

  /// @brief Counts a request, and whether it arrived long after draining or
  /// failing fast began.
  void countArrival();

  /// @brief Counts a health probe in the current second of wall clock time.
  void countProbe();

  /// @brief Running and queued requests as of 500 ms ago.
  [[nodiscard]] std::size_t reportedLoad() const noexcept;

  /// @brief Whether the server was draining 500 ms ago.
  [[nodiscard]] bool reportedDrain() const noexcept;

  /// @brief Body of the response to `GET /health`: state and requests in
  /// flight.
  [[nodiscard]] nlohmann::json health() const;

  /// @brief Counters as JSON, for `GET /stats`.
  [[nodiscard]] nlohmann::json stats() const;

  [[nodiscard]] const ServerOptions &options() const noexcept {
    return Options;
  }
  [[nodiscard]] InjectedFaults &faults() noexcept { return Faults; }
  /// @brief `IP:port` that the server listens on.
  [[nodiscard]] std::string address() const;

  /// @brief Counters since the start; connections update some of them.
  struct Counters {
    std::uint64_t Opened = 0;
    std::uint64_t Open = 0;
    std::uint64_t MaxOpen = 0;
    std::uint64_t Arrivals = 0;
    std::uint64_t Rejected = 0;
    std::uint64_t Completed = 0;
    std::uint64_t Cancelled = 0;
    std::uint64_t Malformed = 0;
    std::uint64_t AfterFailFast300ms = 0;
    std::uint64_t AfterDrain3s = 0;
    /// Time from the start of draining to the last request; -1 if there is
    /// none.
    std::int64_t LastArrivalAfterDrainMs = -1;
  };
  [[nodiscard]] Counters &counters() noexcept { return Counts; }

private:
  struct Sample {
    std::size_t InFlight = 0;
    bool Draining = false;
    bool Slowed = false;
  };

  void start(const std::shared_ptr<Job> &Item);
  void schedule(const std::shared_ptr<Job> &Item);
  void finish(const std::shared_ptr<Job> &Item);
  void startNext();
  void applySlowdown(double Factor);

  ServerOptions Options;
  RunRecord &Runs;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer SlowdownTimer;
  std::vector<std::shared_ptr<Job>> Running;
  std::deque<std::shared_ptr<Job>> Queue;
  std::deque<Sample> Samples;
  InjectedFaults Faults;
  Counters Counts;
  std::map<std::int64_t, std::uint64_t> ProbesPerSecond;
  std::chrono::steady_clock::time_point DrainStart;
  std::chrono::steady_clock::time_point FailFastStart;
  double SlowdownFactor = 1.0;
  std::uint64_t NextGeneration = 1;
};

} // namespace jujubecart::dev

#endif
