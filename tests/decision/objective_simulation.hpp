#ifndef JUJUBECART_TESTS_DECISION_OBJECTIVE_SIMULATION_HPP
#define JUJUBECART_TESTS_DECISION_OBJECTIVE_SIMULATION_HPP

#include <jujubecart/decision/objective_dispatcher.hpp>

#include <functional>
#include <limits>
#include <map>
#include <random>
#include <vector>

namespace objective_simulation {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using TimePoint = jujubecart::core::TimePoint;

/// @brief Calls of one kind.
struct CallClass {
  double CallsPerS = 28;
  double MeanServiceMs = 120;
  milliseconds Objective{300};
  /// Time within which the entry VM needs the response.
  milliseconds Deadline{1000};
  /// Time after which the caller gives up. A rejected call returns once, if
  /// this is longer than Deadline.
  milliseconds Patience{0};
  std::uint8_t Priority = 5;
  /// Value of a call that meets its objective; a late one has a tenth of it.
  double Worth = 1;
  /// Whether an attempt may follow one that a server has rejected.
  std::uint32_t MaxAttempts = 1;
  /// Whether a second attempt starts at the time that the grant states.
  bool Hedged = false;
  /// As in decision::PendingCall.
  std::uint64_t Workspace = 0;
  bool WorkspacePriority = false;
  /// Factor on the arrival rate at a time in seconds; empty for 1.
  std::function<double(double)> RateFactor;
  /// Times that a rejected call returns, at once if it is above 1.
  unsigned Returns = 1;
};

/// @brief A cause of overload that lasts for a time.
struct Disturbance {
  double FromS = 0;
  double ToS = 0;
  /// Factor on the arrival rate of all classes.
  double ArrivalFactor = 1;
  /// Share of the calls that every server rejects without running them.
  double ShedShare = 0;
  /// Number of servers that do so.
  unsigned SheddingServers = std::numeric_limits<unsigned>::max();
  /// Servers that leave when the disturbance begins and return at its end.
  unsigned RemovedServers = 0;
};

/// @brief Workload on servers that run on shared machines. Service times are
/// multiplied by SlowFactor in slow periods and by SaturationFactor if all
/// slots are busy; both are fixed for a call when it starts.
struct Workload {
  unsigned Servers = 8;
  unsigned Slots = 2;
  std::vector<CallClass> Classes{CallClass{}};
  /// Probability that a period is a slow one.
  double SlowShare = 0.25;
  double SlowFactor = 4;
  /// Mean length of a period.
  double PeriodS = 0.3;
  double SaturationFactor = 1.7;
  /// Whether a call that occupies the last slot also slows the calls that run
  /// there, by the same factor on their remaining time.
  bool SlowsRunningCalls = false;
  /// Number of servers that accept calls and never answer.
  unsigned UnresponsiveServers = 0;
  /// Number of servers that never answer a share of their calls.
  unsigned HangingServers = 0;
  double HangShare = 0;
  /// Whether servers report their load and pace.
  bool ReportsPace = true;
  /// Time during which calls arrive.
  double DurationS = 40;
  std::vector<Disturbance> Disturbances;
  std::uint64_t Seed = 7;
  /// Time in which calls arrive that count in Statistics::Classes.
  double CountFromS = 0;
  double CountToS = 1e9;
};

/// @brief Number of calls by result. A call that returns after a rejection is
/// counted once, from its first arrival.
struct Statistics {
  unsigned Calls = 0;
  /// Calls that met the objective.
  unsigned OnTime = 0;
  /// Calls that missed the objective and were answered.
  unsigned Late = 0;
  /// Rejections, those of returning calls included.
  unsigned Rejected = 0;
  /// Longest time between the arrival of a call and its rejection.
  milliseconds MaxRejectionTime{0};
  unsigned MaxInFlight = 0;
  /// Calls that got no attempt within an eighth of their objective.
  unsigned HeldLong = 0;
  struct ClassCounts {
    unsigned Calls = 0;
    unsigned OnTime = 0;
    unsigned Served = 0;

