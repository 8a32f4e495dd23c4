#include "call.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <jujubecart/core/log.hpp>

namespace jujubecart::callers::internal {

namespace asio = boost::asio;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

bool Call::mayHedge() const {
  const bool Replayable = Request.Body == core::BackendRequest::Framing::None ||
                          Body.fullyBuffered();
  return (Route != nullptr || State.Options.HedgeDelay.count() > 0) &&
         idempotent() && Replayable && AttemptsSent == 0 &&
         allowsAnotherAttempt();
}

void Call::logHedge(const Attempt &First) const {
  if (Route == nullptr)
    return;
  core::LogLine(core::LogLevel::Info, "request.hedged")
      .field("request", toString(Request.Id))
      .field("server", First.Grant.Server.Id)
      .field("elapsed_ms",
             std::chrono::duration_cast<std::chrono::milliseconds>(
                 State.Dependencies.Time.now() - Arrival)
                 .count());
}

void Call::startAttempt(const AttemptPtr &Current, asio::steady_timer &Wake) {
  ActiveAttempts.push_back(Current);
  asio::co_spawn(Wake.get_executor(), runAttempt(Current),
                 [Current, &Wake](const std::exception_ptr &Failure) {
                   if (Failure)
                     Current->Failure =
                         core::make_error_code(core::Error::OutcomeUnknown);
                   Current->Done = true;
                   Wake.cancel();
                 });
}

// Without routes the hedge is due after a fixed delay; for a routed request the
// dispatcher states the time with the grant.
core::Awaitable<void> Call::waitForHedge(const Attempt &First,
                                         asio::steady_timer &Wake) {
  const core::Clock &Time = State.Dependencies.Time;
  core::TimePoint HedgeAt = Time.now() + State.Options.HedgeDelay;
  if (Route != nullptr) {
    Wake.expires_at(core::TimePoint::max());
    while (!First.Done && !First.Granted)
      co_await Wake.async_wait(UseTuple);
    HedgeAt = First.Grant.HedgeAt;
  }
  Wake.expires_at(HedgeAt);
  while (!First.Done && Time.now() < HedgeAt)
    co_await Wake.async_wait(UseTuple);
}

// Starts a second attempt if the first one is pending when the hedge is due.
// Returns the first usable response and aborts the other attempt.
core::Awaitable<Call::AttemptPtr> Call::runHedgedAttempts() {
  asio::steady_timer Wake(co_await asio::this_coro::executor);
  std::vector<AttemptPtr> Started{
      std::make_shared<Attempt>(State.Dependencies.Broker, Body)};
  GrantWake = &Wake;
  startAttempt(Started.front(), Wake);
  const Attempt &First = *Started.front();
  co_await waitForHedge(First, Wake);
  if (!First.Done && First.Exchange && allowsAnotherAttempt() &&
      State.Dependencies.Retries.tryTake(Service->Name)) {
    ++State.Counters.Hedges;
    State.recordEvent("call.retried", Request.Id, First.Grant.Server.Id,
                      "hedged");
    logHedge(First);
    ExcludedServers.push_back(First.Grant.Server.Id);
    Started.push_back(
        std::make_shared<Attempt>(State.Dependencies.Broker, Body));
    startAttempt(Started.back(), Wake);
  }
  const auto IsDone = [](const AttemptPtr &Each) { return Each->Done; };
  const auto IsWinner = [](const AttemptPtr &Each) {
    return Each->Done && Each->hasUsableResponse();
  };
  const auto IsDecided = [&] {
    return std::any_of(Started.begin(), Started.end(), IsWinner) ||
           std::all_of(Started.begin(), Started.end(), IsDone);
  };
  Wake.expires_at(core::TimePoint::max());
  while (!IsDecided())
    co_await Wake.async_wait(UseTuple);
  const auto Found = std::find_if(Started.begin(), Started.end(), IsWinner);
  const AttemptPtr Winner = Found == Started.end() ? Started.back() : *Found;
  // A first attempt that took longer than its hedge is reported as timed out,
  // since its server may hang.
  for (const AttemptPtr &Each : Started)
    if (Each != Winner)
      Each->abort(Each == Started.front() ? core::AbortReason::TimedOut
                                          : core::AbortReason::Cancelled);
  // The coroutines of the attempts refer to this call and must not outlive it.
  if (!std::all_of(Started.begin(), Started.end(), IsDone))
    State.Dependencies.Broker.cancel(Request.Id);
  while (!std::all_of(Started.begin(), Started.end(), IsDone))
    co_await Wake.async_wait(UseTuple);
  for (const AttemptPtr &Each : Started)
    if (Each != Winner)
      Execution = Execution.afterAttempt(Each->report().Outcome);
  ActiveAttempts.clear();
  GrantWake = nullptr;
  co_return Winner;
}

} // namespace jujubecart::callers::internal
