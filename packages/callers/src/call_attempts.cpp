#include "call.hpp"

#include <algorithm>
#include <jujubecart/core/log.hpp>
#include <utility>

namespace jujubecart::callers::internal {

namespace {

constexpr unsigned ServerError = 500;
// Attempts that found no connection; they reached no backend server.
constexpr std::size_t MaxUnsent = 4;

} // namespace

core::SlotRequest Call::slotRequest() const {
  core::SlotRequest Out{.Service = Service->Name,
                        .Request = What.Id,
                        .Deadline = Deadline,
                        .Priority = Service->Priority,
                        .CallerHash = What.Traits.CallerId.empty()
                                          ? Link.peerHash()
                                          : core::hash64(What.Traits.CallerId),
                        .Key = Key,
                        .Excluded = Excluded,
                        .Objective = Objective,
                        .Advice = Advice};
  if (Route != nullptr) {
    Out.Priority = Route->Priority;
    Out.WorkClass = core::hash64(Route->Name);
  }
  return Out;
}

std::shared_ptr<core::BackendRequest>
Call::outgoing(const core::BackendServer &Server) const {
  auto Out = std::make_shared<core::BackendRequest>(
      core::BackendRequest{.Head = ForwardedHead,
                           .Body = What.Body,
                           .IsHead = What.isHead(),
                           .IsOrder = !idempotent(),
                           .CallerRequestId = What.Traits.CallerRequestId});
  State.Uses.Profile.writeRequest(Out->Head,
                                  {.Id = What.Id,
                                   .Traits = What.Traits,
                                   .Deadline = Deadline,
                                   .Server = Server},
                                  State.Uses.Time);
  Out->Head.append("\r\n");
  return Out;
}

bool Call::idempotent() const noexcept {
  return Route != nullptr ? Route->Idempotent : !Key;
}

core::Awaitable<bool> Call::forward() {
  Advice = std::make_shared<core::RefusalAdvice>();
  ForwardedHead =
      forwardedHead(Link.reader().message(), What, State.Uses.Profile);
  Now = Phase::Attempting;
  Link.setDue(Deadline);
  if (Body.buffered())
    Link.watchDeparture();
  while (true) {
    const AttemptPtr Next = co_await nextAttempt();
    const bool Ready = Next->ready() && Stopped == StopReason::None;
    if (Ready && !keepsForLater(Next))
      co_return co_await relay(Next);
    const core::CallOutcome Outcome = Next->report().Outcome;
    MaybeRun = MaybeRun || !core::certainlyNotRun(Outcome);
    Next->release();
    if (!Next->Granted || (!Ready && !mayRetry(Outcome)))
      co_return co_await fail(Next);
    Excluded.push_back(Next->Grant.Server.Id);
    ++State.Counters.Retries;
    if (Route != nullptr)
      core::LogLine(core::LogLevel::Info, "request.retried")
          .field("request", toString(What.Id))
          .field("server", Next->Grant.Server.Id)
          .field("attempts", Sent)
          .field("reason", Next->Failure.message());
    State.event("call.retried", What.Id, Next->Grant.Server.Id,
                Next->Failure.message());
  }
}

// A backend server that fails a request may be the only one that does so.
bool Call::keepsForLater(const AttemptPtr &Which) {
  if (Route == nullptr || !idempotent() || !Which->Exchange->complete() ||
      Which->Exchange->head().result_int() < ServerError ||
      !mayRetry(core::CallOutcome::Completed))
    return false;
  Spare = Which;
  return true;
}

core::Awaitable<Call::AttemptPtr> Call::nextAttempt() {
  if (mayHedge())
    co_return co_await race();
  auto Next = std::make_shared<Attempt>(State.Uses.Broker, Body);
  Active.push_back(Next);
  co_await runAttempt(Next);
  std::erase(Active, Next);
  co_return Next;
}

core::Awaitable<void> Call::runAttempt(AttemptPtr Which) {
  const core::Clock &Time = State.Uses.Time;
  ClaimTried = Key.has_value();
  auto Grant = co_await State.Uses.Broker.acquire(slotRequest());
  if (!Grant) {
    Which->Failure = Grant.error();
    KeyRepeated = KeyRepeated || Which->Failure == core::Error::OrderRepeated;
    co_return;
  }
  Which->Grant = std::move(*Grant);
  Which->Granted = true;
  if (Stopped != StopReason::None || Which->Aborted) {
    Which->Failure = core::make_error_code(core::Error::Cancelled);
    co_return;
  }
  ++Sent;
  if (!std::exchange(Counted, true))
    State.Uses.Retries.recordFirstAttempt();
  ++State.Counters.Attempts;
  if (Route == nullptr && idempotent() && mayRepeat()) {
    SilentDue = Time.now() + (Deadline - Time.now()) / 2;
    Link.setDue(SilentDue);
  }
  State.event("call.sent", What.Id, Which->Grant.Server.Id);
  Which->Exchange = State.Uses.Backends.prepare(Which->Grant.Server,
                                                outgoing(Which->Grant.Server));
  const bool HasBody = What.Body != core::BackendRequest::Framing::None;
  Which->Failure =
      co_await Which->Exchange->open(HasBody ? &Which->Cursor : nullptr);
  if (Route != nullptr && !Which->Exchange->sent())
    --Sent;
  if (!Which->Failure)
    Which->Failure = co_await preload(Which);
}

core::Awaitable<std::error_code> Call::preload(AttemptPtr Which) {
  core::BackendExchange &From = *Which->Exchange;
  if (From.complete())
    co_return std::error_code();
  const std::optional<std::uint64_t> Length = From.contentLength();
  Which->Capacity = State.Options.BufferedResponse;
  if (Length && *Length < Which->Capacity)
    Which->Capacity = *Length;
  Which->Data = std::make_unique_for_overwrite<char[]>(Which->Capacity);
  do {
    const auto Count = co_await From.read(
        {Which->Data.get() + Which->Size, Which->Capacity - Which->Size});
    if (!Count)
      co_return Count.error();
    Which->Size += *Count;
    // A chunked response may pause for long, so its beginning is not held back.
  } while ((Length || State.Options.HoldResponses) &&
           Which->Size < Which->Capacity && !From.complete());
  co_return std::error_code();
}

bool Call::mayRepeat() const {
  return Stopped == StopReason::None && What.Traits.Depth == 0 &&
         Sent < MaxAttempts && Body.replayable() && !Body.failed() &&
         State.Uses.Time.now() + State.Options.MinRetryTime < Deadline;
}

bool Call::mayRetry(core::CallOutcome Outcome) {
  if (!mayRepeat() || (!idempotent() && MaybeRun))
    return false;
  // Nothing arrived at a backend server, so the budget is not concerned.
  if (Route != nullptr && Outcome == core::CallOutcome::NotSent)
    return Excluded.size() < MaxUnsent;
  return std::exchange(RetryReserved, false) || State.Uses.Retries.tryTake();
}

// A connection can go silent without an error. A lookup that has no response
// after half of its time is tried on another server, if the budget allows it.
void Call::abortSilentAttempt() {
  const bool Pending = std::exchange(SilentDue, core::TimePoint::max()) !=
                       core::TimePoint::max();
  Link.setDue(Deadline);
  if (!Pending || Active.size() != 1 || !mayRepeat() ||
      !State.Uses.Retries.tryTake())
    return;
  RetryReserved = true;
  Active.front()->abort(core::AbortReason::TimedOut);
}

void Call::cancelAttempts(StopReason Reason) {
  if (Stopped != StopReason::None)
    return;
  Stopped = Reason;
  State.Uses.Broker.cancel(What.Id);
  for (const AttemptPtr &Each : Active)
    Each->abort(Reason == StopReason::TimedOut ? core::AbortReason::TimedOut
                                               : core::AbortReason::Cancelled);
  // An attempt may be waiting for the rest of the caller's body.
  if (!Body.buffered())
    Link.cancelRead();
}

void Call::endOrder() noexcept {
  if (Key && ClaimTried && !MaybeRun && !KeyRepeated)
    State.Uses.Broker.releaseClaim(Service->Name, *Key, What.Id);
}

core::Awaitable<bool> Call::fail(AttemptPtr Last) {
  endOrder();
  if (Spare && Stopped == StopReason::None)
    co_return co_await relay(Spare);
  const bool BodyLost = Body.failed() && Stopped == StopReason::None &&
                        !Link.reader().limitExceeded() && !Body.malformed();
  if (BodyLost || Stopped == StopReason::CallerGone ||
      Stopped == StopReason::CutOff) {
    State.Counters.reject(RejectReason::CallerGone);
    State.event("call.rejected", What.Id, Last->Grant.Server.Id,
                toString(RejectReason::CallerGone));
    logEnd(0, "caller gone", Last->Grant.Server.Id);
    co_return false;
  }
  co_return co_await reject(explain(*Last), !MaybeRun && !KeyRepeated);
}

Fault Call::explain(const Attempt &Last) const {
  using enum core::Error;
  if (Link.reader().limitExceeded())
    return {413, RejectReason::TooLarge, "request body too large"};
  if (Body.malformed())
    return {400, RejectReason::Malformed, "malformed request body"};
  if (Stopped == StopReason::TimedOut && State.Uses.Time.now() < Deadline)
    return {408, RejectReason::Slow, "request body not received in time"};
  // A request of a route that was not run may be sent again by its caller.
  const bool NotRun = Route != nullptr && !MaybeRun;
  if (Stopped == StopReason::TimedOut || Last.Failure == DeadlineExceeded)
    return {NotRun ? 503U : 504U, RejectReason::DeadlineExceeded,
            "deadline exceeded"};
  if (Last.Failure == OrderRepeated)
    return {409, RejectReason::OrderRepeated, "Idempotency-Key already used"};
  if (!Last.Granted && Route != nullptr && MaybeRun)
    return {502, RejectReason::BadResponse,
            "no backend server left for another attempt"};
  if (!Last.Granted && Last.Failure == Overloaded)
    return {503, RejectReason::Overloaded, "overloaded"};
  const core::CallOutcome Outcome = Last.report().Outcome;
  if (MaybeRun && core::certainlyNotRun(Outcome))
    return {502, RejectReason::BadResponse,
            "an earlier attempt may have been run"};
  if (Outcome == core::CallOutcome::Rejected)
    return {503, RejectReason::Overloaded, "rejected by the backend server"};
  if (core::certainlyNotRun(Outcome))
    return {503, RejectReason::Unavailable, "no backend server available"};
  if (Outcome == core::CallOutcome::TimedOut)
    return {504, RejectReason::DeadlineExceeded, "deadline exceeded"};
  return {502, RejectReason::BadResponse,
          "incomplete or invalid response from the backend server"};
}

} // namespace jujubecart::callers::internal
