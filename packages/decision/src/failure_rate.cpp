#include <jujubecart/decision/internal/failure_rate.hpp>

#include <jujubecart/decision/internal/microseconds.hpp>

#include <algorithm>
#include <cmath>

namespace jujubecart::decision::internal {

namespace {

// Weight of one call in the moving average.
constexpr double CallWeight = 0.15;
// Time constant of the decay.
constexpr double DecayUs = 1e6;

} // namespace

void FailureRate::record(bool Failed, core::TimePoint Now) noexcept {
  const double Current = value(Now);
  Average = Current + ((Failed ? 1 : 0) - Current) * CallWeight;
  LastResult = Now;
}

double FailureRate::value(core::TimePoint Now) const noexcept {
  if (Average == 0)
    return 0;
  const double Age = std::max(microseconds(Now - LastResult), 0.0);
  return Average * std::exp(-Age / DecayUs);
}

} // namespace jujubecart::decision::internal
