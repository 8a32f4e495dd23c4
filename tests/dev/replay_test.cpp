#include "ideal/replay.hpp"

#include <cmath>
#include <criterion/criterion.h>

using namespace jujubecart::dev;
using std::chrono::microseconds;
using std::chrono::nanoseconds;

namespace {

Experiment oneService(std::vector<std::string> SlotZones) {
  Experiment Plan;
  Plan.Entries = {{"vm-1", "127.0.0.1:1", "", "a"}};
  Plan.Services.resize(1);
  Plan.Services[0].SlotZones = std::move(SlotZones);
  Plan.CallerDelay = microseconds(3000);
  Plan.ZoneDelay = microseconds(1500);
  return Plan;
}

double serviceMs(const Experiment &Plan, std::uint64_t Draw) {
  return static_cast<double>(Plan.ServiceTimes.forDraw(Draw).count()) / 1e6;
}

} // namespace

// Guards against a lower bound on latency that is too high: the replay is the
// reference of the benchmark, so every policy would look better than it is.
Test(replay, second_call_waits_only_for_slot) {
  const Experiment Plan = oneService({"a"});
  const auto Latencies =
      replay(Plan, {{nanoseconds(0), 1, 0}, {nanoseconds(0), 2, 0}});
  const double First = serviceMs(Plan, 1) + 6.0;
  const double Second = serviceMs(Plan, 1) + serviceMs(Plan, 2) + 6.0;
  cr_assert(std::abs(Latencies[0] - First) < 1e-3);
  cr_assert(std::abs(Latencies[1] - Second) < 1e-3);
}

// Guards against a replay that leaves out the delay between zones, or adds it
// although the slot is in the zone of the entry VM.
Test(replay, other_zone_costs_two_legs) {
  const std::vector<Arrival> One{{nanoseconds(0), 1, 0}};
  const Experiment Far = oneService({"b"});
  const Experiment Near = oneService({"b", "a"});
  cr_assert(std::abs(replay(Far, One)[0] - serviceMs(Far, 1) - 9.0) < 1e-3);
  cr_assert(std::abs(replay(Near, One)[0] - serviceMs(Near, 1) - 6.0) < 1e-3);
}

// Guards against comparing policies on different requests: equal seeds must
// give equal arrivals, other seeds other draws.
Test(arrivals, same_seed_gives_same_arrivals) {
  Experiment Plan = oneService({"a"});
  Plan.Services[0].RatePerSecond = 500.0;
  const auto First = generateArrivals(Plan);
  const auto Second = generateArrivals(Plan);
  cr_assert(First.size() > 4500 && First.size() < 5500);
  cr_assert(First.size() == Second.size());
  cr_assert(First.back().Draw == Second.back().Draw);
  Plan.Seed = 2;
  cr_assert(generateArrivals(Plan).front().Draw != First.front().Draw);
}
