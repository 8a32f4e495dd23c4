#include "call.hpp"

#include <algorithm>
#include <jujubecart/core/log.hpp>

namespace jujubecart::callers::internal {

std::string_view Call::stage() const {
  if (CurrentPhase == Phase::Writing)
    return "response";
  if (CurrentPhase == Phase::Reading)
    return "body";
  if (sentAttemptPending())
    return "sent";
  return waitsForSlot() || ActiveAttempts.empty() ? "slot" : "connection";
}

void Call::logClose(std::string_view Event, std::string_view Server) const {
  if (Route == nullptr)
    return;
  const core::TimePoint Now = State.Dependencies.Time.now();
  core::LogLine Line(core::LogLevel::Info, Event);
  Line.field("request", toString(Request.Id))
      .field("stage", stage())
      .field("server", Server)
      .field(
          "elapsed_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(Now - Arrival)
              .count());
  if (const auto Age = Link.sinceLastSegment())
    Line.field("close_age_ms", Age->count());
}

} // namespace jujubecart::callers::internal
