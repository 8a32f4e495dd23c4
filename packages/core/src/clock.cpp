#include <jujubecart/core/clock.hpp>

#include <ctime>

namespace jujubecart::core {

TimePoint SystemClock::now() const noexcept {
  return std::chrono::steady_clock::now();
}

WallTime SystemClock::wallNow() const noexcept {
  return std::chrono::system_clock::now();
}

std::chrono::milliseconds SystemClock::uptime() const noexcept {
  timespec Now{};
  // Fails only for a clock that the system does not have; Linux has this one.
  (void)clock_gettime(CLOCK_BOOTTIME, &Now);
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::seconds(Now.tv_sec) + std::chrono::nanoseconds(Now.tv_nsec));
}

TimePoint toMonotonic(const Clock &Source, WallTime Wall) noexcept {
  return Source.now() + std::chrono::duration_cast<TimePoint::duration>(
                            Wall - Source.wallNow());
}

WallTime toWall(const Clock &Source, TimePoint Instant) noexcept {
  return Source.wallNow() +
         std::chrono::duration_cast<WallTime::duration>(Instant - Source.now());
}

} // namespace jujubecart::core
