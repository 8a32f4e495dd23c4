#include "service_claims.hpp"

#include <jujubecart/core/log.hpp>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>

namespace jujubecart::store::internal {

namespace asio = boost::asio;
using namespace boost::asio::experimental::awaitable_operators;
using core::Error;
using core::make_error_code;
using std::chrono::milliseconds;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

// A deadline further away than this does not extend the life of a claim any
// more. This is the highest default deadline that a ticket may set.
constexpr std::chrono::seconds MaxDeadline{600};

// A release that could not be written for this long is dropped; the claim then
// stays until it expires.
constexpr std::chrono::seconds ReleaseLifetime{600};

// Short, because claims that arrive during the backoff wait for the next
// attempt.
constexpr milliseconds InitialBackoff{10};
constexpr milliseconds MaxBackoff{500};

std::uint64_t unixSeconds(core::WallTime Instant) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::seconds>(
          Instant.time_since_epoch())
          .count());
}

} // namespace

std::uint64_t ServiceClaims::nowS() const {
  return unixSeconds(Env.Time.wallNow());
}

// Retention starts at the request's deadline, because the request may still be
// run until then.
std::uint64_t
ServiceClaims::computeExpiryS(const ClaimRequest &Requested) const {
  const auto RunUntil =
      std::clamp(Requested.Deadline, Env.Time.now(),
                 Env.Time.now() + core::TimePoint::duration(MaxDeadline));
  return unixSeconds(core::toWall(Env.Time, RunUntil)) + 1 +
         Requested.RetentionS;
}

void ServiceClaims::complete(Pending &Item, std::error_code Code) {
  if (Item.Outcome)
    return;
  Item.Outcome = Code;
  Item.Completion.cancel();
}

core::Result<void> ServiceClaims::claimInMemory(const ClaimRecord &Record) {
  const auto Holder = MemoryTable.holder(Record.Key, nowS());
  if (Holder && *Holder != Record.Request)
    return make_error_code(Error::OrderRepeated);
  if (!Holder && MemoryTable.sweepAndCheckFull(nowS()))
    return make_error_code(Error::Overloaded);
  MemoryTable.apply(Record);
  return {};
}

core::Awaitable<void> ServiceClaims::waitForCompletion(PendingPointer Item) {
  if (!Item->Outcome)
    co_await Item->Completion.async_wait(AsTuple);
}

core::Awaitable<core::Result<void>>
ServiceClaims::claim(ClaimRequest Requested) {
  const ClaimRecord Record{.Key = Requested.Key,
                           .Request = Requested.Request,
                           .ExpiresS = computeExpiryS(Requested),
                           .Released = false};
  if (!Requested.Durable)
    co_return claimInMemory(Record);
  if (Queue.size() >= Settings.MaxQueueLength)
    co_return make_error_code(Error::Overloaded);
  const auto Item = std::make_shared<Pending>(
      ServiceStrand, Record, Requested.Deadline, ++LastArrival);
  enqueue(Item);
  co_await (waitForCompletion(Item) ||
            Env.Sleeper.sleepUntil(Requested.Deadline));
  complete(*Item, make_error_code(Error::Unavailable));
  if (*Item->Outcome)
    co_return *Item->Outcome;
  co_return core::Result<void>();
}

void ServiceClaims::release(core::OrderKey Key, core::RequestId Request) {
  asio::post(ServiceStrand, [Self = shared_from_this(), Key, Request] {
    Self->queueRelease(Key, Request);
  });
}

void ServiceClaims::queueRelease(core::OrderKey Key, core::RequestId Request) {
  const ClaimRecord Record{
      .Key = Key, .Request = Request, .ExpiresS = nowS(), .Released = true};
  MemoryTable.apply(Record);
  if (Queue.size() >= 2 * Settings.MaxQueueLength) {
    core::LogLine(core::LogLevel::Warning, "claims.release-dropped")
        .field("service", Name)
        .field("request", core::toString(Request));
    return;
  }
  enqueue(std::make_shared<Pending>(
      ServiceStrand, Record, Env.Time.now() + ReleaseLifetime, ++LastArrival));
}

void ServiceClaims::enqueue(PendingPointer Item) {
  Queue.push_back(std::move(Item));
  if (LoopRunning)
    return;
  LoopRunning = true;
  asio::co_spawn(
      ServiceStrand, runBatches(),
      [Self = shared_from_this()](const std::exception_ptr &Exception) {
        if (Exception)
          Self->LoopRunning = false;
      });
}

core::Awaitable<void> ServiceClaims::runBatches() {
  while (!Queue.empty())
    co_await processBatch();
  LoopRunning = false;
}

core::Awaitable<void> ServiceClaims::processBatch() {
  if (Env.Time.now() < NextBatch)
    co_await Env.Sleeper.sleepUntil(NextBatch);
  failExpired();
  if (ViewStale && !co_await refresh())
    co_return;
  auto Batch = takeBatch();
  if (!Batch.empty())
    co_await writeBatch(std::move(Batch));
}

core::Awaitable<bool> ServiceClaims::refresh() {
  const std::uint64_t ArrivedBefore = LastArrival;
  NextBatch = Env.Time.now() + Settings.MinBatchInterval;
  const auto Refreshed =
      co_await View.refresh(Env.Time.now() + Settings.OperationTimeout, nowS());
  if (Refreshed.has_error()) {
    failQueuedClaims();
    backOff();
    co_return false;
  }
  VerifiedArrival = ArrivedBefore;
  ViewStale = false;
  Failures = 0;
  // The head has a new version, so the append with unknown outcome has either
  // taken effect and is part of the view, or never will.
  if (UncertainVersion && *UncertainVersion != View.version())
    UncertainVersion.reset();
  co_return true;
}

