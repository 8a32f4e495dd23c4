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
// With fewer servers, a single one that rejects calls raises the mean so much
// that it cannot be distinguished from the others.
constexpr double MinServers = 8;
// A server with a lower rate counts as one that rejects no calls. The rate
// after one rejection falls below it in 2.7 s.
constexpr double MinRate = 0.01;

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

void CommonFailures::add(double Rate) noexcept {
  ++Count;
  if (Rate > MinRate)
    ++Rejecting;
  Sum += Rate;
  SumOfSquares += Rate * Rate;
}

double CommonFailures::mean() const noexcept {
  return Count > 0 ? Sum / Count : 0;
}

// A moving average of independent results with probability p has the variance
// p (1 - p) w / (2 - w). The decay of servers with few calls adds as much
// again, so a difference counts from twice that variance on.
double CommonFailures::ownWeight() const noexcept {
  if (Count < MinServers || 2 * Rejecting <= Count)
    return 1;
  const double Mean = mean();
  const double Variance = std::max(SumOfSquares / Count - Mean * Mean, 0.0);
  const double ByChance = Mean * (1 - Mean) * CallWeight / (2 - CallWeight);
  if (ByChance <= 0)
    return 1;
  return std::clamp(Variance / (2 * ByChance) - 1, 0.0, 1.0);
}

double CommonFailures::expected(double Rate) const noexcept {
  return mean() + ownWeight() * (Rate - mean());
}

} // namespace jujubecart::decision::internal
