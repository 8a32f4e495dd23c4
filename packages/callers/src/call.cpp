#include "call.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <jujubecart/core/config_source.hpp>
#include <jujubecart/core/log.hpp>

namespace jujubecart::callers::internal {

namespace asio = boost::asio;
using std::chrono::milliseconds;

Call::Call(CallerLink &Link, ServerState &State)
    : Link(Link), State(State), Body(Link, State.Bodies) {
  Request.Id = core::newRequestId();
  Link.clearTimeout();
  Link.listen(this);
}

Call::~Call() { Link.listen(nullptr); }

core::Awaitable<bool> Call::run() {
  const core::Clock &Time = State.Dependencies.Time;
  HeadBegan = Time.now();
  Link.setTimeoutAt(HeadBegan + State.headTimeout());
  Link.setInFlight(
      CallerLink::InFlightRequest{.Id = Request.Id, .Service = {}});
  const core::HeadError Error = co_await Link.reader().readHead(Link.socket());
  ReadsHead = false;
  if (Error != core::HeadError::None)
    co_return co_await rejectHead(Error);
  ++State.Counters.Received;
  Arrival = Time.now();
  std::optional<Rejection> Problem = parseRequestHead(
      Link.reader().parser(), State.Dependencies.Profile, Time, Request);
  if (!Problem)
    Problem = admit();
  if (Problem)
    co_return co_await reject(*Problem);
  State.recordEvent("call.received", Request.Id, {}, Service->Name,
                    Key ? Key->High : 0);
  Link.setInFlight(
      CallerLink::InFlightRequest{.Id = Request.Id, .Service = Service->Name});
  if (!co_await readBody())
    co_return false;
  co_return co_await forward();
}

core::Awaitable<bool> Call::rejectHead(core::HeadError Error) {
  switch (Error) {
  case core::HeadError::Malformed:
    ++State.Counters.Received;
    co_return co_await reject({.Text = Link.reader().malformedReason()});
  case core::HeadError::TooLarge:
    ++State.Counters.Received;
    co_return co_await reject({.Status = 431,
                               .Reason = RejectReason::TooLarge,
                               .Text = "request head too large"});
  default:
    if (CancelledBy != CancelReason::TimedOut)
      co_return false;
    ++State.Counters.Received;
    co_return co_await reject({.Status = 408,
                               .Reason = RejectReason::Slow,
                               .Text = "request head not received in time"});
  }
}

std::optional<Rejection> Call::admit() {
  // Read before the configuration, which may be replaced by a later one in
  // between; the other order could take outdated keys for fresh.
  const bool KeysFresh = apiKeysAreFresh();
  Config = State.Dependencies.Config.current();
  if (Config->revision() == 0)
    return Rejection{.Status = 503,
                     .Reason = RejectReason::NotReady,
                     .Text = "no configuration available"};
  if (const auto Problem = findService(KeysFresh))
    return Problem;
  if (Request.Traits.Depth > State.Options.MaxCallDepth)
    return Rejection{.Text = "call depth above the limit"};
  if (Link.reader().limitExceeded())
    return Rejection{.Status = 413,
                     .Reason = RejectReason::TooLarge,
                     .Text = "request body too large"};
  if (Route == nullptr &&
      (Service->Kind == core::ServiceKind::Order || !Request.hasSafeMethod())) {
    if (Request.Traits.IdempotencyKey.empty())
      return Rejection{.Text = "missing Idempotency-Key"};
    Key = core::orderKey(Service->Name, Request.Traits.IdempotencyKey);
  }
  return setDeadline();
}

std::optional<Rejection> Call::findService(bool KeysFresh) {
  const Rejection NoRule{.Status = 404,
                         .Reason = RejectReason::NoRule,
                         .Text = "no rule matches host and path"};
  MaxAttempts = State.Options.MaxAttempts;
  const core::RoutingTable *Routing = Config->routing();
  if (Routing == nullptr) {
    Service = Config->route(Request.Host, Request.Target);
    return Service == nullptr ? std::optional(NoRule) : std::nullopt;
  }
  Route = Routing->find(Request.Host, Request.Target);
  if (Route == nullptr)
    return NoRule;
  if (const auto Problem = findWorkspace(KeysFresh))
    return Problem;
  MaxAttempts = Route->MaxAttempts;
  Service = Config->find(Route->service(
      core::hash64(Request.Traits.CallerRequestId, Request.Id.Value)));
  if (Service == nullptr)
    return Rejection{.Status = 503,
                     .Reason = RejectReason::Unavailable,
                     .Text = "the service has no backend server"};
  return std::nullopt;
}

bool Call::hasWorkspaces() const noexcept {
  const core::RoutingTable *Routing = Config->routing();
  return Routing != nullptr && Routing->workspaces().keysRequired();
}

std::string_view Call::workspaceName() const noexcept {
  return Workspace == nullptr ? std::string_view() : Workspace->Name;
}

// The caller sent the request before this check, so a key that was removed
// longer than the allowed time before the sending is not in the configuration.
// How long the request waits afterwards does not matter.
bool Call::apiKeysAreFresh() const {
  const core::ConfigFreshness *Freshness = State.Dependencies.Freshness;
  if (Freshness == nullptr)
    return true;
  const auto CompleteUntil = Freshness->completeUntil();
  return CompleteUntil && State.Dependencies.Time.uptime() - *CompleteUntil <=
                              State.Options.MaxKeyAge;
}

std::optional<Rejection> Call::findWorkspace(bool KeysFresh) {
  if (!hasWorkspaces())
    return std::nullopt;
  // A key that is unknown here may have been added meanwhile.
  if (!KeysFresh && !Route->Public)
    return Rejection{.Status = 503,
                     .Reason = RejectReason::KeysOutdated,
                     .Text = "API keys cannot be verified at the moment"};
  const std::string ApiKey = KeysFresh ? Request.Traits.ApiKey : "";
  if (!ApiKey.empty())
    Workspace = Config->routing()->workspaces().find(ApiKey);
  if (Workspace != nullptr || Route->Public)
    return std::nullopt;
  core::LogLine(core::LogLevel::Info, "request.unauthorized")
      .field("request", toString(Request.Id))
      .field("route", Route->Name)
      .field("key_digest",
             ApiKey.empty() ? "" : core::digestOf(ApiKey).shortText());
  return Rejection{.Status = 401,
                   .Reason = RejectReason::Unauthorized,
                   .Text = ApiKey.empty() ? "no API key, or more than one"
                                          : "unknown API key"};
}

std::optional<Rejection> Call::setDeadline() {
  Deadline = Arrival + State.Options.MaxDeadline;
  if (Request.Traits.Deadline)
    Deadline = std::min(Deadline, *Request.Traits.Deadline);
  else
    Deadline =
        std::min(Deadline, Arrival + milliseconds(Service->DefaultDeadlineMs));
  if (Route != nullptr && Route->TimeoutMs != 0)
    Deadline = std::min(Deadline, Arrival + milliseconds(Route->TimeoutMs));
  if (Route != nullptr && Route->ObjectiveMs != 0)
    Objective = Arrival + milliseconds(Route->ObjectiveMs);
  if (Deadline <= Arrival)
    return Rejection{.Status = Route == nullptr ? 504U : 503U,
                     .Reason = RejectReason::DeadlineExceeded,
                     .Text = "deadline passed on arrival"};
  updateSendBy();
  if (sendByPassed())
    return stopRejection();
  return std::nullopt;
}

core::Awaitable<bool> Call::readBody() {
  const core::Clock &Time = State.Dependencies.Time;
  if (Request.ExpectsContinue && !Link.reader().complete()) {
    constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    CurrentPhase = Phase::Writing;
    if (!co_await Link.write(asio::buffer(Continue)))
      co_return false;
    CurrentPhase = Phase::Reading;
  }
  ReadUntil = std::min(Deadline, Time.now() + State.Options.BodyTimeout);
  armTimeout();
  if (co_await Body.prefetch(State.Options.MaxBufferedBodyBytes,
                             State.Options.MaxBufferedUploadBytes))
    co_return true;
  const Attempt None(State.Dependencies.Broker, Body);
  if (CancelledBy == CancelReason::None && !Link.reader().limitExceeded() &&
      !Body.malformed())
    CancelledBy = CancelReason::CallerGone;
  if (CancelledBy == CancelReason::CallerGone ||
      CancelledBy == CancelReason::CutOff) {
    if (CancelledBy == CancelReason::CallerGone)
      recordClose();
    endWithoutResponse("");
    co_return false;
  }
  static_cast<void>(co_await reject(rejectionFor(None)));
  co_return false;
}

bool Call::keepsConnection() const noexcept {
  return !CloseAfterResponse && Request.KeepAlive && Link.reader().complete() &&
         !State.Draining && !State.Stopping;
}

void Call::logEnd(unsigned Status, std::string_view Outcome,
                  std::string_view Server) const {
  if (Route == nullptr)
    return;
  const core::TimePoint Now = State.Dependencies.Time.now();
  const auto Elapsed =
      std::chrono::duration_cast<milliseconds>(Now - Arrival).count();
  const auto Left = std::chrono::duration_cast<milliseconds>(Deadline - Now);
  core::LogLine Line(core::LogLevel::Info, "request.ended");
  if (hasWorkspaces())
    Line.field("workspace", workspaceName());
  Line.field("request", toString(Request.Id))
      .field("route", Route->Name)
      .field("service", Service == nullptr ? "" : Service->Name)
      .field("config", Config->routing()->version())
      .field("revision", Config->revision())
      .field("status", Status)
      .field("outcome", Outcome)
      .field("execution", Execution.name())
      .field("server", Server)
      .field("attempts", AttemptsSent)
      .field("elapsed_ms", Elapsed)
      .field("left_ms", Left.count());
}

// Each way to end a request without its server's response comes here, so that
// one place decides whether the response may say that nothing has run.
void Call::correctPromise(Rejection &Cause) const {
  if (!promisesTooMuch(Cause.Status, idempotent(), Execution,
                       State.Dependencies.Profile))
    return;
  Cause.Status = BadGateway;
  Cause.Reason = RejectReason::BadResponse;
}

core::Awaitable<bool> Call::reject(Rejection Cause) {
  correctPromise(Cause);
  CurrentPhase = Phase::Writing;
  logEnd(Cause.Status, Cause.Text,
         ExcludedServers.empty() ? "" : ExcludedServers.back());
  // After these errors the start of the next request in the caller's byte
  // stream is unknown.
  if (Cause.Reason == RejectReason::Malformed ||
      Cause.Reason == RejectReason::TooLarge ||
      Cause.Reason == RejectReason::Slow)
    CloseAfterResponse = true;
  const bool Keep = keepsConnection();
  State.Counters.countRejected(Cause.Reason);
  State.recordEvent("call.rejected", Request.Id, {}, toString(Cause.Reason),
                    Key ? Key->High : 0);
  const std::string Response =
      serializeLocalResponse({.Refusal = {.Id = Request.Id,
                                          .Status = Cause.Status,
                                          .NotRun = Execution.certainlyNotRun(),
                                          .RetryAfter = retryAfter(Cause)},
                              .Close = !Keep,
                              .IsHead = Request.isHead(),
                              .Http10 = Request.Http10,
                              .Text = Cause.Text},
                             State.Dependencies.Profile);
  const bool Written = co_await Link.write(asio::buffer(Response));
  LingerNeeded = Written && !Keep;
  co_return Written &&Keep;
}

void Call::onTimeout() {
  switch (CurrentPhase) {
  case Phase::Reading:
    // A configuration may have raised the timeout of heads meanwhile.
    if (const core::TimePoint Until = HeadBegan + State.headTimeout();
        ReadsHead && State.Dependencies.Time.now() < Until)
      return Link.setTimeoutAt(Until);
    CancelledBy = CancelReason::TimedOut;
    Link.cancelRead();
    return;
  case Phase::Attempting:
    onAttemptingTimeout();
    return;
  case Phase::Writing:
    Link.reset();
    return;
  }
}

void Call::onAttemptingTimeout() {
  const core::TimePoint Now = State.Dependencies.Time.now();
  if (Now >= Deadline)
    return cancelAttempts(CancelReason::TimedOut);
  if (sendByPassed() && waitsForSlot())
    return endSlotWait();
  if (Now >= AttemptTimeoutAt)
    return onAttemptTimeout();
  armTimeout();
}

void Call::onCutOff() {
  if (Service != nullptr && CurrentPhase != Phase::Writing &&
      !sentAttemptPending())
    return cancelAttempts(CancelReason::Stopping);
  cancelAttempts(CancelReason::CutOff);
  Link.reset();
}

} // namespace jujubecart::callers::internal
