#include "call.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <jujubecart/core/config_source.hpp>
#include <jujubecart/core/log.hpp>

namespace jujubecart::callers::internal {

namespace asio = boost::asio;
using std::chrono::milliseconds;

Call::Call(CallerLink &Link, ServerState &State)
    : Link(Link), State(State), Body(Link) {
  What.Id = core::newRequestId();
  Link.clearTimeout();
  Link.listen(this);
}

Call::~Call() { Link.listen(nullptr); }

core::Awaitable<bool> Call::run() {
  const core::Clock &Time = State.Uses.Time;
  Link.setDue(Time.now() + State.headTimeout());
  Link.setCurrent(CallerLink::Current{.Id = What.Id, .Service = {}});
  const core::HeadError Error = co_await Link.reader().readHead(Link.socket());
  if (Error != core::HeadError::None)
    co_return co_await rejectHead(Error);
  ++State.Counters.Received;
  Arrival = Time.now();
  std::optional<Fault> Problem =
      interpret(Link.reader().parser(), State.Uses.Profile, Time, What);
  if (!Problem)
    Problem = admit();
  if (Problem)
    co_return co_await reject(*Problem, true);
  State.event("call.received", What.Id, {}, Service->Name, Key ? Key->High : 0);
  Link.setCurrent(CallerLink::Current{.Id = What.Id, .Service = Service->Name});
  if (!co_await readBody())
    co_return false;
  co_return co_await forward();
}

core::Awaitable<bool> Call::rejectHead(core::HeadError Error) {
  switch (Error) {
  case core::HeadError::Malformed:
    ++State.Counters.Received;
    co_return co_await reject({.Text = Link.reader().fault()}, true);
  case core::HeadError::TooLarge:
    ++State.Counters.Received;
    co_return co_await reject({.Status = 431,
                               .Reason = RejectReason::TooLarge,
                               .Text = "request head too large"},
                              true);
  default:
    if (Stopped != StopReason::TimedOut)
      co_return false;
    ++State.Counters.Received;
    co_return co_await reject({.Status = 408,
                               .Reason = RejectReason::Slow,
                               .Text = "request head not received in time"},
                              true);
  }
}

std::optional<Fault> Call::admit() {
  Config = State.Uses.Config.current();
  if (Config->revision() == 0)
    return Fault{.Status = 503,
                 .Reason = RejectReason::NotReady,
                 .Text = "no configuration available"};
  if (const auto Problem = findService())
    return Problem;
  if (What.Traits.Depth > State.Options.MaxCallDepth)
    return Fault{.Text = "call depth above the limit"};
  if (Link.reader().limitExceeded())
    return Fault{.Status = 413,
                 .Reason = RejectReason::TooLarge,
                 .Text = "request body too large"};
  if (Route == nullptr &&
      (Service->Kind == core::ServiceKind::Order || !What.hasSafeMethod())) {
    if (What.Traits.IdempotencyKey.empty())
      return Fault{.Text = "missing Idempotency-Key"};
    Key = core::orderKey(Service->Name, What.Traits.IdempotencyKey);
  }
  return setDeadline();
}

std::optional<Fault> Call::findService() {
  const Fault NoRule{.Status = 404,
                     .Reason = RejectReason::NoRule,
                     .Text = "no rule matches host and path"};
  MaxAttempts = State.Options.MaxAttempts;
  const core::RoutingTable *Routing = Config->routing();
  if (Routing == nullptr) {
    Service = Config->route(What.Host, What.Target);
    return Service == nullptr ? std::optional(NoRule) : std::nullopt;
  }
  Route = Routing->find(What.Host, What.Target);
  if (Route == nullptr)
    return NoRule;
  MaxAttempts = Route->MaxAttempts;
  Service = Config->find(
      Route->service(core::hash64(What.Traits.CallerRequestId, What.Id.Value)));
  if (Service == nullptr)
    return Fault{.Status = 503,
                 .Reason = RejectReason::Unavailable,
                 .Text = "the service has no backend server"};
  return std::nullopt;
}

std::optional<Fault> Call::setDeadline() {
  Deadline = Arrival + State.Options.MaxDeadline;
  if (What.Traits.Deadline)
    Deadline = std::min(Deadline, *What.Traits.Deadline);
  else
    Deadline =
        std::min(Deadline, Arrival + milliseconds(Service->DefaultDeadlineMs));
  if (Route != nullptr && Route->TimeoutMs != 0)
    Deadline = std::min(Deadline, Arrival + milliseconds(Route->TimeoutMs));
  if (Route != nullptr && Route->ObjectiveMs != 0)
    Objective = Arrival + milliseconds(Route->ObjectiveMs);
  if (Deadline <= Arrival)
    return Fault{.Status = Route == nullptr ? 504U : 503U,
                 .Reason = RejectReason::DeadlineExceeded,
                 .Text = "deadline passed on arrival"};
  return std::nullopt;
}

core::Awaitable<bool> Call::readBody() {
  const core::Clock &Time = State.Uses.Time;
  if (What.ExpectsContinue && !Link.reader().complete()) {
    constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    Now = Phase::Writing;
    if (!co_await Link.write(asio::buffer(Continue)))
      co_return false;
    Now = Phase::Reading;
  }
  Link.setDue(std::min(Deadline, Time.now() + State.Options.BodyTimeout));
  if (co_await Body.prefetch(State.Options.BufferedBody))
    co_return true;
  const Attempt None(State.Uses.Broker, Body);
  if (Stopped == StopReason::None && !Link.reader().limitExceeded() &&
      !Body.malformed())
    Stopped = StopReason::CallerGone;
  if (Stopped == StopReason::CallerGone || Stopped == StopReason::CutOff) {
    State.Counters.reject(RejectReason::CallerGone);
    co_return false;
  }
  static_cast<void>(co_await reject(explain(None), true));
  co_return false;
}

bool Call::keepsConnection() const noexcept {
  return !Close && What.KeepAlive && Link.reader().complete() &&
         !State.Draining && !State.Stopping;
}

void Call::logEnd(unsigned Status, std::string_view Outcome,
                  std::string_view Server) const {
  if (Route == nullptr)
    return;
  const core::TimePoint Now = State.Uses.Time.now();
  const auto Elapsed =
      std::chrono::duration_cast<milliseconds>(Now - Arrival).count();
  const auto Left = std::chrono::duration_cast<milliseconds>(Deadline - Now);
  core::LogLine(core::LogLevel::Info, "request.ended")
      .field("request", toString(What.Id))
      .field("route", Route->Name)
      .field("service", Service == nullptr ? "" : Service->Name)
      .field("config", Config->routing()->version())
      .field("revision", Config->revision())
      .field("status", Status)
      .field("outcome", Outcome)
      .field("server", Server)
      .field("attempts", Sent)
      .field("elapsed_ms", Elapsed)
      .field("left_ms", Left.count());
}

core::Awaitable<bool> Call::reject(Fault Why, bool NotRun) {
  Now = Phase::Writing;
  logEnd(Why.Status, Why.Text, Excluded.empty() ? "" : Excluded.back());
  // After these the position in the caller's stream is in doubt.
  if (Why.Reason == RejectReason::Malformed ||
      Why.Reason == RejectReason::TooLarge || Why.Reason == RejectReason::Slow)
    Close = true;
  const bool Keep = keepsConnection();
  State.Counters.reject(Why.Reason);
  State.event("call.rejected", What.Id, {}, toString(Why.Reason),
              Key ? Key->High : 0);
  milliseconds RetryAfter = State.Options.RetryAfter;
  if (Advice && Advice->RetryAt)
    RetryAfter = std::max(milliseconds(0),
                          std::chrono::ceil<milliseconds>(
                              *Advice->RetryAt - State.Uses.Time.now()));
  const std::string Answer = ownAnswer({.What = {.Id = What.Id,
                                                 .Status = Why.Status,
                                                 .NotRun = NotRun,
                                                 .RetryAfter = RetryAfter},
                                        .Close = !Keep,
                                        .IsHead = What.isHead(),
                                        .Http10 = What.Http10,
                                        .Text = Why.Text},
                                       State.Uses.Profile);
  const bool Written = co_await Link.write(asio::buffer(Answer));
  Linger = Written && !Keep;
  co_return Written &&Keep;
}

void Call::onDue() {
  switch (Now) {
  case Phase::Reading:
    Stopped = StopReason::TimedOut;
    Link.cancelRead();
    return;
  case Phase::Attempting:
    if (State.Uses.Time.now() < Deadline)
      abortSilentAttempt();
    else
      cancelAttempts(StopReason::TimedOut);
    return;
  case Phase::Writing:
    Link.reset();
    return;
  }
}

void Call::onDeparted() {
  if (Now == Phase::Attempting)
    cancelAttempts(StopReason::CallerGone);
}

void Call::onCutOff() {
  cancelAttempts(StopReason::CutOff);
  Link.reset();
}

} // namespace jujubecart::callers::internal