    [[nodiscard]] double servedShare() const { return double(Served) / Calls; }
  };
  /// By class of calls, for those that arrived from CountFromS to CountToS.
  std::vector<ClassCounts> Classes;
  /// Worth of the calls, and what was earned of it, by second of arrival.
  std::vector<double> Owed;
  std::vector<double> Earned;

  [[nodiscard]] double onTimeShare() const { return double(OnTime) / Calls; }
  [[nodiscard]] double servedShare() const {
    return double(OnTime + Late) / Calls;
  }
  /// @brief Share of the worth of the calls that arrived in an interval, in
  /// seconds, that was earned.
  [[nodiscard]] double earnedShare(std::size_t From, std::size_t To) const;
};

/// @brief Runs a workload on an ObjectiveDispatcher in simulated time, without
/// a network. Arrivals, service times and periods are drawn independently, so
/// that two workloads with the same seed differ in their disturbances only.
class Simulation {
public:
  explicit Simulation(Workload Load);

  Statistics run();

private:
  /// @brief A call of a caller, over all its attempts.
  struct CallState {
    std::size_t Class = 0;
    /// First arrival at the load balancer.
    TimePoint FirstArrival;
    /// Arrival of this request; later than FirstArrival after a return.
    TimePoint Arrival;
    std::uint32_t Attempts = 0;
    bool Tried = false;
    std::vector<std::string> Excluded;
    bool Returned = false;
    /// Times that the call has returned.
    unsigned Returns = 0;
    /// Server that runs the call, and the end of its work there.
    unsigned Server = 0;
    TimePoint End;
    /// Grant in use; 0 while the call waits.
    std::uint64_t GrantId = 0;
    /// The other attempt of a hedged call; 0 if there is none.
    jujubecart::decision::CallToken Other = 0;
    bool IsHedge = false;
    /// Whether the server never answers this call.
    bool Hangs = false;
  };

  [[nodiscard]] bool counts(const CallState &Call) const;
  void schedule(TimePoint When, std::function<void()> Handler);
  void startPeriod(unsigned Server);
  void scheduleArrivals(std::size_t Class);
  void tick();
  jujubecart::decision::CallToken enqueue(CallState Call);
  void hedge(jujubecart::decision::CallToken Token);
  void cancelAttempt(jujubecart::decision::CallToken Token);
  void apply(const jujubecart::decision::Decisions &Out);
  void onRejected(const jujubecart::decision::Rejected &Rejection);
  void startCall(const jujubecart::decision::Granted &Grant);
  void slowRunningCalls(unsigned Server);
  void finishCall(const jujubecart::decision::Granted &Grant,
                  TimePoint StartedAt);
  void rejectAtServer(const jujubecart::decision::Granted &Grant);
  void sendProbes();
  void configure(unsigned RemovedServers);
  [[nodiscard]] double shedShare(unsigned Server) const;
  [[nodiscard]] double arrivalFactor() const;
  [[nodiscard]] bool answers(unsigned Server) const;
  [[nodiscard]] bool drawHang(unsigned Server);
  [[nodiscard]] jujubecart::core::LoadReport loadOf(unsigned Server) const;

  const Workload Load;
  jujubecart::decision::ObjectiveDispatcher Dispatcher;
  std::mt19937_64 ArrivalRandom;
  std::mt19937_64 ServiceRandom;
  std::mt19937_64 PeriodRandom;
  TimePoint Now;
  TimePoint End;
  std::multimap<TimePoint, std::function<void()>> Events;
  /// By server.
  std::vector<bool> InSlowPeriod;
  std::vector<unsigned> InFlight;
  std::map<jujubecart::decision::CallToken, CallState> Calls;
  jujubecart::decision::CallToken LastToken = 0;
  /// Further attempts that the retry budget allows.
  double RetryTokens = 20;
  Statistics Result;
};

} // namespace objective_simulation

#endif
