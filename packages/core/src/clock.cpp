#include <jujubecart/core/clock.hpp>

namespace jujubecart::core {

TimePoint SystemClock::now() const noexcept {
  return std::chrono::steady_clock::now();
}

WallTime SystemClock::wallNow() const noexcept {
  return std::chrono::system_clock::now();
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
