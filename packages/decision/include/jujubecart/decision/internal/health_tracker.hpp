#ifndef JUJUBECART_DECISION_INTERNAL_HEALTH_TRACKER_HPP
#define JUJUBECART_DECISION_INTERNAL_HEALTH_TRACKER_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/slot_broker.hpp>
#include <jujubecart/decision/dispatcher_options.hpp>
#include <jujubecart/decision/probe_result.hpp>

#include <cstdint>
#include <optional>
#include <random>

namespace jujubecart::decision::internal {

/// @brief Health of one backend server: failures from call results and probes,
/// ejection with backoff, drain reports and slow start.
class HealthTracker {
public:
  /// @brief Records how a call on the server ended.
  void onResult(const core::CallReport &Report, core::TimePoint Now);

  /// @brief Records a probe. It is ignored if a call ended within the last
  /// second, unless the server has reported that it is draining.
  void onProbe(const ProbeResult &Result, core::TimePoint Now);

  /// @brief Starts or extends an ejection, with exponential backoff and jitter.
  /// @param Random Source of the jitter.
  void eject(const DispatcherOptions &Options, core::TimePoint Now,
             std::mt19937_64 &Random);

  /// @brief Ends an ejection, clears the failure score and begins slow start.
  void readmit(core::TimePoint Now);

  /// @brief Begins slow start.
  void startRamp(core::TimePoint Now) { RampStart = Now; }

  /// @brief Whether the failure score has reached the ejection threshold.
  [[nodiscard]] bool unhealthy() const noexcept {
    return FailureScore >= UnhealthyScore;
  }
  [[nodiscard]] bool ejected() const noexcept { return Ejected; }

  /// @brief Whether the server is ejected and may get a trial request now.
  [[nodiscard]] bool trialDue(core::TimePoint Now) const noexcept {
    return Ejected && Now >= TrialAt;
  }

  /// @brief Earliest time of the next trial request; valid while ejected.
  [[nodiscard]] core::TimePoint trialAt() const noexcept { return TrialAt; }

  /// @brief Whether the server itself reported that it is draining, in a
  /// response or at its health endpoint.
  [[nodiscard]] bool draining() const noexcept { return DrainReported; }

  /// @brief Whether the server is in slow start.
  [[nodiscard]] bool ramping(const DispatcherOptions &Options,
                             core::TimePoint Now) const noexcept {
    return RampStart && Now < *RampStart + Options.RampTime;
  }

  /// @brief Limit of calls in flight: FullLimit, or during slow start a value
  /// that rises linearly from 1 to FullLimit.
  [[nodiscard]] std::uint32_t limit(std::uint32_t FullLimit,
                                    const DispatcherOptions &Options,
                                    core::TimePoint Now) const noexcept;

  /// @brief Time of the last call result or probe result, failures included.
  [[nodiscard]] core::TimePoint lastObserved() const noexcept {
    return LastObserved;
  }

private:
  /// Upper bound of FailureScore, at which the server counts as unhealthy.
  static constexpr int UnhealthyScore = 6;

  /// Rises with failures, falls with successes, from 0 to UnhealthyScore.
  int FailureScore = 0;
  bool Ejected = false;
  core::TimePoint TrialAt;
  /// The next ejection lasts MinEjectionTime times 2 to this power.
  int BackoffExponent = 0;
  /// Time of the last ejection or readmission.
  core::TimePoint LastEjection;
  std::optional<core::TimePoint> RampStart;
  bool DrainReported = false;
  /// Whether since the drain report a probe found the server draining or
  /// unreachable, so that a later successful probe shows a new state.
  bool ProbeConfirmedDrain = false;
  core::TimePoint DrainReportedAt;
  core::TimePoint LastObserved;
  std::optional<core::TimePoint> LastCallResult;
};

} // namespace jujubecart::decision::internal

#endif
