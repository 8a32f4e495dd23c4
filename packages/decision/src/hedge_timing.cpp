#include <jujubecart/decision/internal/hedge_timing.hpp>

#include <jujubecart/decision/internal/work_model.hpp>

#include <algorithm>
#include <cstdint>

namespace jujubecart::decision::internal {

namespace {

// Bounds of the share of the calls that are still running at the time of the
// hedge although they get a response. They cost the servers a second attempt,
// and the retry budget allows few of them.
constexpr double MinRunningShare = 0.02;
constexpr double MaxRunningShare = 0.3;
// Longest time that is considered, in expected service times of a slow period.
constexpr double MaxServiceTimes = 4;
constexpr int BisectionSteps = 20;

double endedShare(const CallEstimate &Estimate, double ElapsedUs) {
  const double Normal =
      WorkModel::completionProbability(Estimate.ExpectedUs, ElapsedUs);
  const double Slow = WorkModel::completionProbability(
      Estimate.ExpectedUs * Estimate.SlowFactor, ElapsedUs);
  return (1 - Estimate.SlowProbability) * Normal +
         Estimate.SlowProbability * Slow;
}

} // namespace

core::TimePoint hedgeTime(core::TimePoint Start, const CallEstimate &Estimate) {
  // A call that is still running has failed with a probability of one half when
  // the share of the calls that run so long equals the share that fails.
  const double RunningShare =
      std::clamp(Estimate.FailureRate, MinRunningShare, MaxRunningShare);
  double Low = Estimate.ExpectedUs;
  double High = Estimate.ExpectedUs * Estimate.SlowFactor * MaxServiceTimes;
  for (int Step = 0; Step < BisectionSteps; ++Step) {
    const double Middle = (Low + High) / 2;
    (endedShare(Estimate, Middle) < 1 - RunningShare ? Low : High) = Middle;
  }
  return Start + std::chrono::microseconds(static_cast<std::int64_t>(High));
}

} // namespace jujubecart::decision::internal
