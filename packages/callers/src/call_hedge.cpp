#include "call.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jujubecart::callers::internal {

namespace asio = boost::asio;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

bool Call::mayHedge() const {
  const bool Replayable =
      What.Body == core::BackendRequest::Framing::None || Body.buffered();
  return State.Options.HedgeDelay.count() > 0 && idempotent() && Replayable &&
         Sent == 0 && mayRepeat();
}

void Call::startAttempt(const AttemptPtr &Which, asio::steady_timer &Wake) {
  Active.push_back(Which);
  asio::co_spawn(Wake.get_executor(), runAttempt(Which),
                 [Which, &Wake](const std::exception_ptr &Failure) {
                   if (Failure)
                     Which->Failure =
                         core::make_error_code(core::Error::OutcomeUnknown);
                   Which->Done = true;
                   Wake.cancel();
                 });
}

core::Awaitable<Call::AttemptPtr> Call::race() {
  asio::steady_timer Wake(co_await asio::this_coro::executor);
  std::vector<AttemptPtr> Started{
      std::make_shared<Attempt>(State.Uses.Broker, Body)};
  startAttempt(Started.front(), Wake);
  Wake.expires_after(State.Options.HedgeDelay);
  co_await Wake.async_wait(UseTuple);
  const Attempt &First = *Started.front();
  if (!First.Done && First.Exchange && mayRepeat() &&
      State.Uses.Retries.tryTake()) {
    ++State.Counters.Hedges;
    State.event("call.retried", What.Id, First.Grant.Server.Id, "hedged");
    Excluded.push_back(First.Grant.Server.Id);
    Started.push_back(std::make_shared<Attempt>(State.Uses.Broker, Body));
    startAttempt(Started.back(), Wake);
  }
  const auto IsDone = [](const AttemptPtr &Each) { return Each->Done; };
  const auto IsWinner = [](const AttemptPtr &Each) {
    return Each->Done && Each->ready();
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
  for (const AttemptPtr &Each : Started)
    if (Each != Winner)
      Each->abort(core::AbortReason::Cancelled);
  // Attempts refer to this call, so none may outlive it.
  if (!std::all_of(Started.begin(), Started.end(), IsDone))
    State.Uses.Broker.cancel(What.Id);
  while (!std::all_of(Started.begin(), Started.end(), IsDone))
    co_await Wake.async_wait(UseTuple);
  for (const AttemptPtr &Each : Started)
    if (Each != Winner)
      MaybeRun = MaybeRun || !core::certainlyNotRun(Each->report().Outcome);
  Active.clear();
  co_return Winner;
}

} // namespace jujubecart::callers::internal
