#ifndef JUJUBECART_DECISION_INTERNAL_PROBE_SCHEDULE_HPP
#define JUJUBECART_DECISION_INTERNAL_PROBE_SCHEDULE_HPP

#include <jujubecart/decision/dispatcher_options.hpp>
#include <jujubecart/decision/token_bucket.hpp>

namespace jujubecart::decision::internal {

/// @brief Rate limiter of the health probes of one dispatcher. Probes are
/// suspended for a second after its creation and after a pause of the process.
class ProbeSchedule {
public:
  ProbeSchedule(const DispatcherOptions &Options, core::TimePoint Now);

  /// @brief Records the current time. A gap of more than 200 ms since the last
  /// call counts as a pause of the process and suspends probes.
  void advanceTime(core::TimePoint Now) noexcept;

  /// @brief Whether probes are enabled and not suspended; the budget may still
  /// be used up.
  [[nodiscard]] bool allowed(core::TimePoint Now) const noexcept {
    return RatePerS >= 1 && Now >= NotBefore;
  }

  /// @brief Takes one probe from the budget.
  /// @return Whether it may be sent.
  [[nodiscard]] bool tryTake(core::TimePoint Now) noexcept {
    return allowed(Now) && Bucket.tryTake(Now);
  }

  /// @brief A server that was heard from within this time needs no probe.
  [[nodiscard]] std::chrono::milliseconds freshPeriod() const noexcept {
    return FreshPeriod;
  }

private:
  double RatePerS;
  std::chrono::milliseconds FreshPeriod;
  TokenBucket Bucket;
  /// Probes are suspended until this time.
  core::TimePoint NotBefore;
  core::TimePoint LatestTime;
};

} // namespace jujubecart::decision::internal

#endif
