#include <jujubecart/peers/peer_clock.hpp>

namespace jujubecart::peers {

namespace internal {

// Time synchronization slews a clock by at most 0.5 ms a second, so that two
// clocks drift apart by at most a thousandth.
constexpr int DriftDivisor = 1000;

} // namespace internal

using std::chrono::milliseconds;

milliseconds PeerClock::offsetAt(milliseconds Now) const noexcept {
  return Offset - (Now - *RecordedAt) / internal::DriftDivisor;
}

// The peer's clock showed SentAt before this VM's showed HandledAt, so that at
// HandledAt it shows at least that. The message that was under way for the
// shortest time gives the best bound.
void PeerClock::record(milliseconds SentAt, milliseconds HandledAt) noexcept {
  const milliseconds Bound = SentAt - HandledAt;
  if (RecordedAt && offsetAt(HandledAt) >= Bound)
    return;
  Offset = Bound;
  RecordedAt = HandledAt;
}

std::optional<milliseconds> PeerClock::toPeer(milliseconds Instant,
                                              milliseconds Now) const noexcept {
  if (!RecordedAt)
    return std::nullopt;
  return Instant + offsetAt(Now);
}

} // namespace jujubecart::peers
