#include <criterion/criterion.h>
#include <jujubecart/decision/internal/return_schedule.hpp>
#include <jujubecart/decision/internal/slot_demand.hpp>

using namespace jujubecart;
using namespace jujubecart::decision::internal;
using namespace std::chrono_literals;

namespace {

/// @brief Calls of 100 ms that arrive at a constant rate until Now.
struct SteadyArrivals {
  core::TimePoint Now{1h};
  SlotDemand Demand;

  explicit SteadyArrivals(std::chrono::milliseconds Gap) {
    for (auto Time = 0ms; Time < 10s; Time += Gap) {
      Now += Gap;
      Demand.recordArrival(1e5, Now);
    }
  }
};

} // namespace

// Guards against an estimate that is off by the unit or by the decay.
Test(SlotDemand, steady_arrivals_need_rate_times_service_time) {
  const SteadyArrivals With(20ms);
  cr_assert_float_eq(With.Demand.callsPerS(With.Now), 50, 1);
  cr_assert_float_eq(With.Demand.slots(With.Now), 5, 0.1);
}

// Guards against slots that are withheld from late calls although no other call
// needs them, and against slots that are given away at full load.
Test(SlotDemand, slots_cost_nothing_at_low_load_and_one_call_at_full_load) {
  const SteadyArrivals With(20ms);
  cr_assert_eq(With.Demand.price(20, With.Now), 0);
  cr_assert_float_eq(With.Demand.price(5, With.Now), 1, 0.05);
  cr_assert_eq(With.Demand.price(2, With.Now), 1);
}

// Guards against a price that stays high after the load has ended.
Test(SlotDemand, price_falls_within_seconds_after_the_last_arrival) {
  const SteadyArrivals With(20ms);
  cr_assert_eq(With.Demand.price(5, With.Now + 3s), 0);
}

// Guards against callers that are all told the same time.
Test(ReturnSchedule, each_caller_gets_a_later_time_at_the_spare_rate) {
  const core::TimePoint Now{1h};
  ReturnSchedule Returns;
  cr_assert_eq(Returns.reserve(100ms, 10, Now) - Now, 100ms);
  cr_assert_eq(Returns.reserve(100ms, 10, Now) - Now, 200ms);
  cr_assert_eq(Returns.reserve(100ms, 10, Now) - Now, 300ms);
}

// Guards against a schedule that keeps callers away after the backlog is gone.
Test(ReturnSchedule, time_follows_the_backlog_once_earlier_times_have_passed) {
  const core::TimePoint Now{1h};
  ReturnSchedule Returns;
  static_cast<void>(Returns.reserve(2s, 10, Now));
  cr_assert_eq(Returns.reserve(50ms, 10, Now + 10s) - (Now + 10s), 50ms);
}
