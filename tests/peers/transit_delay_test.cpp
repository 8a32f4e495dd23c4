#include <criterion/criterion.h>
#include <jujubecart/peers/transit_delay.hpp>

using jujubecart::peers::TransitDelay;
using namespace std::chrono_literals;

namespace {

/// @brief Sender whose clock is ahead of the receiver's.
struct Fixture {
  /// @brief Delay that the receiver finds for a message.
  std::chrono::milliseconds receive(std::chrono::milliseconds ReadAt,
                                    std::chrono::milliseconds UnderWay) {
    return Delay.record(ReadAt + ClockAhead, ReadAt + UnderWay);
  }

  static constexpr std::chrono::milliseconds ClockAhead = 5h;
  TransitDelay Delay;
};

} // namespace

// Guards against changes that wait in a full link and count as new when they
// arrive.
Test(TransitDelay, message_that_waited_is_as_old_as_its_wait) {
  Fixture Pair;
  cr_assert_eq(Pair.receive(0ms, 2ms), 0ms);
  cr_assert_eq(Pair.receive(700ms, 402ms), 400ms);
  cr_assert_eq(Pair.receive(1400ms, 4502ms), 4500ms);
}

// Guards against a first message that was slow and makes all later ones look
// faster than they are.
Test(TransitDelay, faster_message_corrects_the_estimate) {
  Fixture Pair;
  cr_assert_eq(Pair.receive(0ms, 300ms), 0ms);
  cr_assert_eq(Pair.receive(700ms, 2ms), 0ms);
  cr_assert_eq(Pair.receive(1400ms, 300ms), 298ms);
}

// Guards against clocks that drift apart for hours until each message looks
// delayed.
Test(TransitDelay, slow_drift_of_the_clocks_is_no_delay) {
  TransitDelay Delay;
  // The sender's clock loses 0.1 ms a second.
  constexpr std::int64_t DriftDivisor = 10000;
  for (std::chrono::milliseconds Now = 0ms; Now < 3h; Now += 700ms)
    cr_assert_leq(Delay.record(Now - Now / DriftDivisor, Now + 2ms), 13ms);
}

// Guards against an estimate that forgets the fastest message at the start of
// each period, so that a link that stays slow looks fast.
Test(TransitDelay, estimate_outlives_the_period_of_the_fastest_message) {
  Fixture Pair;
  (void)Pair.receive(0ms, 2ms);
  cr_assert_eq(Pair.receive(61s, 502ms), 500ms);
  cr_assert_eq(Pair.receive(100s, 502ms), 500ms);
}
