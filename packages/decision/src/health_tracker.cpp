#include <jujubecart/decision/internal/health_tracker.hpp>

#include <algorithm>

namespace jujubecart::decision::internal {

namespace {

using namespace std::chrono_literals;

// A failure weighs twice a success: three failures in a row eject, and so does
// a server that fails more than a third of its calls for a while.
constexpr int FailureWeight = 2;
// A server that stays in for this long starts again with the first backoff.
constexpr auto BackoffMemory = 10s;
// Health endpoints lag: one that says ok soon after the server reported
// draining is believed only after it has said draining itself.
constexpr auto DrainHold = 30s;
// Call results younger than this outweigh a probe.
constexpr auto ResultTrust = 1s;

bool failed(core::CallOutcome Outcome) {
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
    ProbeSawDrain = false;
    DrainedAt = Now;
  }
  // A cancelled attempt says nothing about the server.
  if (Report.Outcome == core::CallOutcome::Cancelled)
    return;
  LastHeard = Now;
  LastResult = Now;
  if (failed(Report.Outcome))
    Failures = std::min(Failures + FailureWeight, UnhealthyAt);
  else
    Failures = std::max(Failures - 1, 0);
}

void HealthTracker::onProbe(const ProbeResult &Result, core::TimePoint Now) {
  LastHeard = Now;
  if (LastResult && Now - *LastResult < ResultTrust && !DrainReported)
    return;
  switch (Result.State) {
  case ProbeState::Unreachable:
    Failures = std::min(Failures + FailureWeight, UnhealthyAt);
    ProbeSawDrain = ProbeSawDrain || DrainReported;
    break;
  case ProbeState::Draining:
    if (!DrainReported)
      DrainedAt = Now;
    DrainReported = true;
    ProbeSawDrain = true;
    break;
  case ProbeState::Ok:
  case ProbeState::Cold:
    // An endpoint that answers does not clear failures of real calls.
    if (DrainReported && (ProbeSawDrain || Now - DrainedAt > DrainHold)) {
      DrainReported = false;
      ramp(Now);
    } else if (Result.State == ProbeState::Cold && !RampStart) {
      ramp(Now);
    }
    break;
  }
}

void HealthTracker::eject(const DispatcherOptions &Options, core::TimePoint Now,
                          std::mt19937_64 &Random) {
  if (!Ejected && Now - LastEjection > BackoffMemory)
    Backoff = 0;
  const auto Wait = std::min(Options.EjectMax,
                             Options.EjectMin * (1 << std::min(Backoff, 16)));
  const double Jitter = std::uniform_real_distribution(0.8, 1.2)(Random);
  TrialAt = Now + std::chrono::duration_cast<std::chrono::microseconds>(Wait *
                                                                        Jitter);
  Ejected = true;
  LastEjection = Now;
  ++Backoff;
}

void HealthTracker::readmit(core::TimePoint Now) {
  Ejected = false;
  Failures = 0;
  LastEjection = Now;
  ramp(Now);
}

std::uint32_t HealthTracker::limit(std::uint32_t Full,
                                   const DispatcherOptions &Options,
                                   core::TimePoint Now) const noexcept {
  if (!ramping(Options, Now) || Full <= 1)
    return Full;
  const double Part = std::chrono::duration<double>(Now - *RampStart) /
                      std::chrono::duration<double>(Options.RampTime);
  return 1 + static_cast<std::uint32_t>((Full - 1) * std::max(0.0, Part));
}

} // namespace jujubecart::decision::internal
