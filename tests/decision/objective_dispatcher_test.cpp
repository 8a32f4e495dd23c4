#include "objective_simulation.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace objective_simulation;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Start{1h};

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
  Load.Classes = {{.CallsPerS = 62}};
  const Statistics Result = Simulation(Load).run();
  // Rejecting calls by a fixed margin reached 0.66 in the model in the design
  // notes.
  cr_assert_geq(Result.onTimeShare(), 0.55, "%.3f", Result.onTimeShare());
  cr_assert_leq(Result.MaxRejectionTime, Load.Classes.front().Deadline);
}

// Workload: servers with three slots that slow down when all are busy, at twice
// the usual rate. Guards against servers that are loaded beyond the point at
// which they slow down.
Test(ObjectiveDispatcher, high_load_stays_below_saturation) {
  const Statistics Result = Simulation({.Servers = 17,
                                        .Slots = 3,
                                        .Classes = {{.CallsPerS = 46,
                                                     .MeanServiceMs = 480,
                                                     .Objective = 1200ms,
                                                     .Deadline = 8000ms}},
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
      Simulation({.Classes = {{.CallsPerS = 75}}, .SaturationFactor = 1}).run();
  cr_assert_geq(Result.onTimeShare(), 0.88, "%.3f", Result.onTimeShare());
}

// Workload: servers that slow down strongly near capacity, above the rate that
// they can sustain. Guards against a saturation factor that is too low for such
// servers: a fixed factor reached 0.74.
Test(ObjectiveDispatcher, servers_that_slow_down_strongly_are_not_saturated) {
  const Statistics Result = Simulation({.Slots = 3,
                                        .Classes = {{.CallsPerS = 97.5}},
                                        .SaturationFactor = 2.5})
                                .run();
  cr_assert_geq(Result.onTimeShare(), 0.82, "%.3f", Result.onTimeShare());
}

// Workload: more calls than the servers can run below their preferred limit, on
// servers where only the call that takes the last slot is slow. Guards against
// slots that stay unused because running calls are thought to be slowed. With
// all slots in use outside of slow periods the servers finish 21 x 0.75 x 2 /
// (1.7 x 0.16 s) = 116 calls per second.
Test(ObjectiveDispatcher,
     last_slots_are_used_if_running_calls_keep_their_speed) {
  constexpr double CallsPerS = 150;
  const Statistics Result = Simulation({.Servers = 21,
                                        .Classes = {{.CallsPerS = CallsPerS,
                                                     .MeanServiceMs = 160,
                                                     .Objective = 400ms}},
                                        .SlowFactor = 5,
                                        .PeriodS = 0.15})
                                .run();
  cr_assert_geq(Result.servedShare(), 116 / CallsPerS, "%.3f",
                Result.servedShare());
}

// Workload: the same at a lower rate, where running calls are slowed as well.
// Guards against taking the last slots at the cost of calls that would have met
// their objective.
Test(ObjectiveDispatcher, last_slots_stay_free_if_running_calls_are_slowed) {
  const Statistics Result = Simulation({.Servers = 21,
                                        .Classes = {{.CallsPerS = 115,
                                                     .MeanServiceMs = 160,
                                                     .Objective = 400ms}},
                                        .SlowFactor = 5,
                                        .PeriodS = 0.15,
                                        .SlowsRunningCalls = true})
                                .run();
  cr_assert_geq(Result.onTimeShare(), 0.85, "%.3f", Result.onTimeShare());
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

// Guards against callers that are rejected at the same time and told to return
// at the same time, when there is room for one of them only.
Test(ObjectiveDispatcher,
     callers_rejected_at_the_same_time_return_one_after_another) {
  Fixture With(1, 1);
  for (int Count = 0; Count < 16; ++Count)
    With.call();
  cr_assert_geq(With.Rejections.size(), 8);
  const auto &First = With.Rejections.front();
  // The server needs at least 50 ms for each of the callers.
  cr_assert_geq(With.Rejections.back().RetryAfter - First.RetryAfter,
                (With.Rejections.size() - 1) * 50ms);
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

namespace {

// Sends calls one after the other until server 0 has failed one of them, and
// counts the calls that it gets within 100 ms of that failure.
unsigned callsAfterFirstFailure(unsigned Servers,
                                const core::CallReport &Failure) {
  Fixture Group(Servers);
  bool Failed = false;
  unsigned Out = 0;
  for (unsigned Call = 0; Call < 200; ++Call) {
    const std::size_t Index = Group.Grants.size();
    Group.call();
    while (Group.Grants.size() == Index) {
      cr_assert(Group.Rejections.empty());
      Group.wait(2ms);
    }
    const bool Broken = Group.Grants[Index].Server.Id == "0";
    Out += Failed && Broken;
    if (Failed && Call % 10 == 9)
      return Out;
    if (!Failed && Broken)
      Call = 0;
    Failed = Failed || Broken;
    Group.wait(10ms);
    Group.release(Index, Broken ? Failure : core::CallReport{.Elapsed = 10ms});
  }
  cr_assert_fail("server 0 got no call");
  return Out;
}

} // namespace

// Guards against a broken server that is used on until enough of its calls have
// failed to tell it from the others.
Test(ObjectiveDispatcher, broken_server_is_avoided_after_its_first_failure) {
  const core::CallReport Broken{.Outcome = core::CallOutcome::Broken};
  const core::CallReport Rejecting{.Outcome = core::CallOutcome::Rejected,
                                   .Load = core::LoadReport{}};
  for (const unsigned Servers : {2U, 8U, 24U}) {
    cr_expect_eq(callsAfterFirstFailure(Servers, Broken), 0, "one of %u fails",
                 Servers);
    cr_expect_eq(callsAfterFirstFailure(Servers, Rejecting), 0,
                 "one of %u rejects", Servers);
  }
}
