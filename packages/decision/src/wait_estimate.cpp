#include <jujubecart/decision/internal/wait_estimate.hpp>

#include <jujubecart/decision/internal/microseconds.hpp>

#include <algorithm>

namespace jujubecart::decision::internal {

namespace {

// Length of the moving average. The mean of fewer samples varies too much at a
// coefficient of variation of 1.5.
constexpr std::size_t WindowSamples = 64;

} // namespace

void WaitEstimate::recordGrant(std::size_t Remaining, core::TimePoint Now) {
  if (LastGrant) {
    const double Gap = microseconds(Now - *LastGrant);
    Samples = std::min(Samples + 1, WindowSamples);
    IntervalUs += (Gap - IntervalUs) / double(Samples);
  }
  LastGrant = Remaining > 0 ? std::optional(Now) : std::nullopt;
}

std::chrono::microseconds
WaitEstimate::expectedWait(std::size_t Ahead, double AssumedIntervalUs,
                           core::TimePoint Now) const {
  double Interval = Samples >= WindowSamples ? IntervalUs : AssumedIntervalUs;
  if (LastGrant) {
    // If the queue has stopped draining, the measured interval is too short.
    const double Gap = microseconds(Now - *LastGrant);
    Interval = std::max(Interval, Gap / 8);
  }
  return std::chrono::microseconds(
      static_cast<std::int64_t>(double(Ahead + 1) * Interval));
}

} // namespace jujubecart::decision::internal
