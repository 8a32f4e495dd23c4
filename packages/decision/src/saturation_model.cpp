#include <jujubecart/decision/internal/saturation_model.hpp>

#include <algorithm>

namespace jujubecart::decision::internal {

namespace {

// Weight of one call in the moving average; small, because the service times of
// single calls vary by a third.
constexpr double SampleWeight = 0.08;
// Bounds of a ratio, so that a call that was cut short or delayed elsewhere has
// little influence.
constexpr double MinRatio = 0.3;
constexpr double MaxRatio = 4;
// A factor up to this allows the use of all slots.
constexpr double MaxNegligibleFactor = 1.2;

} // namespace

void SaturationModel::record(double Ratio) noexcept {
  const double Bounded = std::clamp(Ratio, MinRatio, MaxRatio);
  Factor = std::max(1.0, Factor + (Bounded - Factor) * SampleWeight);
}

bool SaturationModel::negligible() const noexcept {
  return Factor <= MaxNegligibleFactor;
}

} // namespace jujubecart::decision::internal
