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

/// @brief Judges one backend server from call results and probes.
class HealthTracker {
public:
  /// @brief Records how a call ended.
  void onResult(const core::CallReport &Report, core::TimePoint Now);

  /// @brief Records a probe; call results of the last second outweigh it.
  void onProbe(const ProbeResult &Result, core::TimePoint Now);

  /// @brief Starts or prolongs an ejection, with exponential backoff.
  void eject(const DispatcherOptions &Options, core::TimePoint Now,
             std::mt19937_64 &Random);

  /// @brief Ends an ejection; the server starts slowly.
  void readmit(core::TimePoint Now);

  /// @brief Starts slow start.
  void ramp(core::TimePoint Now) { RampStart = Now; }

  /// @brief Whether failures prevail.
  [[nodiscard]] bool unhealthy() const noexcept {
    return Failures >= UnhealthyAt;
  }
  [[nodiscard]] bool ejected() const noexcept { return Ejected; }

  /// @brief Whether an ejected server may get its next trial request.
  [[nodiscard]] bool trialDue(core::TimePoint Now) const noexcept {
    return Ejected && Now >= TrialAt;
  }

  /// @brief Earliest time of the next trial request.
  [[nodiscard]] core::TimePoint trialAt() const noexcept { return TrialAt; }

  /// @brief Whether the server itself said that it is draining.
  [[nodiscard]] bool draining() const noexcept { return DrainReported; }

  [[nodiscard]] bool ramping(const DispatcherOptions &Options,
                             core::TimePoint Now) const noexcept {
    return RampStart && Now < *RampStart + Options.RampTime;
  }

  /// @brief Limit during slow start: from 1 to Full.
  [[nodiscard]] std::uint32_t limit(std::uint32_t Full,
                                    const DispatcherOptions &Options,
                                    core::TimePoint Now) const noexcept;

  /// @brief Last time the server answered a call, or was probed.
  [[nodiscard]] core::TimePoint lastHeard() const noexcept { return LastHeard; }

private:
  static constexpr int UnhealthyAt = 6;

  int Failures = 0;
  bool Ejected = false;
  core::TimePoint TrialAt;
  int Backoff = 0;
  core::TimePoint LastEjection;
  std::optional<core::TimePoint> RampStart;
  bool DrainReported = false;
  bool ProbeSawDrain = false;
  core::TimePoint DrainedAt;
  core::TimePoint LastHeard;
  std::optional<core::TimePoint> LastResult;
};

} // namespace jujubecart::decision::internal

#endif
