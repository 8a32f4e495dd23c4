#ifndef JUJUBECART_TESTS_DECISION_SIMULATION_HPP
#define JUJUBECART_TESTS_DECISION_SIMULATION_HPP

#include <jujubecart/decision.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace simulation {

/// @brief Parameters of a simulation run; all times are in milliseconds.
struct SimulationConfig {
  unsigned Servers = 8;
  /// Slots per server.
  unsigned Slots = 2;
  /// Offered load as a fraction of the capacity.
  double Load = 0.75;
  /// Number of calls.
  unsigned Calls = 60000;
  std::uint64_t Seed = 1;
  /// One-way network delay between two zones; 0 within a zone.
  double ZoneDelay = 1.5;
  /// VM and server numbers are assigned to zones modulo Zones.
  unsigned Vms = 14;
  unsigned Zones = 4;
  /// Mean and coefficient of variation of the log-normal service time.
  double MeanService = 10;
  double ServiceVariation = 1.5;
  /// Intervals in which server 3 runs at a tenth of its speed.
  std::vector<std::pair<double, double>> SlowIntervals;
  double DeadlineMs = 2000;
  /// After this number of calls, the load changes to LaterLoad.
  unsigned SwitchAfter = ~0U;
  double LaterLoad = 0.75;
  /// Called for each call that arrives at a server. If it returns a report, the
  /// server answers with it at once without running the call.
  std::function<std::optional<jujubecart::core::CallReport>(unsigned Server,
                                                            double Now)>
      Fault;
  /// Called before each tick, for example to change the configuration.
  std::function<void(double Now, jujubecart::decision::GroupDispatcher &)>
      OnTick;
};

/// @brief One call of the workload; times are in milliseconds.
struct SimulatedCall {
  /// Time at which the VM receives the call.
  double Arrival = 0;
  unsigned Vm = 0;
  /// Service time at full speed.
  double Service = 0;
};

/// @brief Generates the workload: a Poisson process with log-normal service
/// times, determined by the seed.
inline std::vector<SimulatedCall>
generateCalls(const SimulationConfig &Config) {
  std::mt19937_64 Random(Config.Seed);
  const double Sigma2 =
      std::log(1 + Config.ServiceVariation * Config.ServiceVariation);
  std::lognormal_distribution<> Service(
      std::log(Config.MeanService) - Sigma2 / 2, std::sqrt(Sigma2));
  const double Rate = Config.Servers * Config.Slots / Config.MeanService;
  std::exponential_distribution<> Gap(Rate * Config.Load);
  std::vector<SimulatedCall> All(Config.Calls);
  double Now = 0;
  for (SimulatedCall &Item : All) {
    if (&Item - All.data() == std::ptrdiff_t(Config.SwitchAfter))
      Gap = std::exponential_distribution<>(Rate * Config.LaterLoad);
    Item = {Now += Gap(Random), unsigned(Random() % Config.Vms),
            Service(Random)};
  }
  return All;
}

/// @brief Random intervals of 100 to 800 ms, 500 to 1500 ms apart, for
/// SimulationConfig::SlowIntervals.
inline std::vector<std::pair<double, double>> slowEpisodes(double End,
                                                           std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::vector<std::pair<double, double>> All;
  for (double Now = 0; Now < End;) {
    Now += std::uniform_real_distribution(500.0, 1500.0)(Random);
    const double Length = std::uniform_real_distribution(100.0, 800.0)(Random);
    All.emplace_back(Now, Now + Length);
    Now += Length;
  }
  return All;
}

/// @brief Results of a simulation run; all times are in milliseconds.
struct SimulationResult {
  /// Latencies of the completed calls.
  std::vector<double> Latency;
  unsigned Rejected = 0;
  /// Number of calls that ended with a report from SimulationConfig::Fault.
  unsigned Failed = 0;
  /// Time and server number of each grant.
  std::vector<std::pair<double, unsigned>> Grants;
  /// Time of completion and latency of each completed call.
  std::vector<std::pair<double, double>> Completions;
  /// Time of rejection and latency of each rejected call.
  std::vector<std::pair<double, double>> Rejections;
  /// Number of grants by server id.
  std::map<std::string, unsigned> GrantCounts;

  /// @brief Quantile of Latency, which it reorders; Latency must not be empty.
  /// @param Probability From 0 to 1.
  [[nodiscard]] double quantile(double Probability) {
    const auto At = Latency.begin() +
                    std::ptrdiff_t(Probability * double(Latency.size() - 1));
    std::nth_element(Latency.begin(), At, Latency.end());
    return *At;
  }
};

