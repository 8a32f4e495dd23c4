#include <criterion/criterion.h>
#include <jujubecart/decision/objective_dispatcher.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>

using namespace jujubecart;
using namespace std::chrono_literals;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

const core::TimePoint Start{1h};

/// @brief Workload on servers that run on shared machines. Service times are
/// multiplied by SlowFactor in slow periods and by SaturationFactor if all
/// slots are busy; both are fixed for a call when it starts.
struct Workload {
  unsigned Servers = 8;
  unsigned Slots = 2;
  double CallsPerS = 28;
  double MeanServiceMs = 120;
  milliseconds Objective = 300ms;
  milliseconds Deadline = 1000ms;
  /// Probability that a period is a slow one.
  double SlowShare = 0.25;
  double SlowFactor = 4;
  double SaturationFactor = 1.7;
  /// Number of servers that accept calls and never answer.
  unsigned UnresponsiveServers = 0;
  /// Time during which calls arrive.
  double DurationS = 40;
};

/// @brief Number of calls by result.
struct Statistics {
  unsigned Calls = 0;
  /// Calls that met the objective.
  unsigned OnTime = 0;
  /// Calls that missed the objective and met the deadline.
  unsigned Late = 0;
  unsigned Rejected = 0;
  /// Longest time between the arrival of a call and its rejection.
  milliseconds MaxRejectionTime{0};
  unsigned MaxInFlight = 0;

  [[nodiscard]] double onTimeShare() const { return double(OnTime) / Calls; }
  [[nodiscard]] double servedShare() const {
    return double(OnTime + Late) / Calls;
  }
};

/// @brief Runs a workload in simulated time, without a network.
class Simulation {
public:
  explicit Simulation(const Workload &Load)
      : Load(Load), Dispatcher(group(Load), options(), Start),
        InSlowPeriod(Load.Servers), InFlight(Load.Servers) {}