void ServiceClaims::failExpired() {
  const auto Now = Env.Time.now();
  std::erase_if(Queue, [Now](const PendingPointer &Item) {
    if (Item->Deadline <= Now)
      complete(*Item, make_error_code(Error::Unavailable));
    return Item->Outcome.has_value();
  });
}

// Another VM may have released or claimed the key since this view was read.
// Refusing a claim or discarding a release therefore requires a view that was
// refreshed after the item arrived. A claim that is written needs no refresh:
// the compare-and-swap fails if the view is outdated.
ServiceClaims::Action
ServiceClaims::chooseReleaseAction(const Pending &Item) const {
  const auto Holder = View.table().holder(Item.Record.Key, nowS());
  if (Holder == Item.Record.Request)
    return Action::Write;
  // A claim of the key may be part of the append with unknown outcome. Writing
  // the release replaces the version that this append expects, so the append
  // cannot take effect any more.
  if (UncertainVersion)
    return Action::Write;
  return Item.Arrival <= VerifiedArrival ? Action::Done : Action::Verify;
}

ServiceClaims::Action ServiceClaims::chooseAction(Pending &Item) {
  if (Item.Record.Released)
    return chooseReleaseAction(Item);
  const auto Holder = View.table().holder(Item.Record.Key, nowS());
  if (!Holder && !View.table().sweepAndCheckFull(nowS()))
    return Action::Write;
  if (Holder && *Holder != Item.Record.Request &&
      Item.Arrival > VerifiedArrival)
    return Action::Verify;
  if (!Holder)
    complete(Item, make_error_code(Error::Overloaded));
  else if (*Holder == Item.Record.Request)
    complete(Item, {});
  else
    complete(Item, make_error_code(Error::OrderRepeated));
  return Action::Done;
}

std::vector<ServiceClaims::PendingPointer> ServiceClaims::takeBatch() {
  std::vector<PendingPointer> Batch;
  std::deque<PendingPointer> Remaining;
  std::set<core::OrderKey> KeysInUse;
  for (PendingPointer &Item : Queue) {
    if (Batch.size() >= Settings.MaxBatchSize ||
        KeysInUse.count(Item->Record.Key) != 0) {
      Remaining.push_back(std::move(Item));
      continue;
    }
    switch (chooseAction(*Item)) {
    case Action::Write:
      KeysInUse.insert(Item->Record.Key);
      Batch.push_back(std::move(Item));
      break;
    case Action::Verify:
      KeysInUse.insert(Item->Record.Key);
      ViewStale = true;
      Remaining.push_back(std::move(Item));
      break;
    case Action::Done:
      break;
    }
  }
  Queue = std::move(Remaining);
  return Batch;
}

core::Awaitable<void>
ServiceClaims::writeBatch(std::vector<PendingPointer> Batch) {
  std::vector<ClaimRecord> Records;
  Records.reserve(Batch.size());
  for (const PendingPointer &Item : Batch)
    Records.push_back(Item->Record);
  const std::uint64_t ArrivedBefore = LastArrival;
  NextBatch = Env.Time.now() + Settings.MinBatchInterval;
  const auto Written =
      co_await View.append(std::move(Records), Env.Random(),
                           Env.Time.now() + Settings.OperationTimeout, nowS());
  if (Written.has_value())
    VerifiedArrival = ArrivedBefore;
  handleWriteResult(Batch, Written);
}

void ServiceClaims::handleWriteResult(const std::vector<PendingPointer> &Batch,
                                      const core::Result<void> &Outcome) {
  if (Outcome.has_value()) {
    UncertainVersion.reset();
    Failures = 0;
    for (const PendingPointer &Item : Batch)
      complete(*Item, {});
    return;
  }
  ViewStale = true;
  if (Outcome.error() == Error::OutcomeUnknown)
    UncertainVersion = View.version();
  const bool Retry = Outcome.error() == Error::OutcomeUnknown ||
                     Outcome.error() == Error::Conflict;
  if (!Retry) {
    for (const PendingPointer &Item : Batch)
      if (!Item->Record.Released)
        complete(*Item, make_error_code(Error::Unavailable));
    backOff();
  }
  requeue(Batch, !Retry);
}

void ServiceClaims::requeue(const std::vector<PendingPointer> &Batch,
                            bool ReleasesOnly) {
  for (auto Item = Batch.rbegin(); Item != Batch.rend(); ++Item)
    if (!ReleasesOnly || (*Item)->Record.Released)
      Queue.push_front(*Item);
}

void ServiceClaims::failQueuedClaims() {
  std::erase_if(Queue, [](const PendingPointer &Item) {
    if (Item->Record.Released)
      return false;
    complete(*Item, make_error_code(Error::Unavailable));
    return true;
  });
}

void ServiceClaims::backOff() {
  const auto MaxDelay =
      std::min(MaxBackoff, InitialBackoff * (1U << std::min(Failures, 6U)));
  ++Failures;
  const auto Half = static_cast<std::uint64_t>(MaxDelay.count() / 2);
  NextBatch = Env.Time.now() + milliseconds(Half + Env.Random() % Half);
  core::LogLine(core::LogLevel::Warning, "claims.store-failed")
      .field("service", Name)
      .field("failures", Failures);
}

} // namespace jujubecart::store::internal
