#include <jujubecart/core/hybrid_clock.hpp>

#include <algorithm>

namespace jujubecart::core {

namespace internal {

// A VM with a badly wrong clock must not move the logical time of the fleet
// so far that readable times become useless.
constexpr std::uint64_t MaxAhead =
    std::chrono::microseconds(std::chrono::hours(1)).count()
    << HybridClock::CounterBits;

} // namespace internal

std::uint64_t HybridClock::wall() const noexcept {
  const auto Elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
      Source.wallNow().time_since_epoch());
  return static_cast<std::uint64_t>(Elapsed.count()) << CounterBits;
}

std::uint64_t HybridClock::next() noexcept {
  const std::uint64_t Wall = wall();
  std::uint64_t Seen = Last.load(std::memory_order_relaxed);
  std::uint64_t Next = 0;
  do {
    Next = std::max(Wall, Seen + 1);
  } while (!Last.compare_exchange_weak(Seen, Next));
  return Next;
}

void HybridClock::observe(std::uint64_t Remote) noexcept {
  if (Remote > wall() + internal::MaxAhead)
    return;
  std::uint64_t Seen = Last.load(std::memory_order_relaxed);
  while (Seen < Remote && !Last.compare_exchange_weak(Seen, Remote)) {
  }
}

} // namespace jujubecart::core
