#include <jujubecart/decision/internal/return_schedule.hpp>

#include <jujubecart/decision/internal/microseconds.hpp>

#include <algorithm>

namespace jujubecart::decision::internal {

namespace {

// Callers that would have to return later than this are no longer spread, since
// the load of that time is unknown.
constexpr std::chrono::seconds MaxAhead{5};

} // namespace

core::TimePoint ReturnSchedule::reserve(std::chrono::microseconds Backlog,
                                        double SpareCallsPerS,
                                        core::TimePoint Now) {
  const std::chrono::microseconds Gap(
      static_cast<std::int64_t>(MicrosecondsPerSecond / SpareCallsPerS));
  Last = std::min(std::max(Now + Backlog, Last + Gap), Now + MaxAhead);
  return Last;
}

} // namespace jujubecart::decision::internal
