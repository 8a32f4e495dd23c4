#include "call.hpp"

#include <algorithm>
#include <jujubecart/core/hash.hpp>
#include <jujubecart/core/log.hpp>
#include <jujubecart/decision/rejected_call.hpp>
#include <limits>
#include <utility>

namespace jujubecart::callers::internal {

namespace {

constexpr unsigned ServerError = 500;
// Limit for attempts that sent nothing because no connection could be opened.
// They reached no backend server, so they use no retry budget.
constexpr std::size_t MaxUnsentAttempts = 4;

decision::RejectedCall rejectedCall(const Attempt &Last,
                                    core::TimePoint Objective) {
  const core::CallReport Report = Last.report();
  return {.Load = Report.Load,
          .Slots = Last.Grant.Server.Slots,
          .Objective = Objective,
          .ReasonStated =
              Report.Draining || Report.OtherInstance || Report.Limit,
          .QuietUntil = Report.QuietUntil};
}

// Number from 0 to 1, computed from the id of the request, by which callers
// that are rejected at the same time return at different times.
double spreadOf(core::RequestId Id) {
  return double(core::hash64(toString(Id))) /
         double(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

core::SlotRequest Call::slotRequest() const {
  core::SlotRequest Out{.Service = Service->Name,
                        .Request = Request.Id,
                        .Deadline = Deadline,
                        .Priority = Service->Priority,
                        .CallerHash =
                            Request.Traits.CallerId.empty()
                                ? Link.callerAddressHash()
                                : core::hash64(Request.Traits.CallerId),
                        .Key = Key,
                        .Excluded = ExcludedServers,
                        .Objective = Objective,
                        .Hint = Hint};
  // Lets the dispatcher refuse a request at once that it cannot serve in time.
  if (const auto Schedule = State.schedule())
    Out.Deadline = std::min(Out.Deadline, Schedule->CutOffAt);
  if (Route != nullptr) {
    Out.Priority = Route->Priority;
    Out.WorkClass = workClass();
  }
  if (Workspace != nullptr) {
    Out.Priority = Workspace->Priority.value_or(Out.Priority);
    Out.Workspace = Workspace->hash();
    Out.CountsAgainstQuota = !SlotRequested;
  }
  return Out;
}

std::shared_ptr<core::BackendRequest>
Call::makeBackendRequest(const Attempt &Current) {
  auto Out = std::make_shared<core::BackendRequest>(core::BackendRequest{
      .Head = ForwardedHead,
      .Body = Request.Body,
      .IsHead = Request.isHead(),
      .IsOrder = !idempotent(),
      .CallerRequestId = Request.Traits.CallerRequestId,
      .MaySend = [this, &Current] { return maySend(Current); }});
  State.Dependencies.Profile.writeRequest(Out->Head,
                                          {.Id = Request.Id,
                                           .Traits = Request.Traits,
                                           .Deadline = Deadline,
                                           .Server = Current.Grant.Server,
                                           .Workspace = workspaceName()},
                                          State.Dependencies.Time);
  Out->Head.append("\r\n");
  return Out;
}

// Right before the first byte, the latest facts count: those of the kernel for
// the caller, since a VM that is late has not handled all events yet.
bool Call::maySend(const Attempt &Current) {
  return !endIfCallerClosed() && !sendByPassed() &&
         State.Dependencies.Broker.permits(Current.Grant);
}

bool Call::idempotent() const noexcept {
  return Route != nullptr ? Route->Idempotent : !Key;
}

core::Awaitable<bool> Call::forward() {
  Hint = std::make_shared<core::RetryHint>();
  ForwardedHead =
      serializeForwardedHead(Link.reader().message(), Request,
                             State.Dependencies.Profile, hasWorkspaces());
  CurrentPhase = Phase::Attempting;
  armTimeout();
  Link.watchForClose();
  while (true) {
    const AttemptPtr Next = co_await runNextAttempt();
    const bool Ready =
        Next->hasUsableResponse() && CancelledBy == CancelReason::None;
    const core::CallOutcome Outcome = Next->report().Outcome;
    Execution = Execution.afterAttempt(Outcome);
    if (Ready && !keepAsFallback(Next))
      co_return co_await relay(Next);
    Next->release();
    // The use of the quota is given back with a slot that was not used.
    if (Next->CountsAgainstQuota && Outcome == core::CallOutcome::Withheld)
      SlotRequested = false;
    if (!Next->Granted || (!Ready && !tryTakeRetry(*Next))) {
      // Replaces the hint of the dispatcher, which assumes that all slots are
      // in use, if the server rejected the call with a free slot.
      if (Outcome == core::CallOutcome::Rejected && Route != nullptr)
        if (const auto At = decision::returnTime(rejectedCall(*Next, Objective),
                                                 State.Dependencies.Time.now(),
                                                 spreadOf(Request.Id)))
          Hint->RetryAt = *At;
      co_return co_await answerFailure(Next);
    }
    ExcludedServers.push_back(Next->Grant.Server.Id);
    ++State.Counters.Retries;
    if (Route != nullptr)
      core::LogLine(core::LogLevel::Info, "request.retried")
          .field("request", toString(Request.Id))
          .field("server", Next->Grant.Server.Id)
          .field("attempts", AttemptsSent)
          .field("reason", Next->Failure.message());
    State.recordEvent("call.retried", Request.Id, Next->Grant.Server.Id,
                      Next->Failure.message());
  }
}

// Keeps a complete 5xx response as a fallback and allows another attempt, since
// other backend servers may succeed. Takes a token from the retry budget.
bool Call::keepAsFallback(const AttemptPtr &Current) {
  if (Route == nullptr || !idempotent() || !Current->Exchange->complete() ||
      Current->Exchange->head().result_int() < ServerError ||
      !tryTakeRetry(*Current))
    return false;
  FallbackAttempt = Current;
  return true;
}

core::Awaitable<Call::AttemptPtr> Call::runNextAttempt() {
  if (mayHedge())
    co_return co_await runHedgedAttempts();
  auto Next = std::make_shared<Attempt>(State.Dependencies.Broker, Body);
  ActiveAttempts.push_back(Next);
  co_await runAttempt(Next);
  std::erase(ActiveAttempts, Next);
  co_return Next;
}

core::Awaitable<void> Call::runAttempt(AttemptPtr Current) {
  const core::Clock &Time = State.Dependencies.Time;
  if (sendByPassed() || endIfCallerClosed()) {
    Current->Failure = core::make_error_code(core::Error::Cancelled);
    co_return;
  }
  armTimeout();
  ClaimRequested = Key.has_value();
  core::SlotRequest Needed = slotRequest();
  Current->CountsAgainstQuota = Needed.CountsAgainstQuota;
  SlotRequested = true;
  auto Grant = co_await State.Dependencies.Broker.acquire(std::move(Needed));
  if (!Grant) {
    Current->Failure = Grant.error();
    if (Current->Failure == core::Error::OrderRepeated)
      Execution = Execution.afterRepeatedKey();
    co_return;
  }
  Current->Grant = std::move(*Grant);
  Current->Granted = true;
  if (GrantWake != nullptr)
    GrantWake->cancel();
  if (CancelledBy != CancelReason::None || Current->Aborted ||
      !maySend(*Current)) {
    Current->Failure = core::make_error_code(core::Error::Cancelled);
    co_return;
  }
  ++AttemptsSent;
  if (!std::exchange(FirstAttemptRecorded, true))
    State.Dependencies.Retries.recordFirstAttempt(Service->Name);
  ++State.Counters.Attempts;
  if (Route == nullptr && idempotent() && allowsAnotherAttempt()) {
    AttemptTimeoutAt = Time.now() + (Deadline - Time.now()) / 2;
    armTimeout();
  }
  State.recordEvent("call.sent", Request.Id, Current->Grant.Server.Id);
  Current->Exchange = State.Dependencies.Backends.prepare(
      Current->Grant.Server, makeBackendRequest(*Current));
  const bool HasBody = Request.Body != core::BackendRequest::Framing::None;
  Current->Failure =
      co_await Current->Exchange->open(HasBody ? &Current->Cursor : nullptr);
  if (Route != nullptr && !Current->Exchange->sent())
    --AttemptsSent;
  if (!Current->Failure)
    Current->Failure = co_await readResponseStart(Current);
}

core::Awaitable<std::error_code> Call::readResponseStart(AttemptPtr Current) {
  core::BackendExchange &Exchange = *Current->Exchange;
  if (Exchange.complete())
    co_return std::error_code();
  const std::optional<std::uint64_t> Length = Exchange.contentLength();
  Current->Capacity = State.Options.MaxBufferedResponseBytes;
  if (Length && *Length < Current->Capacity)
    Current->Capacity = *Length;
  Current->Buffer = std::make_unique_for_overwrite<char[]>(Current->Capacity);
  do {
    const auto Count =
        co_await Exchange.read({Current->Buffer.get() + Current->Size,
                                Current->Capacity - Current->Size});
    if (!Count)
      co_return Count.error();
    Current->Size += *Count;
    // A chunked response may pause for a long time, so its first bytes are not
    // held back unless BufferResponsesWithoutLength is set.
  } while ((Length || State.Options.BufferResponsesWithoutLength) &&
           Current->Size < Current->Capacity && !Exchange.complete());
  co_return std::error_code();
}

bool Call::allowsAnotherAttempt() const {
  return CancelledBy == CancelReason::None && Request.Traits.Depth == 0 &&
         AttemptsSent < MaxAttempts && Body.replayable() && !Body.failed() &&
         !sendByPassed() &&
         State.Dependencies.Time.now() + State.Options.MinRetryTime < Deadline;
}

// Takes a token from the retry budget if another attempt is allowed. A request
// that is not idempotent is not sent again once it may have run.
bool Call::tryTakeRetry(const Attempt &Last) {
  const core::CallOutcome Outcome = Last.report().Outcome;
  if (Outcome == core::CallOutcome::Withheld)
    return mayAcquireAgain();
  if (!allowsAnotherAttempt() || !Execution.maySendAgain(idempotent()))
    return false;
  if (Route != nullptr && Outcome == core::CallOutcome::Rejected &&
      !decision::worthRepeat(
          rejectedCall(Last, Objective),
          State.Dependencies.Retries.nearlyUsed(Service->Name),
          State.Dependencies.Time.now()))
    return false;
  // Nothing arrived at a backend server, so no token is taken.
  if (Route != nullptr && Outcome == core::CallOutcome::NotSent)
    return ExcludedServers.size() < MaxUnsentAttempts;
  return std::exchange(RetryReserved, false) ||
         State.Dependencies.Retries.tryTake(Service->Name);
}

// Nothing was sent, so this is no further attempt.
bool Call::mayAcquireAgain() const {
  return CancelledBy == CancelReason::None && Body.replayable() &&
         !Body.failed() && !sendByPassed() &&
         State.Dependencies.Time.now() < Deadline &&
         ExcludedServers.size() < MaxUnsentAttempts;
}

// A connection can stop responding without an error. An idempotent request that
// has no response after half of its remaining time is aborted and retried on
// another backend server, if the retry budget allows it.
void Call::onAttemptTimeout() {
  const bool Pending =
      std::exchange(AttemptTimeoutAt, core::TimePoint::max()) !=
      core::TimePoint::max();
  armTimeout();
  if (!Pending || ActiveAttempts.size() != 1 || !allowsAnotherAttempt() ||
      !State.Dependencies.Retries.tryTake(Service->Name))
    return;
  RetryReserved = true;
  ActiveAttempts.front()->abort(core::AbortReason::TimedOut);
}

void Call::armTimeout() {
  core::TimePoint At = std::min(Deadline, AttemptTimeoutAt);
  if (CurrentPhase == Phase::Reading)
    At = ReadUntil;
  const bool NotSentYet = CurrentPhase == Phase::Reading || waitsForSlot() ||
                          ActiveAttempts.empty();
  if (NotSentYet && !sendByPassed())
    At = std::min(At, SendBy);
  Link.setTimeoutAt(At);
}

void Call::cancelAttempts(CancelReason Reason) {
  if (CancelledBy != CancelReason::None)
    return;
  CancelledBy = Reason;
  State.Dependencies.Broker.cancel(Request.Id);
  for (const AttemptPtr &Each : ActiveAttempts)
    Each->abort(Reason == CancelReason::TimedOut
                    ? core::AbortReason::TimedOut
                    : core::AbortReason::Cancelled);
  // An attempt may be waiting for the rest of the caller's body.
  if (!Body.fullyBuffered())
    Link.cancelRead();
}

// Lets the caller repeat the idempotency key if the order certainly did not
// run.
void Call::releaseUnusedClaim() noexcept {
  if (Key && ClaimRequested && Execution.certainlyNotRun())
    State.Dependencies.Broker.releaseClaim(Service->Name, *Key, Request.Id);
}

core::Awaitable<bool> Call::answerFailure(AttemptPtr Last) {
  releaseUnusedClaim();
  if (FallbackAttempt && (CancelledBy == CancelReason::None ||
                          CancelledBy == CancelReason::Stopping)) {
    CancelledBy = CancelReason::None;
    co_return co_await relay(FallbackAttempt);
  }
  const bool BodyLost = Body.failed() && CancelledBy == CancelReason::None &&
                        !Link.reader().limitExceeded() && !Body.malformed();
  if (BodyLost || CancelledBy == CancelReason::CallerGone ||
      CancelledBy == CancelReason::CutOff) {
    endWithoutResponse(Last->Grant.Server.Id);
    co_return false;
  }
  co_return co_await reject(rejectionFor(*Last));
}

Rejection Call::rejectionFor(const Attempt &Last) const {
  using enum core::Error;
  if (Link.reader().limitExceeded())
    return {413, RejectReason::TooLarge, "request body too large"};
  if (Body.malformed())
    return {400, RejectReason::Malformed, "malformed request body"};
  const core::CallOutcome Outcome = Last.report().Outcome;
  if ((CancelledBy == CancelReason::Stopping || sendByPassed()) &&
      Execution.certainlyNotRun())
    return stopRejection();
  if (CancelledBy == CancelReason::TimedOut &&
      State.Dependencies.Time.now() < Deadline)
    return {408, RejectReason::Slow, "request body not received in time"};
  // 503 instead of 504 tells the caller of a routed request that was not run
  // that it may send the request again.
  const bool NotRun = Route != nullptr && !Execution.mayHaveRun();
  if (CancelledBy == CancelReason::TimedOut || Last.Failure == DeadlineExceeded)
    return {NotRun ? 503U : 504U, RejectReason::DeadlineExceeded,
            "deadline exceeded"};
  if (Last.Failure == OrderRepeated)
    return {409, RejectReason::OrderRepeated, "Idempotency-Key already used"};
  if (!Last.Granted && Route != nullptr && Execution.mayHaveRun())
    return {BadGateway, RejectReason::BadResponse,
            "no backend server left for another attempt"};
  if (!Last.Granted && Last.Failure == QuotaExceeded)
    return {429, RejectReason::QuotaExceeded,
            "quota of the workspace exceeded"};
  if (!Last.Granted && Last.Failure == Overloaded)
    return {503, RejectReason::Overloaded, "overloaded"};
  if (Execution.mayHaveRun() && core::certainlyNotRun(Outcome))
    return {BadGateway, RejectReason::BadResponse,
            "an earlier attempt may have been run"};
  if (Outcome == core::CallOutcome::Rejected)
    return {503, RejectReason::Overloaded, "rejected by the backend server"};
  if (core::certainlyNotRun(Outcome))
    return {503, RejectReason::Unavailable, "no backend server available"};
  if (Outcome == core::CallOutcome::TimedOut)
    return {504, RejectReason::DeadlineExceeded, "deadline exceeded"};
  return {BadGateway, RejectReason::BadResponse,
          "incomplete or invalid response from the backend server"};
}

} // namespace jujubecart::callers::internal
