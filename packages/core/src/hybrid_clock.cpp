#include <jujubecart/core/hybrid_clock.hpp>

#include <algorithm>

namespace jujubecart::core {

namespace internal {

// Limit for accepted times, as a difference of logical times. Without it, one
// VM with a wrong clock would advance the logical time of the whole fleet so
// far that it no longer resembles the wall clock time.
constexpr std::uint64_t MaxAhead =
    std::chrono::microseconds(std::chrono::hours(1)).count()
    << HybridClock::CounterBits;

} // namespace internal

std::uint64_t HybridClock::wallLogical() const noexcept {
  const auto Elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
      Source.wallNow().time_since_epoch());
  return static_cast<std::uint64_t>(Elapsed.count()) << CounterBits;
}

std::uint64_t HybridClock::next() noexcept {
  const std::uint64_t Wall = wallLogical();
  std::uint64_t Latest = Last.load(std::memory_order_relaxed);
  std::uint64_t Next = 0;
  do {
    Next = std::max(Wall, Latest + 1);
  } while (!Last.compare_exchange_weak(Latest, Next));
  return Next;
}

void HybridClock::observe(std::uint64_t Remote) noexcept {
  if (Remote > wallLogical() + internal::MaxAhead)
    return;
  std::uint64_t Latest = Last.load(std::memory_order_relaxed);
  while (Latest < Remote && !Last.compare_exchange_weak(Latest, Remote)) {
  }
}

} // namespace jujubecart::core
