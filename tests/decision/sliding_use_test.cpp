#include <jujubecart/decision/sliding_use.hpp>

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Start{1h};

} // namespace

// Guards against a window that is exceeded because use expires before a whole
// window has passed, and against use that is kept much longer.
Test(SlidingUse, use_expires_between_one_window_and_one_slot_more) {
  for (auto Offset = 0ms; Offset < 100ms; Offset += 7ms) {
    decision::SlidingUse Use(5s);
    Use.add(3, Start + Offset);
    cr_assert_eq(Use.expire(Start + Offset + 5s), 0);
    cr_assert_eq(Use.expire(Start + Offset + 5100ms), 3);
    cr_assert_eq(Use.total(), 0);
  }
}

// Guards against use that is taken back after it has expired, and against use
// of another time that is taken back instead.
Test(SlidingUse, use_is_taken_back_from_its_time) {
  decision::SlidingUse Use(5s);
  Use.add(1, Start);
  Use.add(2, Start + 4s);
  cr_assert_eq(Use.remove(1, Start + 1s), 0);
  cr_assert_eq(Use.remove(1, Start), 1);
  cr_assert_eq(Use.total(), 2);
  (void)Use.expire(Start + 10s);
  cr_assert_eq(Use.remove(1, Start + 4s), 0);
  cr_assert_eq(Use.total(), 0);
}

// Guards against a total below zero, which would admit more than the quota.
Test(SlidingUse, more_than_the_total_is_not_taken_back) {
  decision::SlidingUse Use(5s);
  Use.add(1, Start);
  Use.add(2, Start + 1s);
  Use.removeNewest(2.5);
  cr_assert_eq(Use.total(), 0.5);
  cr_assert_eq(Use.totalBefore(Start + 1s), 0.5);
  Use.removeNewest(2);
  cr_assert_eq(Use.total(), 0);
}

// Guards against callers that are told to return before there is room.
Test(SlidingUse, amount_expires_when_the_slots_that_hold_it_have) {
  decision::SlidingUse Use(5s);
  Use.add(2, Start);
  Use.add(2, Start + 2s);
  cr_assert_eq(Use.expiresAt(0), core::TimePoint());
  cr_assert_eq(Use.expiresAt(2), Start + 5100ms);
  cr_assert_eq(Use.expiresAt(2.5), Start + 7100ms);
  cr_assert_eq(Use.expiresAt(9), Start + 7100ms);
}

// Guards against use that is counted twice because another observer counted it
// a moment earlier, and against use of which only the other one knows.
Test(SlidingUse, use_told_by_another_observer_is_counted_once) {
  decision::SlidingUse Own(5s);
  decision::SlidingUse Other(5s);
  Own.add(10, Start + 200ms);
  Other.add(10, Start);
  cr_assert_eq(Own.raise(Other.history(Start + 1s), 0), 0);
  Other.add(5, Start + 500ms);
  cr_assert_eq(Own.raise(Other.history(Start + 1s), 0), 5);
  cr_assert_eq(Own.total(), 15);
  // The other observer cannot have seen the newest two.
  Own.add(2, Start + 900ms);
  Other.add(4, Start + 800ms);
  cr_assert_eq(Own.raise(Other.history(Start + 1s), 2), 4);
}
