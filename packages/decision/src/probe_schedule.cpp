#include <jujubecart/decision/internal/probe_schedule.hpp>

#include <algorithm>
#include <cmath>

namespace jujubecart::decision::internal {

namespace {

using namespace std::chrono_literals;

// A new dispatcher sends no probes until its predecessor has had time to notice
// the change and to stop.
constexpr auto StartDelay = 1s;
// The dispatcher is ticked at least every 100 ms, so a longer gap means that
// the process was paused. Another VM may have become the dispatcher meanwhile.
constexpr auto PauseGap = 200ms;
// Factor by which probes are spaced wider than the budget requires, so that
// delays in sending do not put one probe too many into a one-second window.
constexpr double SpacingReserve = 1.05;

// Probes per second: half of the budget, rounded down, so that two VMs that
// both act as dispatcher stay within the budget in every one-second window. The
// Cost profile uses a quarter of that, but at least one.
double ratePerS(const DispatcherOptions &Options) {
  const double Half = std::floor(Options.ProbesPerS / 2.0);
  const bool Cost = Options.Profile == core::PolicyProfile::Cost;
  return Cost && Half >= 1 ? std::max(1.0, std::floor(Half / 4)) : Half;
}

} // namespace

ProbeSchedule::ProbeSchedule(const DispatcherOptions &Options,
                             core::TimePoint Now)
    : RatePerS(ratePerS(Options)),
      FreshPeriod(Options.Profile == core::PolicyProfile::Cost ? 5s : 1s),
      Bucket(RatePerS / SpacingReserve, 1, Now), NotBefore(Now + StartDelay),
      LatestTime(Now) {}

void ProbeSchedule::advanceTime(core::TimePoint Now) noexcept {
  if (Now - LatestTime > PauseGap)
    NotBefore = std::max(NotBefore, Now + StartDelay);
  LatestTime = std::max(LatestTime, Now);
}

} // namespace jujubecart::decision::internal
