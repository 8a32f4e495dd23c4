#include <jujubecart/store/freshness.hpp>

#include <algorithm>

namespace jujubecart::store {

using std::chrono::milliseconds;

StoreRead::StoreRead(const core::Clock &Time,
                     core::TimePoint WaitUntil) noexcept
    : Time(Time), RequestedAt(Time.uptime()), WaitUntil(WaitUntil),
      Wait(std::max(milliseconds(0),
                    std::chrono::floor<milliseconds>(WaitUntil - Time.now()))) {
}

// The store looks for changes at the end of the wait. An earlier answer shows
// only that it has looked since the request. now() stops while this VM is
// suspended, so that an early answer is not taken for one at the end.
// An empty answer that the store gave too early and that was under way until
// the end of the wait cannot be told from one at the end. It counts for at most
// what the margin for revocations leaves for it.
milliseconds StoreRead::completeUntil(bool HasEntries) const noexcept {
  constexpr milliseconds MaxCountedWait{600};
  const bool Held = !HasEntries && Time.now() >= WaitUntil;
  return Held ? RequestedAt + std::min(Wait, MaxCountedWait) : RequestedAt;
}

void FreshnessRecord::raise(milliseconds CompleteUntil) noexcept {
  std::int64_t Known = CompleteUntilMs;
  while (Known < CompleteUntil.count() &&
         !CompleteUntilMs.compare_exchange_weak(Known, CompleteUntil.count())) {
  }
}

std::optional<milliseconds> FreshnessRecord::completeUntil() const noexcept {
  const std::int64_t Known = CompleteUntilMs;
  if (Known == Unknown)
    return std::nullopt;
  return milliseconds(Known);
}

} // namespace jujubecart::store
