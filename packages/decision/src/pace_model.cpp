#include <jujubecart/decision/internal/pace_model.hpp>

#include <algorithm>
#include <cmath>

namespace jujubecart::decision::internal {

namespace {

// A reported pace from this value on indicates a slow period.
constexpr std::uint32_t MinSlowPercent = 170;
// Weight of one report in the moving averages; about 30 reports outweigh the
// initial assumptions.
constexpr double ReportWeight = 0.03;
// Time constant of the exponential decay with which the last report of a server
// loses its influence.
constexpr double DecayMs = 250;
constexpr double PercentPerUnit = 100;
// Reports are taken to have stopped after this time.
constexpr std::chrono::seconds ReportTimeout{1};
constexpr double MinNormalShare = 0.1;

} // namespace

bool PaceModel::isSlow(std::uint32_t Percent) noexcept {
  return Percent >= MinSlowPercent;
}

void PaceModel::record(std::uint32_t Percent, core::TimePoint Now) {
  LastReport = Now;
  const bool Slow = isSlow(Percent);
  SlowShare += ((Slow ? 1 : 0) - SlowShare) * ReportWeight;
  if (Slow)
    SlowFactor += (Percent / PercentPerUnit - SlowFactor) * ReportWeight;
}

bool PaceModel::reported(core::TimePoint Now) const noexcept {
  return LastReport && Now - *LastReport <= ReportTimeout;
}

double PaceModel::normalShare() const noexcept {
  return std::max(1 - SlowShare, MinNormalShare);
}

double PaceModel::slowProbability(const std::optional<PaceSample> &Last,
                                  core::TimePoint Now) const {
  if (!Last)
    return SlowShare;
  const double AgeMs =
      std::chrono::duration<double, std::milli>(Now - Last->At).count();
  const double Influence = std::exp(-std::max(AgeMs, 0.0) / DecayMs);
  const double LastSlow = isSlow(Last->Percent) ? 1 : 0;
  return SlowShare + (LastSlow - SlowShare) * Influence;
}

} // namespace jujubecart::decision::internal
