#ifndef JUJUBECART_CALLERS_STOP_SCHEDULE_HPP
#define JUJUBECART_CALLERS_STOP_SCHEDULE_HPP

#include <jujubecart/core/clock.hpp>

#include <chrono>
#include <compare>

namespace jujubecart::callers {

/// @brief Instants of a graceful stop.
struct StopSchedule {
  /// Until then new connections may arrive, since whoever distributes them does
  /// not know of the stop yet.
  core::TimePoint LeaveAt;
  /// When the connections of the remaining requests are reset.
  core::TimePoint CutOffAt;

  friend auto operator<=>(const StopSchedule &, const StopSchedule &) = default;
};

/// @brief Latest instant at which a request can be sent to a backend server so
/// that its response arrives before the cut-off.
/// @param Deadline When the request ends in any case.
/// @param Expected Time from sending the request to the end of its response.
/// @return core::TimePoint::max() if the request ends before the cut-off
/// whenever it is sent.
[[nodiscard]] core::TimePoint latestSend(const StopSchedule &Schedule,
                                         core::TimePoint Deadline,
                                         std::chrono::microseconds Expected);

} // namespace jujubecart::callers

#endif
