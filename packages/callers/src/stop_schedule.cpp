#include <jujubecart/callers/stop_schedule.hpp>

#include <algorithm>

namespace jujubecart::callers {

namespace {

// Any response takes some time, and a refusal has to reach the caller before
// the cut-off.
constexpr std::chrono::milliseconds MinExpectedTime{100};

} // namespace

core::TimePoint latestSend(const StopSchedule &Schedule,
                           core::TimePoint Deadline,
                           std::chrono::microseconds Expected) {
  if (Deadline <= Schedule.CutOffAt)
    return core::TimePoint::max();
  return Schedule.CutOffAt -
         std::max<std::chrono::microseconds>(Expected, MinExpectedTime);
}

} // namespace jujubecart::callers