  Statistics run() {
    std::exponential_distribution<> InterarrivalS(Load.CallsPerS);
    std::exponential_distribution<> PeriodS(1 / 0.3);
    for (unsigned Server = 0; Server < Load.Servers; ++Server)
      startPeriod(Server, PeriodS);
    double ArrivalS = 0;
    while ((ArrivalS += InterarrivalS(Random)) < Load.DurationS)
      schedule(Start + microseconds(std::int64_t(ArrivalS * 1e6)),
               [this] { enqueueCall(); });
    tick();
    while (!Events.empty()) {
      const auto Next = Events.begin();
      Now = Next->first;
      const auto Handler = std::move(Next->second);
      Events.erase(Next);
      Handler();
      sendProbes();
    }
    return Result;
  }

private:
  static decision::DispatchGroup group(const Workload &Load) {
    decision::DispatchGroup Out{.Name = "g", .Service = "s", .Region = "r"};
    for (unsigned Server = 0; Server < Load.Servers; ++Server)
      Out.Servers.push_back({.Id = std::to_string(Server),
                             .Address = "10.0.0.1:1",
                             .Slots = Load.Slots});
    return Out;
  }
  static decision::DispatcherOptions options() {
    decision::DispatcherOptions Out;
    Out.Profile = core::PolicyProfile::Objective;
    return Out;
  }
  void schedule(core::TimePoint When, std::function<void()> Handler) {
    Events.emplace(When, std::move(Handler));
  }
  /// @brief Starts a slow or normal period and schedules the next one.
  void startPeriod(unsigned Server, std::exponential_distribution<> &PeriodS) {
    InSlowPeriod[Server] =
        std::uniform_real_distribution<>(0, 1)(Random) < Load.SlowShare;
    if (Now < Start + microseconds(std::int64_t(Load.DurationS * 1e6)))
      schedule(Now + microseconds(std::int64_t(PeriodS(Random) * 1e6)),
               [this, Server, &PeriodS] { startPeriod(Server, PeriodS); });
  }
  void tick() {
    decision::Decisions Out;
    Dispatcher.tick(Now, Out);
    apply(Out);
    if (!Events.empty())
      schedule(std::max(Dispatcher.nextTick(), Now + 1ms), [this] { tick(); });
  }
  void enqueueCall() {
    const decision::CallToken Token = ++LastToken;
    Arrived[Token] = Now;
    ++Result.Calls;
    decision::Decisions Out;
    Dispatcher.enqueue({.Token = Token,
                        .Holder = "vm",
                        .Deadline = Now + Load.Deadline,
                        .Objective = Now + Load.Objective,
                        .WorkClass = 1},
                       Now, Out);
    apply(Out);
  }
  void apply(const decision::Decisions &Out) {
    for (const decision::Decision &Item : Out) {
      if (const auto *Grant = std::get_if<decision::Granted>(&Item)) {
        startCall(*Grant);
        continue;
      }
      const auto &Rejection = std::get<decision::Rejected>(Item);
      ++Result.Rejected;
      Result.MaxRejectionTime = std::max(
          Result.MaxRejectionTime, std::chrono::duration_cast<milliseconds>(
                                       Now - Arrived[Rejection.Token]));
    }
  }
  void startCall(const decision::Granted &Grant) {
    const unsigned Server = unsigned(std::stoul(Grant.Server.Id));
    const unsigned Calls = ++InFlight[Server];
    Result.MaxInFlight = std::max(Result.MaxInFlight, Calls);
    std::lognormal_distribution<> ServiceMs(
        std::log(Load.MeanServiceMs) - 0.045, 0.3);
    double Ms = ServiceMs(Random) *
                (InSlowPeriod[Server] ? Load.SlowFactor : 1) *
                (Calls == Load.Slots ? Load.SaturationFactor : 1);
    const bool Unresponsive = Server < Load.UnresponsiveServers;
    if (Unresponsive)
      Ms = double(Load.Deadline.count());
    const core::TimePoint StartedAt = Now;
    schedule(Now + microseconds(std::int64_t(Ms * 1000)),
             [this, Grant, Server, Unresponsive, StartedAt] {
               --InFlight[Server];
               core::CallReport Report;
               Report.Elapsed =
                   std::chrono::duration_cast<microseconds>(Now - StartedAt);
               if (Unresponsive)
                 Report.Outcome = core::CallOutcome::TimedOut;
               else
                 Report.Load = core::LoadReport{.InFlight = InFlight[Server],
                                                .PacePercent = pace(Server)};
               const auto Latency = Now - Arrived[Grant.Token];
               if (!Unresponsive && Latency <= Load.Objective)
                 ++Result.OnTime;
               else if (!Unresponsive && Latency <= Load.Deadline)
                 ++Result.Late;
               decision::Decisions Out;
               Dispatcher.release(Grant.GrantId, Report, Now, Out);
               apply(Out);
             });
  }
  [[nodiscard]] std::uint32_t pace(unsigned Server) const {
    return InSlowPeriod[Server] ? std::uint32_t(100 * Load.SlowFactor) : 100;
  }
  void sendProbes() {
    while (const auto Server = Dispatcher.nextProbe(Now)) {
      const unsigned Index = unsigned(std::stoul(Server->Id));
      if (Index < Load.UnresponsiveServers)
        continue;
      schedule(Now + 3ms, [this, Index, Id = Server->Id] {
        decision::Decisions Out;
        Dispatcher.recordProbe(
            Id,
            {.State = decision::ProbeState::Ok,
             .Load = core::LoadReport{.PacePercent = pace(Index)}},
            Now, Out);
        apply(Out);
      });
    }
  }

  const Workload Load;
  decision::ObjectiveDispatcher Dispatcher;
  std::mt19937_64 Random{7};
  core::TimePoint Now = Start;
  std::multimap<core::TimePoint, std::function<void()>> Events;
  /// By server.
  std::vector<bool> InSlowPeriod;
  std::vector<unsigned> InFlight;
  std::map<decision::CallToken, core::TimePoint> Arrived;
  decision::CallToken LastToken = 0;
  Statistics Result;
};

/// @brief A dispatcher, the decisions it has made and a clock that stands still
/// between the calls of wait.
struct Fixture {
  decision::DispatchGroup Group{.Name = "g", .Service = "s", .Region = "r"};
  std::vector<decision::Granted> Grants;
  std::vector<decision::Rejected> Rejections;
  std::unique_ptr<decision::Dispatcher> Dispatcher;
  core::TimePoint Now = Start;
  decision::CallToken LastToken = 0;

