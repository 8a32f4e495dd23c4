#include <jujubecart/store/freshness.hpp>

#include <algorithm>

namespace jujubecart::store {

using std::chrono::milliseconds;

StoreQuestion::StoreQuestion(const core::Clock &Time,
                             core::TimePoint WaitUntil) noexcept
    : Time(Time), AskedAt(Time.uptime()), WaitUntil(WaitUntil),
      Wait(std::max(milliseconds(0),
                    std::chrono::floor<milliseconds>(WaitUntil - Time.now()))) {
}

// The store looks for changes at the end of the wait. An answer that came
// before shows only that it has looked since the question; now() stops while
// this VM is suspended, so that such an answer is never taken for a later one.
// An empty answer that the store gave too early and that was under way until
// the end of the wait can't be told from one that was held. What it is trusted
// for is therefore limited to what the margin for revocations leaves for it.
milliseconds StoreQuestion::completeUntil(bool HasEntries) const noexcept {
  constexpr milliseconds MaxTrustedWait{600};
  const bool Held = !HasEntries && Time.now() >= WaitUntil;
  return Held ? AskedAt + std::min(Wait, MaxTrustedWait) : AskedAt;
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
