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

/// @brief One backend server as given on the command line.
struct ServerOptions {
  std::string Id;
  std::string Service;
  boost::asio::ip::tcp::endpoint Listen;
  std::size_t Slots = 2;
  std::size_t QueueLimit = 64;
  ServiceTimes Times;
};

/// @brief One accepted request.
struct Job {
  explicit Job(const boost::asio::any_io_executor &Executor)
      : Timer(Executor) {}

  std::uint64_t Draw = 0;
  std::string OrderKey;
  /// Called when the service ends; not called after Server::cancel.
  std::function<void()> Done;
  boost::asio::steady_timer Timer;
  /// Work left at normal speed, as of Since.
  std::chrono::nanoseconds Remaining{0};
  std::chrono::steady_clock::time_point Since;
  bool Running = false;
  bool Finished = false;
  std::size_t RecordIndex = 0;
};

/// @brief Switches of one backend server; see docs/bench.md.
struct Switches {
  bool Drain = false;
  bool FailFast = false;
  bool Lie = false;
  /// Number of coming requests to which the fault applies.
  std::uint64_t CloseAfterRead = 0;
  std::uint64_t Truncate = 0;
  std::uint64_t Late = 0;
  /// Delay of late responses.
  std::chrono::milliseconds LateBy{0};
  /// Connections of a lower generation never answer again.
  std::uint64_t SilentBelow = 0;
};

/// @brief A backend server with slots, a FIFO queue and faults.
class Server {
public:
  /// @brief Starts to listen.
  Server(boost::asio::io_context &Context, ServerOptions Options, Record &Runs);

  /// @brief Accepts connections until the context stops.
  [[nodiscard]] boost::asio::awaitable<void> accept();

  /// @brief Queues or starts a job.
  /// @return False if the queue is full or the server fails fast.
  [[nodiscard]] bool submit(const std::shared_ptr<Job> &Item);

  /// @brief Withdraws a job whose connection closed.
  void cancel(const std::shared_ptr<Job> &Item);

  /// @brief Changes the speed; running jobs continue at the new speed.
  /// @param Slowdown 1 is normal, 10 is ten times slower.
  /// @param Length After it the speed returns to normal; 0: stays.
  void slow(double Slowdown, std::chrono::milliseconds Length);

  /// @brief Starts or ends draining.
  void drain(bool On);

  /// @brief Starts or ends to reject everything.
  void failFast(bool On);

  /// @brief Makes all open connections silent.
  void silence() noexcept { Faults.SilentBelow = NextGeneration; }

  /// @brief Records the load for reports; called every 100 ms.
  void sample();

  /// @brief Counts an arrival; part of the drain record.
  void noteArrival();

  /// @brief Counts a health probe.
  void noteProbe();

  /// @brief Requests in flight as reported, 500 ms old.
  [[nodiscard]] std::size_t reportedLoad() const noexcept;

  /// @brief Whether it reports that it drains, 500 ms old.
  [[nodiscard]] bool reportedDrain() const noexcept;

  /// @brief Response to `GET /health`.
  [[nodiscard]] nlohmann::json health() const;

  /// @brief Counters as JSON.
  [[nodiscard]] nlohmann::json stats() const;

  [[nodiscard]] const ServerOptions &options() const noexcept {
    return Options;
  }
  [[nodiscard]] Switches &faults() noexcept { return Faults; }
  [[nodiscard]] std::string address() const;

  /// @brief Counts connections and responses; maintained by Connection.
  struct Counters {
    std::uint64_t Opened = 0;
    std::uint64_t Open = 0;
    std::uint64_t MostOpen = 0;
    std::uint64_t Arrivals = 0;
    std::uint64_t Rejected = 0;
    std::uint64_t Completed = 0;
    std::uint64_t Cancelled = 0;
    std::uint64_t Malformed = 0;
    std::uint64_t AfterFailFast300ms = 0;
    std::uint64_t AfterDrain3s = 0;
    std::int64_t LastArrivalAfterDrainMs = -1;
  };
  [[nodiscard]] Counters &counters() noexcept { return Counts; }

private:
  struct Sample {
    std::size_t InFlight = 0;
    bool Drain = false;
    bool Cold = false;
  };

  void start(const std::shared_ptr<Job> &Item);
  void schedule(const std::shared_ptr<Job> &Item);
  void finish(const std::shared_ptr<Job> &Item);
  void startNext();
  void applySpeed(double Slowdown);

  ServerOptions Options;
  Record &Runs;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer SpeedTimer;
  std::vector<std::shared_ptr<Job>> Running;
  std::deque<std::shared_ptr<Job>> Queue;
  std::deque<Sample> Samples;
  Switches Faults;
  Counters Counts;
  std::map<std::int64_t, std::uint64_t> ProbesPerSecond;
  std::chrono::steady_clock::time_point DrainSince;
  std::chrono::steady_clock::time_point FailFastSince;
  double Speed = 1.0;
  std::uint64_t NextGeneration = 1;
};

} // namespace jujubecart::dev

#endif