/// @brief Discrete event simulation of the network and the backend servers.
class Simulator {
public:
  explicit Simulator(const SimulationConfig &Config) : Config(Config) {
    for (unsigned Index = 0; Index < Config.Servers; ++Index) {
      jujubecart::core::BackendServer Server;
      Server.Id = "s" + std::to_string(Index);
      Server.Zone = "z" + std::to_string(Index % Config.Zones);
      Server.Slots = Config.Slots;
      Servers.push_back(Server);
    }
    Waiting.resize(Config.Servers);
    BusySlots.resize(Config.Servers);
  }

  using Action = std::function<void()>;
  /// @brief Schedules an action; actions for the same time run in the order in
  /// which they were scheduled.
  void schedule(double Time, Action Run) {
    Events.push({Time, Sequence++, std::move(Run)});
  }
  /// @brief Runs all actions, also those scheduled meanwhile.
  void run() {
    while (!Events.empty()) {
      Event Next = std::move(const_cast<Event &>(Events.top()));
      Events.pop();
      Now = Next.Time;
      Next.Run();
    }
  }
  [[nodiscard]] jujubecart::core::TimePoint time() const {
    // Starts far from zero, as on a machine that has been up for a while.
    return jujubecart::core::TimePoint(
        std::chrono::nanoseconds(std::int64_t((Now + 1e6) * 1e6)));
  }
  /// @brief One-way delay between two VMs or servers, in milliseconds.
  [[nodiscard]] double delay(unsigned Left, unsigned Right) const {
    return Left % Config.Zones == Right % Config.Zones ? 0 : Config.ZoneDelay;
  }
  /// @brief Adds a call to a server's FIFO queue.
  /// @param Service Service time at full speed, in milliseconds.
  /// @param OnServed Completion handler.
  void serve(unsigned Server, double Service, Action OnServed) {
    Waiting[Server].emplace_back(Service, std::move(OnServed));
    startNext(Server);
  }

  /// Virtual time in milliseconds.
  double Now = 0;
  std::vector<jujubecart::core::BackendServer> Servers;

private:
  struct Event {
    double Time;
    std::uint64_t Sequence;
    Action Run;
    bool operator<(const Event &Other) const {
      return std::pair(Time, Sequence) > std::pair(Other.Time, Other.Sequence);
    }
  };
  void startNext(unsigned Server) {
    while (BusySlots[Server] < Config.Slots && !Waiting[Server].empty()) {
      auto [Service, OnServed] = std::move(Waiting[Server].front());
      Waiting[Server].pop_front();
      ++BusySlots[Server];
      schedule(completionTime(Server, Service),
               [this, Server, OnServed = std::move(OnServed)] {
                 --BusySlots[Server];
                 startNext(Server);
                 OnServed();
               });
    }
  }
  [[nodiscard]] double completionTime(unsigned Server, double Work) const {
    double Time = Now;
    if (Server != 3)
      return Time + Work;
    for (const auto &[From, To] : Config.SlowIntervals) {
      if (To <= Time)
        continue;
      if (Time + Work <= From)
        break;
      Work -= std::max(0.0, From - Time);
      Time = std::max(Time, From);
      if (Time + 10 * Work <= To)
        return Time + 10 * Work;
      Work -= (To - Time) / 10;
      Time = To;
    }
    return Time + Work;
  }

  const SimulationConfig &Config;
  std::priority_queue<Event> Events;
  std::uint64_t Sequence = 0;
  std::vector<std::deque<std::pair<double, Action>>> Waiting;
  std::vector<unsigned> BusySlots;
};

/// @brief Simulates a central FIFO queue that always knows the state of every
/// slot, as the reference for the other two.
[[nodiscard]] SimulationResult
simulateIdealQueue(const SimulationConfig &Config);
/// @brief Simulates VMs that each choose servers by a local policy.
/// @param Policy Name for makeLocalPolicy.
[[nodiscard]] SimulationResult
simulateLocalPolicy(const SimulationConfig &Config, std::string_view Policy);
/// @brief Simulates VMs that ask a GroupDispatcher on VM 0 for every call.
[[nodiscard]] SimulationResult
simulateDispatcher(const SimulationConfig &Config,
                   const jujubecart::decision::DispatcherOptions &Options);

} // namespace simulation

#endif
