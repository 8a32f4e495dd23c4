#ifndef JUJUBECART_DECISION_INTERNAL_PROBE_SCHEDULE_HPP
#define JUJUBECART_DECISION_INTERNAL_PROBE_SCHEDULE_HPP

#include <jujubecart/decision/dispatcher_options.hpp>
#include <jujubecart/decision/token_bucket.hpp>

namespace jujubecart::decision::internal {

/// @brief Decides when health probes may be sent.
class ProbeSchedule {
public:
  ProbeSchedule(const DispatcherOptions &Options, core::TimePoint Now);

  /// @brief Records that time has reached Now; a jump means a pause.
  void observe(core::TimePoint Now) noexcept;

  /// @brief Whether probes are allowed apart from the budget.
  [[nodiscard]] bool open(core::TimePoint Now) const noexcept {
    return PerS >= 1 && Now >= NotBefore;
  }

  /// @brief Takes one probe from the budget.
  [[nodiscard]] bool take(core::TimePoint Now) noexcept {
    return open(Now) && Bucket.tryTake(Now);
  }

  /// @brief A server that answered within this time needs no probe.
  [[nodiscard]] std::chrono::milliseconds recent() const noexcept {
    return Recent;
  }

private:
  double PerS;
  std::chrono::milliseconds Recent;
  TokenBucket Bucket;
  core::TimePoint NotBefore;
  core::TimePoint Last;
};

} // namespace jujubecart::decision::internal

#endif
