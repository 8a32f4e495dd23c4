#ifndef JUJUBECART_DECISION_INTERNAL_FAILURE_RATE_HPP
#define JUJUBECART_DECISION_INTERNAL_FAILURE_RATE_HPP

#include <jujubecart/core/clock.hpp>

namespace jujubecart::decision::internal {

/// @brief Recent share of calls that a backend server failed or rejected. It
/// decays over time, so that a server that got no calls is tried again.
class FailureRate {
public:
  void record(bool Failed, core::TimePoint Now) noexcept;

  /// @brief Share of failed calls, between 0 and 1.
  [[nodiscard]] double value(core::TimePoint Now) const noexcept;

private:
  /// Moving average at the time of LastResult.
  double Average = 0;
  core::TimePoint LastResult;
};

} // namespace jujubecart::decision::internal

#endif
