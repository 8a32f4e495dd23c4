#include "response_times.hpp"

#include <jujubecart/callers/stop_schedule.hpp>

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace std::chrono_literals;
using callers::internal::ResponseTimes;

namespace {

const core::TimePoint Start{1000s};
const callers::StopSchedule Schedule{.LeaveAt = Start + 2s,
                                     .CutOffAt = Start + 6s};

} // namespace

// Guards against requests that are sent so late in a stop that their response
// is cut off.
Test(StopSchedule, request_is_sent_early_enough_for_its_response) {
  cr_assert(callers::latestSend(Schedule, Start + 20s, 2500ms) ==
            Schedule.CutOffAt - 2500ms);
}

// Guards against refusals of requests that end before the cut-off by their own
// deadline.
Test(StopSchedule, request_with_an_earlier_deadline_has_no_latest_send) {
  cr_assert(callers::latestSend(Schedule, Schedule.CutOffAt, 2500ms) ==
            core::TimePoint::max());
}

// Guards against a request of unknown length that is sent right before the
// cut-off, or refused too late for the refusal to be written.
Test(StopSchedule, request_of_unknown_length_is_not_sent_at_the_last_moment) {
  cr_assert(callers::latestSend(Schedule, Start + 20s, 0ms) <
            Schedule.CutOffAt);
}

// Guards against an estimate that follows the last response instead of the
// longest, or that mixes classes of requests.
Test(ResponseTimes, longest_of_a_class_is_returned) {
  ResponseTimes Times;
  Times.record(1, 900ms, Start);
  Times.record(1, 200ms, Start + 1s);
  Times.record(2, 5s, Start);
  cr_assert(Times.longest(1, Start + 1s) == 900ms);
  cr_assert(Times.longest(3, Start + 1s) == 0ms);
}

// Guards against an estimate that forgets the slow spells of a moment ago, or
// that keeps them for ever.
Test(ResponseTimes, old_response_is_forgotten_after_a_while) {
  ResponseTimes Times;
  Times.record(1, 900ms, Start);
  Times.record(1, 200ms, Start + 35s);
  cr_assert(Times.longest(1, Start + 36s) == 900ms);
  Times.record(1, 200ms, Start + 70s);
  cr_assert(Times.longest(1, Start + 71s) == 200ms);
  cr_assert(Times.longest(1, Start + 200s) == 0ms);
}

// Guards against memory that grows with each route that ever existed.
Test(ResponseTimes, outdated_classes_are_dropped) {
  ResponseTimes Times;
  for (std::uint64_t Class = 0; Class < 100; ++Class)
    Times.record(Class, 1ms, Start);
  Times.record(1000, 1ms, Start + 100s);
  cr_assert_eq(Times.size(), 1);
}
