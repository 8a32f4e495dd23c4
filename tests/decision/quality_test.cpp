#include "simulation.hpp"

#include <criterion/criterion.h>

using namespace simulation;
using jujubecart::decision::DispatcherOptions;

namespace {

/// @brief Number of backend servers and slots per server.
struct Fleet {
  unsigned Servers;
  unsigned Slots;
};

constexpr Fleet Fleets[] = {{8, 2}, {6, 3}, {12, 2}, {17, 3}};

SimulationConfig configFor(const Fleet &Size, double Load) {
  SimulationConfig Config;
  Config.Servers = Size.Servers;
  Config.Slots = Size.Slots;
  Config.Load = Load;
  Config.Seed = 1;
  return Config;
}

// Checks p99 latency of a GroupDispatcher: at most MaxRatio times that of the
// ideal queue, and better than two random choices by at least MinGapClosed of
// the gap between these and the ideal queue.
void checkTail(double Load, double MaxRatio, double MinGapClosed) {
  for (const Fleet &Size : Fleets) {
    const SimulationConfig Config = configFor(Size, Load);
    const double Ideal = simulateIdealQueue(Config).quantile(0.99);
    const double Baseline =
        simulateLocalPolicy(Config, "power-of-two-choices").quantile(0.99);
    SimulationResult Result = simulateDispatcher(Config, DispatcherOptions{});
    const double Dispatched = Result.quantile(0.99);
    cr_assert_eq(Result.Rejected, 0);
    cr_assert_leq(Dispatched, MaxRatio * Ideal, "%u x %u: p99 %.1f, ideal %.1f",
                  Size.Servers, Size.Slots, Dispatched, Ideal);
    cr_assert_geq(Baseline - Dispatched, MinGapClosed * (Baseline - Ideal),
                  "%u x %u: p99 %.1f, ideal %.1f, two choices %.1f",
                  Size.Servers, Size.Slots, Dispatched, Ideal, Baseline);
  }
}

} // namespace

// Guards against calls that are bound early to a server whose slots then stay
// busy for long.
Test(Quality, p99_at_75_percent_load_is_near_ideal) {
  checkTail(0.75, 1.15, 0.6);
}

// Guards against slots that idle while the report of a call's end is on its way
// to the dispatcher.
Test(Quality, p99_at_90_percent_load_is_near_ideal) {
  checkTail(0.9, 1.25, 0.7);
}

// Guards against needless network delay in the median call.
Test(Quality, median_at_75_percent_load_is_near_ideal) {
  for (const Fleet &Size : Fleets) {
    const SimulationConfig Config = configFor(Size, 0.75);
    cr_assert_leq(simulateDispatcher(Config, DispatcherOptions{}).quantile(0.5),
                  1.5 * simulateIdealQueue(Config).quantile(0.5));
  }
}

// Guards against a server that becomes ten times slower at times and still gets
// calls.
Test(Quality, slow_server_raises_p99_by_at_most_half) {
  for (const Fleet &Size : Fleets) {
    SimulationConfig Config = configFor(Size, 0.75);
    const double Without =
        simulateDispatcher(Config, DispatcherOptions{}).quantile(0.99);
    Config.SlowIntervals =
        slowEpisodes(generateCalls(Config).back().Arrival, 1);
    const double With =
        simulateDispatcher(Config, DispatcherOptions{}).quantile(0.99);
    cr_assert_leq(With, 1.5 * Without, "%u x %u: p99 %.1f, without %.1f",
                  Size.Servers, Size.Slots, With, Without);
  }
}

// Guards against a zone preference that overloads one zone: if all callers are
// in one zone, calls must spill over to the other zones before the queues of
// its two servers raise latency.
Test(Quality, callers_in_one_zone_spill_over_to_the_others) {
  SimulationConfig Config = configFor({8, 2}, 0.75);
  Config.Vms = 1;
  SimulationResult Result = simulateDispatcher(Config, DispatcherOptions{});
  cr_assert_leq(Result.quantile(0.99),
                1.15 * simulateIdealQueue(Config).quantile(0.99));
  for (const auto &[Id, Count] : Result.GrantCounts)
    cr_assert_geq(Count, Config.Calls / 16, "%s got %u calls", Id.c_str(),
                  Count);
}
