#include "call.hpp"

#include <algorithm>

namespace jujubecart::callers::internal {

namespace {

// For a request that is refused because this VM stops. Another VM can take it
// at once; the delay lets the caller notice that its connection was closed.
constexpr std::chrono::milliseconds RetryAfterStop{100};

} // namespace

std::uint64_t Call::workClass() const {
  return core::hash64(Route != nullptr ? Route->Name : Service->Name);
}

// A route states in its objective how long its requests may take; those of this
// VM tell if they take longer.
std::chrono::microseconds Call::expectedTime() const {
  std::chrono::microseconds Stated{0};
  if (Objective != core::TimePoint::max())
    Stated = std::chrono::duration_cast<std::chrono::microseconds>(Objective -
                                                                   Arrival);
  return std::max(
      Stated, State.Times.longest(workClass(), State.Dependencies.Time.now()));
}

void Call::updateSendBy() {
  if (const auto Schedule = State.schedule())
    SendBy = latestSend(*Schedule, Deadline, expectedTime());
}

bool Call::sendByPassed() const {
  return SendBy != core::TimePoint::max() &&
         State.Dependencies.Time.now() >= SendBy;
}

bool Call::waitsForSlot() const {
  return std::any_of(ActiveAttempts.begin(), ActiveAttempts.end(),
                     [](const AttemptPtr &Each) { return !Each->Granted; });
}

bool Call::sentAttemptPending() const {
  return std::any_of(
      ActiveAttempts.begin(), ActiveAttempts.end(), [](const AttemptPtr &Each) {
        return !Each->Done && Each->Exchange && Each->Exchange->sent();
      });
}

// An attempt that was sent goes on: its response may still come in time.
void Call::endSlotWait() {
  State.Dependencies.Broker.cancel(Request.Id);
  armTimeout();
}

void Call::onStop() {
  if (Service == nullptr)
    return;
  updateSendBy();
  if (CurrentPhase == Phase::Writing)
    return;
  if (!sendByPassed())
    return armTimeout();
  if (CurrentPhase == Phase::Reading)
    onTimeout();
  else if (waitsForSlot())
    endSlotWait();
}

Rejection Call::stopRejection() const {
  return {503, RejectReason::Stopping, "this VM is stopping"};
}

std::chrono::milliseconds Call::retryAfter(const Rejection &Cause) const {
  using std::chrono::milliseconds;
  const core::TimePoint Now = State.Dependencies.Time.now();
  core::TimePoint RetryAt = Now + State.Options.RetryAfter;
  const auto Schedule = State.schedule();
  if (Cause.Reason == RejectReason::Stopping && Schedule)
    RetryAt = std::max(Schedule->LeaveAt, Now + RetryAfterStop);
  else if (Hint && Hint->RetryAt)
    RetryAt = *Hint->RetryAt;
  return std::max(milliseconds(0),
                  std::chrono::ceil<milliseconds>(RetryAt - Now));
}

} // namespace jujubecart::callers::internal
