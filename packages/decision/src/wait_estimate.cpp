#include <jujubecart/decision/internal/wait_estimate.hpp>

#include <jujubecart/decision/internal/microseconds.hpp>

#include <algorithm>

namespace jujubecart::decision::internal {

namespace {

// Fewer samples than this vary too much at a coefficient of variation of 1.5.
constexpr std::size_t EnoughSamples = 64;

} // namespace

void WaitEstimate::served(std::size_t Remaining, core::TimePoint Now) {
  if (LastServed) {
    const double Gap = microseconds(Now - *LastServed);
    Samples = std::min(Samples + 1, EnoughSamples);
    IntervalUs += (Gap - IntervalUs) / double(Samples);
  }
  LastServed = Remaining > 0 ? std::optional(Now) : std::nullopt;
}

std::chrono::microseconds WaitEstimate::expected(std::size_t Ahead,
                                                 double AssumedIntervalUs,
                                                 core::TimePoint Now) const {
  double Interval = Samples >= EnoughSamples ? IntervalUs : AssumedIntervalUs;
  if (LastServed) {
    // A queue that has stopped draining must not promise the old rate.
    const double Gap = microseconds(Now - *LastServed);
    Interval = std::max(Interval, Gap / 8);
  }
  return std::chrono::microseconds(
      static_cast<std::int64_t>(double(Ahead + 1) * Interval));
}

} // namespace jujubecart::decision::internal
