#include <criterion/criterion.h>
#include <jujubecart/peers/peer_clock.hpp>

using jujubecart::peers::PeerClock;
using namespace std::chrono_literals;

namespace {

/// @brief A peer whose clock is ahead of this VM's.
struct Fixture {
  /// @brief Records a message of the peer that was under way for some time.
  void receive(std::chrono::milliseconds At,
               std::chrono::milliseconds UnderWay) {
    Clock.record(At - UnderWay + Ahead, At);
  }

  /// @brief How much earlier than the true instant the converted one is.
  std::chrono::milliseconds error(std::chrono::milliseconds Instant,
                                  std::chrono::milliseconds Now) {
    return Instant + Ahead - *Clock.toPeer(Instant, Now);
  }

  static constexpr std::chrono::milliseconds Ahead = 5h;
  PeerClock Clock;
};

} // namespace

// Guards against an instant that is stated although nothing is known of the
// receiver's clock.
Test(PeerClock, without_a_message_nothing_is_converted) {
  cr_assert_not(PeerClock().toPeer(1s, 2s).has_value());
}

// Guards against a receiver that takes old entries for recent ones because a
// message took long. It may only take recent ones for old.
Test(PeerClock, converted_instant_is_never_too_late) {
  Fixture Pair;
  Pair.receive(1000ms, 800ms);
  cr_assert_eq(Pair.error(900ms, 1000ms), 800ms);
  Pair.receive(2000ms, 3ms);
  cr_assert_eq(Pair.error(1500ms, 2000ms), 3ms);
  Pair.receive(3000ms, 2500ms);
  cr_assert_geq(Pair.error(2900ms, 3000ms), 3ms);
  cr_assert_leq(Pair.error(2900ms, 3000ms), 5ms);
}

// Guards against clocks that drift apart on a link that stays open for days.
Test(PeerClock, bound_weakens_with_time_and_is_renewed) {
  Fixture Pair;
  Pair.receive(1s, 2ms);
  cr_assert_geq(Pair.error(1000s, 1001s), 1000ms);
  Pair.receive(1001s, 2ms);
  cr_assert_eq(Pair.error(1000s, 1001s), 2ms);
}
