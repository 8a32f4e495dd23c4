#include <jujubecart/decision/internal/health_tracker.hpp>

#include <algorithm>

namespace jujubecart::decision::internal {

namespace {

using namespace std::chrono_literals;

// A failure counts twice as much as a success: a server is ejected after three
// failures in a row, and also if it fails more than a third of its calls for a
// while.
constexpr int FailureWeight = 2;
// If a server is not ejected for this long, its backoff starts over.
constexpr auto BackoffResetTime = 10s;
// Health endpoints may lag behind the server. Within this time after a drain
// report, a successful probe ends the draining state only if an earlier probe
// has already found the server draining or unreachable.
constexpr auto HealthEndpointLag = 30s;
// Probes are ignored for this long after a call result.
constexpr auto CallResultPrecedence = 1s;

bool isFailure(core::CallOutcome Outcome) {
  return Outcome == core::CallOutcome::NotSent ||
         Outcome == core::CallOutcome::Rejected ||
         Outcome == core::CallOutcome::TimedOut ||
         Outcome == core::CallOutcome::Broken;
}

} // namespace

void HealthTracker::onResult(const core::CallReport &Report,
                             core::TimePoint Now) {
  if (Report.Draining) {
    DrainReported = true;
    ProbeConfirmedDrain = false;
    DrainReportedAt = Now;
  }
  if (core::inconclusive(Report.Outcome))
    return;
  LastObserved = Now;
  LastCallResult = Now;
  if (isFailure(Report.Outcome))
    FailureScore = std::min(FailureScore + FailureWeight, UnhealthyScore);
  else
    FailureScore = std::max(FailureScore - 1, 0);
}

void HealthTracker::onProbe(const ProbeResult &Result, core::TimePoint Now) {
  LastObserved = Now;
  if (LastCallResult && Now - *LastCallResult < CallResultPrecedence &&
      !DrainReported)
    return;
  switch (Result.State) {
  case ProbeState::Unreachable:
    FailureScore = std::min(FailureScore + FailureWeight, UnhealthyScore);
    ProbeConfirmedDrain = ProbeConfirmedDrain || DrainReported;
    break;
  case ProbeState::Draining:
    if (!DrainReported)
      DrainReportedAt = Now;
    DrainReported = true;
    ProbeConfirmedDrain = true;
    break;
  case ProbeState::Ok:
  case ProbeState::Cold:
    // A successful probe does not clear the failures of real calls.
    if (DrainReported &&
        (ProbeConfirmedDrain || Now - DrainReportedAt > HealthEndpointLag)) {
      DrainReported = false;
      startRamp(Now);
    } else if (Result.State == ProbeState::Cold && !RampStart) {
      startRamp(Now);
    }
    break;
  }
}

void HealthTracker::eject(const DispatcherOptions &Options, core::TimePoint Now,
                          std::mt19937_64 &Random) {
  if (!Ejected && Now - LastEjection > BackoffResetTime)
    BackoffExponent = 0;
  const auto Wait =
      std::min(Options.MaxEjectionTime,
               Options.MinEjectionTime * (1 << std::min(BackoffExponent, 16)));
  const double Jitter = std::uniform_real_distribution(0.8, 1.2)(Random);
  TrialAt = Now + std::chrono::duration_cast<std::chrono::microseconds>(Wait *
                                                                        Jitter);
  Ejected = true;
  LastEjection = Now;
  ++BackoffExponent;
}

void HealthTracker::readmit(core::TimePoint Now) {
  Ejected = false;
  FailureScore = 0;
  LastEjection = Now;
  startRamp(Now);
}

std::uint32_t HealthTracker::limit(std::uint32_t FullLimit,
                                   const DispatcherOptions &Options,
                                   core::TimePoint Now) const noexcept {
  if (!ramping(Options, Now) || FullLimit <= 1)
    return FullLimit;
  const double Fraction = std::chrono::duration<double>(Now - *RampStart) /
                          std::chrono::duration<double>(Options.RampTime);
  return 1 +
         static_cast<std::uint32_t>((FullLimit - 1) * std::max(0.0, Fraction));
}

} // namespace jujubecart::decision::internal
