#include <jujubecart/decision/internal/saturation_model.hpp>

#include <algorithm>

namespace jujubecart::decision::internal {

namespace {

// Service times of single calls vary by a third, so many are averaged.
constexpr double Weight = 0.08;
// A call that was cut short or delayed elsewhere says little.
constexpr double LeastRatio = 0.3;
constexpr double MostRatio = 4;
constexpr double NegligibleFactor = 1.2;

} // namespace

void SaturationModel::record(double Ratio) noexcept {
  const double Bounded = std::clamp(Ratio, LeastRatio, MostRatio);
  Factor = std::max(1.0, Factor + (Bounded - Factor) * Weight);
}

bool SaturationModel::negligible() const noexcept {
  return Factor <= NegligibleFactor;
}

} // namespace jujubecart::decision::internal