  explicit Fixture(unsigned Servers, unsigned Slots = 3) {
    for (unsigned Server = 0; Server < Servers; ++Server)
      Group.Servers.push_back({.Id = std::to_string(Server),
                               .Address = "10.0.0.1:1",
                               .Slots = Slots});
    decision::DispatcherOptions Options;
    Options.Profile = core::PolicyProfile::Objective;
    Dispatcher = decision::makeDispatcher(Group, Options, Now);
  }
  void record(const decision::Decisions &Out) {
    for (const decision::Decision &Item : Out) {
      if (const auto *Grant = std::get_if<decision::Granted>(&Item))
        Grants.push_back(*Grant);
      else
        Rejections.push_back(std::get<decision::Rejected>(Item));
    }
  }
  decision::CallToken call(std::uint8_t Priority = 5,
                           std::vector<std::string> Excluded = {}) {
    decision::Decisions Out;
    Dispatcher->enqueue({.Token = ++LastToken,
                         .Holder = "vm",
                         .Deadline = Now + 1000ms,
                         .Priority = Priority,
                         .Excluded = std::move(Excluded),
                         .Objective = Now + 500ms,
                         .WorkClass = 1},
                        Now, Out);
    record(Out);
    return LastToken;
  }
  /// @brief Advances the time and ticks the dispatcher.
  void wait(milliseconds Time) {
    Now += Time;
    decision::Decisions Out;
    Dispatcher->tick(Now, Out);
    record(Out);
  }
  /// @brief Releases a grant.
  /// @param Grant Index in Grants.
  void release(std::size_t Grant, const core::CallReport &Report) {
    decision::Decisions Out;
    Dispatcher->release(Grants[Grant].GrantId, Report, Now, Out);
    record(Out);
  }
};

} // namespace

// Workload: low load; noisy neighbours slow down each server for a quarter of
// the time. Guards against calls that are sent to a server in a slow period
// although other servers are free.
Test(ObjectiveDispatcher, low_load_with_slow_periods_meets_the_objective) {
  const Statistics Result = Simulation({}).run();
  cr_assert_geq(Result.onTimeShare(), 0.9, "%.3f", Result.onTimeShare());
  cr_assert_eq(Result.Rejected, 0);
}

// Workload: more calls than the servers can serve within the objective. Guards
// against a queue that grows until every call misses its objective.
Test(ObjectiveDispatcher,
     overload_serves_most_on_time_and_rejects_the_rest_by_the_deadline) {
  Workload Load;
  Load.CallsPerS = 62;
  const Statistics Result = Simulation(Load).run();
  // Rejecting calls by a fixed margin reached 0.66 in the model in the design
  // notes.
  cr_assert_geq(Result.onTimeShare(), 0.55, "%.3f", Result.onTimeShare());
  cr_assert_leq(Result.MaxRejectionTime, Load.Deadline);
}

// Workload: servers with three slots that slow down when all are busy, at twice
// the usual rate. Guards against servers that are loaded beyond the point at
// which they slow down.
Test(ObjectiveDispatcher, high_load_stays_below_saturation) {
  const Statistics Result = Simulation({.Servers = 17,
                                        .Slots = 3,
                                        .CallsPerS = 46,
                                        .MeanServiceMs = 480,
                                        .Objective = 1200ms,
                                        .Deadline = 8000ms,
                                        .SlowShare = 0.35})
                                .run();
  cr_assert_geq(Result.onTimeShare(), 0.75, "%.3f", Result.onTimeShare());
  cr_assert_geq(Result.servedShare(), 0.95, "%.3f", Result.servedShare());
}

// Workload: servers that do not slow down near capacity, at a rate that needs
// all of their slots. Guards against slots that are never used: a fixed limit
// below the number of slots reached 0.82.
Test(ObjectiveDispatcher,
     servers_that_keep_their_speed_are_used_up_to_all_slots) {
  const Statistics Result =
      Simulation({.CallsPerS = 75, .SaturationFactor = 1}).run();
  cr_assert_geq(Result.onTimeShare(), 0.88, "%.3f", Result.onTimeShare());
}

// Workload: servers that slow down strongly near capacity, above the rate that
// they can sustain. Guards against a saturation factor that is too low for such
// servers: a fixed factor reached 0.74.
Test(ObjectiveDispatcher, servers_that_slow_down_strongly_are_not_saturated) {
  const Statistics Result =
      Simulation({.Slots = 3, .CallsPerS = 97.5, .SaturationFactor = 2.5})
          .run();
  cr_assert_geq(Result.onTimeShare(), 0.82, "%.3f", Result.onTimeShare());
}

