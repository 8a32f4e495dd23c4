#ifndef JUJUBECART_DECISION_INTERNAL_WAIT_ESTIMATE_HPP
#define JUJUBECART_DECISION_INTERNAL_WAIT_ESTIMATE_HPP

#include <jujubecart/core/clock.hpp>

#include <cstddef>
#include <optional>

namespace jujubecart::decision::internal {

/// @brief Estimates the time in the queue from the rate at which calls leave
/// it.
class WaitEstimate {
public:
  /// @brief Records that a waiting call was granted.
  /// @param Remaining Number of calls that still wait.
  void recordGrant(std::size_t Remaining, core::TimePoint Now);

  /// @brief Expected wait of a call until it is granted.
  /// @param Ahead Number of calls that are granted before it.
  /// @param AssumedIntervalUs Time between two grants in microseconds, used
  /// until enough grants have been recorded.
  [[nodiscard]] std::chrono::microseconds
  expectedWait(std::size_t Ahead, double AssumedIntervalUs,
               core::TimePoint Now) const;

private:
  /// Moving average of the time between two grants.
  double IntervalUs = 0;
  std::size_t Samples = 0;
  /// Time of the last grant; empty if the queue was empty after it, because
  /// the gap to the next grant then says nothing about the drain rate.
  std::optional<core::TimePoint> LastGrant;
};

} // namespace jujubecart::decision::internal

#endif
