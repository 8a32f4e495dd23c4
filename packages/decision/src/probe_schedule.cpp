#include <jujubecart/decision/internal/probe_schedule.hpp>

#include <algorithm>
#include <cmath>

namespace jujubecart::decision::internal {

namespace {

using namespace std::chrono_literals;

// A new dispatcher waits until its predecessor must have noticed the change.
constexpr auto StartDelay = 1s;
// The dispatcher is ticked at least every 100 ms, so a longer gap is a pause,
// during which another VM may have become dispatcher.
constexpr auto PauseGap = 200ms;
// Spacing in excess of the budget's, so that the sender's delays do not push
// two probes into one window.
constexpr double SpacingReserve = 1.05;

// Half of the budget, rounded down: two VMs that both consider themselves
// dispatcher together stay within it in every one-second window.
double ratePerS(const DispatcherOptions &Options) {
  const double Half = std::floor(Options.MeasurePerS / 2.0);
  const bool Cost = Options.Profile == core::PolicyProfile::Cost;
  return Cost && Half >= 1 ? std::max(1.0, std::floor(Half / 4)) : Half;
}

} // namespace

ProbeSchedule::ProbeSchedule(const DispatcherOptions &Options,
                             core::TimePoint Now)
    : PerS(ratePerS(Options)),
      Recent(Options.Profile == core::PolicyProfile::Cost ? 5s : 1s),
      Bucket(PerS / SpacingReserve, 1, Now), NotBefore(Now + StartDelay),
      Last(Now) {}

void ProbeSchedule::observe(core::TimePoint Now) noexcept {
  if (Now - Last > PauseGap)
    NotBefore = std::max(NotBefore, Now + StartDelay);
  Last = std::max(Last, Now);
}

} // namespace jujubecart::decision::internal
