#include <jujubecart/callers/stop_schedule.hpp>

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace std::chrono_literals;

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
