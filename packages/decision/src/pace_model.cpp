#include <jujubecart/decision/internal/pace_model.hpp>

#include <algorithm>
#include <cmath>

namespace jujubecart::decision::internal {

namespace {

// A server that is this much slower than usual is in a slow spell.
constexpr std::uint32_t SlowPercent = 170;
// Weight of one report; about 30 reports outweigh the initial assumption.
constexpr double Weight = 0.03;
// Time in which what a server said loses most of its meaning.
constexpr double MemoryMs = 250;
constexpr double PercentPerUnit = 100;

} // namespace

bool PaceModel::isSlow(std::uint32_t Percent) noexcept {
  return Percent >= SlowPercent;
}

void PaceModel::record(std::uint32_t Percent) {
  const bool Slow = isSlow(Percent);
  SlowShare += ((Slow ? 1 : 0) - SlowShare) * Weight;
  if (Slow)
    SlowFactor += (Percent / PercentPerUnit - SlowFactor) * Weight;
}

double PaceModel::slowProbability(const std::optional<PaceSample> &Last,
                                  core::TimePoint Now) const {
  if (!Last)
    return SlowShare;
  const double AgeMs =
      std::chrono::duration<double, std::milli>(Now - Last->At).count();
  const double Kept = std::exp(-std::max(AgeMs, 0.0) / MemoryMs);
  const double Then = isSlow(Last->Percent) ? 1 : 0;
  return SlowShare + (Then - SlowShare) * Kept;
}

} // namespace jujubecart::decision::internal
