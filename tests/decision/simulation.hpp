#ifndef JUJUBECART_TESTS_DECISION_SIMULATION_HPP
#define JUJUBECART_TESTS_DECISION_SIMULATION_HPP

#include <jujubecart/decision.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <utility>
#include <vector>

namespace simulation {

/// @brief Workload and fleet; times are in milliseconds.
struct Setting {
  unsigned Servers = 8;
  unsigned Slots = 2;
  double Load = 0.75;
  unsigned Calls = 60000;
  std::uint64_t Seed = 1;
  double Delay = 1.5;
  unsigned Vms = 14;
  unsigned Zones = 4;
  double Mean = 10;
  double Variation = 1.5;
  /// Server 3 runs at a tenth of its speed in these intervals.
  std::vector<std::pair<double, double>> Straggler;
  double DeadlineMs = 2000;
};

/// @brief One call of the workload.
struct Draw {
  double Arrival = 0;
  unsigned Vm = 0;
  double Service = 0;
};

inline std::vector<Draw> draws(const Setting &Given) {
  std::mt19937_64 Random(Given.Seed);
  const double Sigma2 = std::log(1 + Given.Variation * Given.Variation);
  std::lognormal_distribution<> Service(std::log(Given.Mean) - Sigma2 / 2,
                                        std::sqrt(Sigma2));
  std::exponential_distribution<> Gap(Given.Load * Given.Servers * Given.Slots /
                                      Given.Mean);
  std::vector<Draw> All(Given.Calls);
  double Now = 0;
  for (Draw &Item : All)
    Item = {Now += Gap(Random), unsigned(Random() % Given.Vms),
            Service(Random)};
  return All;
}

/// @brief Straggler episodes of 100 to 800 ms, one second apart on average.
inline std::vector<std::pair<double, double>> episodes(double End,
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

/// @brief Latencies of completed calls and the number of rejected ones.
struct Figures {
  std::vector<double> Latency;
  unsigned Rejected = 0;
  std::map<std::string, unsigned> Granted;

  [[nodiscard]] double quantile(double Part) {
    const auto At =
        Latency.begin() + std::ptrdiff_t(Part * double(Latency.size() - 1));
    std::nth_element(Latency.begin(), At, Latency.end());
    return *At;
  }
};

/// @brief Events in virtual time.
class Simulator {
public:
  explicit Simulator(const Setting &Given) : Given(Given) {
    for (unsigned Index = 0; Index < Given.Servers; ++Index) {
      jujubecart::core::BackendServer Server;
      Server.Id = "s" + std::to_string(Index);
      Server.Zone = "z" + std::to_string(Index % Given.Zones);
      Server.Slots = Given.Slots;
      Servers.push_back(Server);
    }
    Waiting.resize(Given.Servers);
    Busy.resize(Given.Servers);
  }

  using Step = std::function<void()>;
  void at(double Time, Step Run) {
    Events.push({Time, Sequence++, std::move(Run)});
  }
  void run() {
    while (!Events.empty()) {
      Event Next = std::move(const_cast<Event &>(Events.top()));
      Events.pop();
      Now = Next.Time;
      Next.Run();
    }
  }
  [[nodiscard]] jujubecart::core::TimePoint time() const {
    // A start far from zero, as on a machine that has been up for a while.
    return jujubecart::core::TimePoint(
        std::chrono::nanoseconds(std::int64_t((Now + 1e6) * 1e6)));
  }
  [[nodiscard]] double delay(unsigned Left, unsigned Right) const {
    return Left % Given.Zones == Right % Given.Zones ? 0 : Given.Delay;
  }
  /// @brief Puts a call in a server's FIFO queue.
  void serve(unsigned Server, double Service, Step Done) {
    Waiting[Server].emplace_back(Service, std::move(Done));
    startNext(Server);
  }

  double Now = 0;
  std::vector<jujubecart::core::BackendServer> Servers;

private:
  struct Event {
    double Time;
    std::uint64_t Sequence;
    Step Run;
    bool operator<(const Event &Other) const {
      return std::pair(Time, Sequence) > std::pair(Other.Time, Other.Sequence);
    }
  };
  void startNext(unsigned Server) {
    while (Busy[Server] < Given.Slots && !Waiting[Server].empty()) {
      auto [Service, Done] = std::move(Waiting[Server].front());
      Waiting[Server].pop_front();
      ++Busy[Server];
      at(finish(Server, Service), [this, Server, Done = std::move(Done)] {
        --Busy[Server];
        startNext(Server);
        Done();
      });
    }
  }
  [[nodiscard]] double finish(unsigned Server, double Work) const {
    double Time = Now;
    if (Server != 3)
      return Time + Work;
    for (const auto &[From, To] : Given.Straggler) {
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

  const Setting &Given;
  std::priority_queue<Event> Events;
  std::uint64_t Sequence = 0;
  std::vector<std::deque<std::pair<double, Step>>> Waiting;
  std::vector<unsigned> Busy;
};

[[nodiscard]] Figures ideal(const Setting &Given);
[[nodiscard]] Figures local(const Setting &Given, std::string_view Policy);
[[nodiscard]] Figures
dispatched(const Setting &Given,
           const jujubecart::decision::DispatcherOptions &Options);

} // namespace simulation

#endif
