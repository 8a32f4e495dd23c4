#include "call.hpp"

#include <algorithm>
#include <jujubecart/core/log.hpp>

namespace jujubecart::callers::internal {

bool Call::endIfCallerClosed() {
  if (CancelledBy == CancelReason::None && Link.callerClosed())
    onCallerClosed();
  return CancelledBy == CancelReason::CallerGone;
}

void Call::onCallerClosed() {
  recordClose();
  if (CurrentPhase == Phase::Attempting)
    return cancelAttempts(CancelReason::CallerGone);
  // A response that is complete is written to its end: a caller that closed its
  // sending side only may still read it.
  if (!responsePending())
    return;
  cancelAttempts(CancelReason::CallerGone);
  Link.reset();
}

bool Call::responsePending() const {
  return std::any_of(ActiveAttempts.begin(), ActiveAttempts.end(),
                     [](const AttemptPtr &Each) {
                       return Each->Exchange && !Each->Exchange->complete();
                     });
}

CloseStage Call::stage() const {
  if (CurrentPhase == Phase::Writing)
    return CloseStage::Response;
  if (CurrentPhase == Phase::Reading)
    return CloseStage::Body;
  if (sentAttemptPending())
    return CloseStage::Sent;
  return waitsForSlot() || ActiveAttempts.empty() ? CloseStage::Slot
                                                  : CloseStage::Connection;
}

void Call::recordClose() const {
  State.Counters.countClose(stage());
  if (Route == nullptr)
    return;
  const auto Elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      State.Dependencies.Time.now() - Arrival);
  core::LogLine Line(core::LogLevel::Info, "request.caller_closed");
  Line.field("request", toString(Request.Id))
      .field("stage", toString(stage()))
      .field("elapsed_ms", Elapsed.count());
  if (const auto Age = Link.sinceLastSegment())
    Line.field("close_age_ms", Age->count());
}

void Call::endWithoutResponse(const std::string &Server) const {
  State.Counters.countRejected(RejectReason::CallerGone);
  State.recordEvent("call.rejected", Request.Id, Server,
                    toString(RejectReason::CallerGone));
  logEnd(0, "caller gone", Server);
}

} // namespace jujubecart::callers::internal
