#include "objective_simulation.hpp"

#include <criterion/criterion.h>
#include <jujubecart/decision/internal/hedge_timing.hpp>

using namespace jujubecart;
using namespace objective_simulation;
using decision::internal::hedgeTime;
using namespace std::chrono_literals;

namespace {

constexpr double ServiceUs = 180000;

double hedgeDelayUs(double SlowProbability, double FailureRate = 0) {
  constexpr core::TimePoint Start{1h};
  const core::TimePoint At =
      hedgeTime(Start, {.ExpectedUs = ServiceUs,
                        .SlowProbability = SlowProbability,
                        .SlowFactor = 4,
                        .FailureRate = FailureRate});
  return double(
      std::chrono::duration_cast<std::chrono::microseconds>(At - Start)
          .count());
}

/// @brief Lookups on a third of the capacity of 32 servers, six of which begin
/// to leave a third of their calls without an answer. In the six seconds of the
/// run few of them have enough calls to be ejected.
Workload hangingServers(bool Hedged) {
  Workload Load;
  Load.Servers = 32;
  Load.HangingServers = 6;
  Load.HangShare = 0.33;
  Load.DurationS = 6;
  Load.Classes = {{.CallsPerS = 60,
                   .MeanServiceMs = 180,
                   .Objective = 500ms,
                   .Deadline = 1500ms,
                   .Hedged = Hedged}};
  return Load;
}

} // namespace

// Guards against a second attempt for many calls that would have ended soon,
// and against one that comes too late to meet the objective.
Test(HedgeTiming, call_on_fast_server_is_hedged_after_two_service_times) {
  cr_assert_geq(hedgeDelayUs(0), 1.8 * ServiceUs);
  cr_assert_leq(hedgeDelayUs(0), 2.4 * ServiceUs);
}

// Guards against a second attempt while the first one runs in a slow period.
Test(HedgeTiming, call_that_may_run_in_a_slow_period_is_hedged_later) {
  cr_assert_geq(hedgeDelayUs(0.3), 4 * ServiceUs);
  cr_assert_geq(hedgeDelayUs(1), 4 * 1.8 * ServiceUs);
}

// Guards against a second attempt that comes too late for the objective on a
// server that is known to fail calls.
Test(HedgeTiming, call_on_failing_server_is_hedged_sooner) {
  cr_assert_leq(hedgeDelayUs(0, 0.2), 1.5 * ServiceUs);
  cr_assert_geq(hedgeDelayUs(0, 1), ServiceUs);
}

// Guards against lookups that wait until their deadline for a server that will
// never answer, although other servers are free.
Test(HedgedRequest, lookups_on_hanging_servers_are_answered) {
  Workload Healthy = hangingServers(true);
  Healthy.HangingServers = 0;
  const double Reference = Simulation(Healthy).run().earnedShare(0, 6);
  const Statistics Hedged = Simulation(hangingServers(true)).run();
  const Statistics Unhedged = Simulation(hangingServers(false)).run();
  cr_assert_geq(Hedged.earnedShare(0, 6), Reference - 0.05,
                "%.3f hedged, %.3f unhedged, %.3f on healthy servers",
                Hedged.earnedShare(0, 6), Unhedged.earnedShare(0, 6),
                Reference);
  cr_assert_geq(Hedged.servedShare(), 0.99, "%.3f hedged, %.3f unhedged",
                Hedged.servedShare(), Unhedged.servedShare());
}

// Guards against second attempts of calls that are slow because the servers are
// overloaded: they would take the slots of other calls and make these slow too.
Test(HedgedRequest, hedging_costs_nothing_under_overload) {
  Workload Load;
  Load.Servers = 16;
  Load.SlowsRunningCalls = true;
  Load.Classes = {{.CallsPerS = 75,
                   .MeanServiceMs = 180,
                   .Objective = 500ms,
                   .Deadline = 1500ms}};
  Load.Disturbances = {{.FromS = 10, .ToS = 15, .ArrivalFactor = 1.6}};
  const Statistics Unhedged = Simulation(Load).run();
  Load.Classes[0].Hedged = true;
  const Statistics Hedged = Simulation(Load).run();
  cr_assert_geq(Hedged.earnedShare(0, 40), Unhedged.earnedShare(0, 40) - 0.05,
                "%.3f hedged, %.3f unhedged", Hedged.earnedShare(0, 40),
                Unhedged.earnedShare(0, 40));
}
