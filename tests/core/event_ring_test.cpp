#include <cmath>
#include <criterion/criterion.h>
#include <jujubecart/core.hpp>

using namespace jujubecart::core;

namespace {

class SkewedClock final : public Clock {
public:
  explicit SkewedClock(std::chrono::seconds Offset) : Offset(Offset) {}
  [[nodiscard]] TimePoint now() const noexcept override { return {}; }
  [[nodiscard]] WallTime wallNow() const noexcept override {
    return WallTime(std::chrono::hours(480000) + Offset);
  }

private:
  std::chrono::seconds Offset;
};

} // namespace

// The receiver's clock is behind the sender's. If the receiver did not adopt
// the time of the message, its event would be listed before the sender's event
// that caused it.
Test(EventRing, message_from_clock_ahead_orders_effect_after_cause) {
  const SkewedClock Ahead(std::chrono::seconds(5));
  const SkewedClock Behind(std::chrono::seconds(0));
  EventRing Sender(Ahead, 8);
  EventRing Receiver(Behind, 8);
  const std::uint64_t Sent = Sender.logicalNow();
  Receiver.observe(Sent);
  Receiver.record({.Kind = "received"});
  cr_assert_gt(Receiver.since(0, 8).at(0).Logical, Sent);
}

// One VM has a wrong clock, one day ahead. If others adopted its time, the
// logical time of the whole fleet would be wrong.
Test(EventRing, message_from_far_future_is_ignored) {
  const SkewedClock Broken(std::chrono::hours(24));
  const SkewedClock Correct(std::chrono::seconds(0));
  EventRing Sender(Broken, 8);
  EventRing Receiver(Correct, 8);
  Receiver.observe(Sender.logicalNow());
  cr_assert_lt(Receiver.logicalNow(), Sender.logicalNow());
}

// The ring must not grow beyond its capacity, and each event that it overwrites
// must be counted.
Test(EventRing, full_ring_drops_oldest_and_counts) {
  const SkewedClock Source(std::chrono::seconds(0));
  EventRing Ring(Source, 3);
  for (int Number = 0; Number < 5; ++Number)
    Ring.record({.Kind = "event", .Ticket = static_cast<unsigned>(Number)});
  const auto Events = Ring.since(0, 10);
  cr_assert_eq(Events.size(), 3);
  cr_assert_eq(Events.front().Item.Ticket, 2);
  cr_assert_eq(Ring.dropped(), 2);
  cr_assert_eq(Ring.since(Events[1].Logical, 10).size(), 1);
}

// The exported quantiles must match the distribution of the samples; here the
// samples are uniform from 0 to 9999.
Test(Summary, uniform_samples_give_their_quantiles) {
  Summary Distribution;
  for (int Sample = 1; Sample <= 10000; ++Sample)
    Distribution.add((Sample * 7919) % 10000);
  cr_assert_lt(std::abs(Distribution.quantile(0.5) - 5000), 250);
  cr_assert_lt(std::abs(Distribution.quantile(0.99) - 9900), 100);
  cr_assert_eq(Distribution.count(), 10000);
}