// Workload: two of eight servers accept calls and never answer. Guards against
// unresponsive servers that keep getting calls.
Test(ObjectiveDispatcher, unresponsive_servers_cost_few_calls) {
  const Statistics Result = Simulation({.UnresponsiveServers = 2}).run();
  cr_assert_geq(Result.onTimeShare(), 0.8, "%.3f", Result.onTimeShare());
}

// Guards against a call that waits until its deadline although every server is
// excluded.
Test(ObjectiveDispatcher, call_without_a_server_is_rejected_as_unavailable) {
  Fixture With(1);
  With.call(5, {"0"});
  cr_assert_eq(With.Rejections.size(), 1);
  cr_assert(With.Rejections.front().Reason == core::Error::Unavailable);
  cr_assert_gt(With.Rejections.front().RetryAfter.count(), 0);
}

// Guards against a call that waits for the result of a probe that an
// unresponsive server never answers.
Test(ObjectiveDispatcher, unanswered_probes_delay_a_call_by_milliseconds_only) {
  Fixture With(2);
  With.call();
  cr_assert(With.Grants.empty());
  cr_assert(With.Dispatcher->nextProbe(With.Now).has_value());
  With.wait(20ms);
  cr_assert_eq(With.Grants.size(), 1);
}

// Guards against waiting calls that are served in order of arrival only,
// regardless of their priority.
Test(ObjectiveDispatcher, call_with_higher_priority_is_served_first) {
  Fixture With(1, 1);
  With.call();
  With.wait(20ms);
  cr_assert_eq(With.Grants.size(), 1);
  With.call(2);
  const decision::CallToken HighPriority = With.call(1);
  With.wait(20ms);
  With.release(0, {.Elapsed = microseconds(20000)});
  With.wait(20ms);
  cr_assert_geq(With.Grants.size(), 2);
  cr_assert_eq(With.Grants[1].Token, HighPriority);
}

// Guards against calls to a server whose address now belongs to another
// process, as a call report has shown.
Test(ObjectiveDispatcher,
     replaced_instance_gets_no_calls_until_its_entry_changes) {
  Fixture With(1);
  With.call();
  With.wait(20ms);
  With.release(0,
               {.Outcome = core::CallOutcome::Rejected, .OtherInstance = true});
  With.call();
  cr_assert(With.Rejections.back().Reason == core::Error::Unavailable);
  With.Group.Servers.front().Incarnation = 2;
  decision::Decisions Out;
  With.Dispatcher->configure(With.Group, With.Now, Out);
  With.call();
  With.wait(20ms);
  cr_assert_eq(With.Grants.size(), 2);
}

// Guards against slots that stay occupied after the VM that held the grants has
// left.
Test(ObjectiveDispatcher, dropped_holder_frees_its_grants_and_waiting_calls) {
  Fixture With(1, 1);
  With.call();
  With.wait(20ms);
  With.call();
  decision::Decisions Out;
  With.Dispatcher->dropHolder("vm", With.Now, Out);
  cr_assert_eq(With.Dispatcher->queued(), 0);
  cr_assert_eq(With.Dispatcher->status(With.Now).front().InFlight, 0);
}

// Guards against slots that count as free while calls granted by an earlier
// dispatcher are in flight, and against more releases than adopted calls.
Test(ObjectiveDispatcher, each_adopted_call_is_returned_on_its_own) {
  Fixture With(1);
  With.Dispatcher->adopt("other", "0", 2, With.Now);
  cr_assert_eq(With.Dispatcher->status(With.Now).front().InFlight, 2);
  decision::Decisions Out;
  With.Dispatcher->releaseAdopted("other", "0", {}, With.Now, Out);
  cr_assert_eq(With.Dispatcher->status(With.Now).front().InFlight, 1);
  With.Dispatcher->releaseAdopted("other", "0", {}, With.Now, Out);
  With.Dispatcher->releaseAdopted("other", "0", {}, With.Now, Out);
  cr_assert_eq(With.Dispatcher->status(With.Now).front().InFlight, 0);
}

// Guards against new calls to a server that is configured as draining.
Test(ObjectiveDispatcher, draining_server_gets_no_calls) {
  Fixture With(2);
  With.Group.Servers[0].State = core::ServerState::Draining;
  decision::Decisions Out;
  With.Dispatcher->configure(With.Group, With.Now, Out);
  for (int Count = 0; Count < 4; ++Count) {
    With.call();
    With.wait(20ms);
  }
  for (const decision::Granted &Each : With.Grants)
    cr_assert_eq(Each.Server.Id, "1");
}
