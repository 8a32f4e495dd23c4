#ifndef JUJUBECART_DECISION_INTERNAL_WAIT_ESTIMATE_HPP
#define JUJUBECART_DECISION_INTERNAL_WAIT_ESTIMATE_HPP

#include <jujubecart/core/clock.hpp>

#include <cstddef>
#include <optional>

namespace jujubecart::decision::internal {

/// @brief Estimates the wait in the queue from the rate at which it drains.
class WaitEstimate {
public:
  /// @brief Records that a waiting call was granted.
  /// @param Remaining Calls that still wait.
  void served(std::size_t Remaining, core::TimePoint Now);

  /// @brief Expected wait of a call.
  /// @param Ahead Calls that are served before it.
  /// @param AssumedIntervalUs Time per call until a measurement exists.
  [[nodiscard]] std::chrono::microseconds expected(std::size_t Ahead,
                                                   double AssumedIntervalUs,
                                                   core::TimePoint Now) const;

private:
  double IntervalUs = 0;
  std::size_t Samples = 0;
  /// Set while the queue has not been empty since.
  std::optional<core::TimePoint> LastServed;
};

} // namespace jujubecart::decision::internal

#endif
