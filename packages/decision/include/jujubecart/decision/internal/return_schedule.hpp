#ifndef JUJUBECART_DECISION_INTERNAL_RETURN_SCHEDULE_HPP
#define JUJUBECART_DECISION_INTERNAL_RETURN_SCHEDULE_HPP

#include <jujubecart/core/clock.hpp>

namespace jujubecart::decision::internal {

/// @brief Spreads the returns of rejected callers, so that each of them returns
/// when there will be room for it.
class ReturnSchedule {
public:
  /// @brief Reserves the next time at which one more caller can be served.
  /// @param Backlog Time until the calls that wait now are served.
  /// @param SpareCallsPerS Calls per second that the servers can finish beyond
  /// those that arrive.
  [[nodiscard]] core::TimePoint reserve(std::chrono::microseconds Backlog,
                                        double SpareCallsPerS,
                                        core::TimePoint Now);

private:
  /// Time that was reserved last.
  core::TimePoint Last;
};

} // namespace jujubecart::decision::internal

#endif
