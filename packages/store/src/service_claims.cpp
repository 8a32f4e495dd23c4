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

// A deadline further away does not extend the life of a claim any more; it is
// the highest default deadline that a ticket may set.
constexpr std::chrono::seconds MaxDeadline{600};

// A release that cannot be written for this long is given up: the claim then
// stays until it expires.
constexpr std::chrono::seconds ReleaseLifetime{600};

// Short, because claims that arrive meanwhile wait for the next attempt.
constexpr milliseconds FirstBackoff{10};
constexpr milliseconds LongestBackoff{500};

std::uint64_t unixSeconds(core::WallTime Instant) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::seconds>(
          Instant.time_since_epoch())
          .count());
}

} // namespace

std::uint64_t ServiceClaims::nowS() const {
  return unixSeconds(Parts.Time.wallNow());
}

// Retention starts at the request's deadline: until then it may still be run.
std::uint64_t ServiceClaims::expiryOf(const Claim &Asked) const {
  const auto Last =
      std::clamp(Asked.Deadline, Parts.Time.now(),
                 Parts.Time.now() + core::TimePoint::duration(MaxDeadline));
  return unixSeconds(core::toWall(Parts.Time, Last)) + 1 + Asked.RetentionS;
}

void ServiceClaims::answer(Pending &Item, std::error_code Code) {
  if (Item.Answer)
    return;
  Item.Answer = Code;
  Item.Signal.cancel();
}

core::Result<void> ServiceClaims::claimInMemory(const ClaimRecord &Record) {
  const auto Holder = Memory.holder(Record.Key, nowS());
  if (Holder && *Holder != Record.Request)
    return make_error_code(Error::OrderRepeated);
  if (!Holder && Memory.full(nowS()))
    return make_error_code(Error::Overloaded);
  Memory.apply(Record);
  return {};
}

core::Awaitable<void> ServiceClaims::wait(PendingPointer Item) {
  if (!Item->Answer)
    co_await Item->Signal.async_wait(AsTuple);
}

core::Awaitable<core::Result<void>> ServiceClaims::claim(Claim Asked) {
  const ClaimRecord Record{.Key = Asked.Key,
                           .Request = Asked.Request,
                           .ExpiresS = expiryOf(Asked),
                           .Released = false};
  if (!Asked.Durable)
    co_return claimInMemory(Record);
  if (Queue.size() >= Settings.MaxQueue)
    co_return make_error_code(Error::Overloaded);
  const auto Item =
      std::make_shared<Pending>(Serial, Record, Asked.Deadline, ++Arrivals);
  enqueue(Item);
  co_await (wait(Item) || Parts.Delays.sleepUntil(Asked.Deadline));
  answer(*Item, make_error_code(Error::Unavailable));
  if (*Item->Answer)
    co_return *Item->Answer;
  co_return core::Result<void>();
}

void ServiceClaims::release(core::OrderKey Key, core::RequestId Request) {
  asio::post(Serial, [Self = shared_from_this(), Key, Request] {
    Self->queueRelease(Key, Request);
  });
}

void ServiceClaims::queueRelease(core::OrderKey Key, core::RequestId Request) {
  const ClaimRecord Record{
      .Key = Key, .Request = Request, .ExpiresS = nowS(), .Released = true};
  Memory.apply(Record);
  if (Queue.size() >= 2 * Settings.MaxQueue) {
    core::LogLine(core::LogLevel::Warning, "claims.release-dropped")
        .field("service", Name)
        .field("request", core::toString(Request));
    return;
  }
  enqueue(std::make_shared<Pending>(
      Serial, Record, Parts.Time.now() + ReleaseLifetime, ++Arrivals));
}

void ServiceClaims::enqueue(PendingPointer Item) {
  Queue.push_back(std::move(Item));
  if (Running)
    return;
  Running = true;
  asio::co_spawn(Serial, run(),
                 [Self = shared_from_this()](const std::exception_ptr &Thrown) {
                   if (Thrown)
                     Self->Running = false;
                 });
}

core::Awaitable<void> ServiceClaims::run() {
  while (!Queue.empty())
    co_await step();
  Running = false;
}

core::Awaitable<void> ServiceClaims::step() {
  if (Parts.Time.now() < NextBatch)
    co_await Parts.Delays.sleepUntil(NextBatch);
  dropExpired();
  if (Stale && !co_await refresh())
    co_return;
  auto Batch = takeBatch();
  if (!Batch.empty())
    co_await write(std::move(Batch));
}

core::Awaitable<bool> ServiceClaims::refresh() {
  const std::uint64_t Before = Arrivals;
  NextBatch = Parts.Time.now() + Settings.BatchInterval;
  const auto Refreshed = co_await View.refresh(
      Parts.Time.now() + Settings.OperationTimeout, nowS());
  if (Refreshed.has_error()) {
    failClaims();
    backOff();
    co_return false;
  }
  Verified = Before;
  Stale = false;
  Failures = 0;
  // The head has moved on, so the uncertain write can not take effect any
  // more unless the view contains it already.
  if (Uncertain && *Uncertain != View.version())
    Uncertain.reset();
  co_return true;
}

void ServiceClaims::dropExpired() {
  const auto Now = Parts.Time.now();
  std::erase_if(Queue, [Now](const PendingPointer &Item) {
    if (Item->Deadline <= Now)
      answer(*Item, make_error_code(Error::Unavailable));
    return Item->Answer.has_value();
  });
}

// Another VM may have released or claimed the key since this view was read.
// Refusals and dropped releases therefore need a view that was confirmed after
// the request arrived; claims are confirmed by the compare-and-swap itself.
ServiceClaims::Verdict ServiceClaims::judgeRelease(const Pending &Item) const {
  const auto Holder = View.table().holder(Item.Record.Key, nowS());
  if (Holder == Item.Record.Request)
    return Verdict::Write;
  // The release takes the version that the uncertain claim expects.
  if (Uncertain)
    return Verdict::Write;
  return Item.Arrival <= Verified ? Verdict::Done : Verdict::Verify;
}

ServiceClaims::Verdict ServiceClaims::judge(Pending &Item) {
  if (Item.Record.Released)
    return judgeRelease(Item);
  const auto Holder = View.table().holder(Item.Record.Key, nowS());
  if (!Holder && !View.table().full(nowS()))
    return Verdict::Write;
  if (Holder && *Holder != Item.Record.Request && Item.Arrival > Verified)
    return Verdict::Verify;
  if (!Holder)
    answer(Item, make_error_code(Error::Overloaded));
  else if (*Holder == Item.Record.Request)
    answer(Item, {});
  else
    answer(Item, make_error_code(Error::OrderRepeated));
  return Verdict::Done;
}

std::vector<ServiceClaims::PendingPointer> ServiceClaims::takeBatch() {
  std::vector<PendingPointer> Batch;
  std::deque<PendingPointer> Rest;
  std::set<core::OrderKey> Touched;
  for (PendingPointer &Item : Queue) {
    if (Batch.size() >= Settings.MaxBatch ||
        Touched.count(Item->Record.Key) != 0) {
      Rest.push_back(std::move(Item));
      continue;
    }
    switch (judge(*Item)) {
    case Verdict::Write:
      Touched.insert(Item->Record.Key);
      Batch.push_back(std::move(Item));
      break;
    case Verdict::Verify:
      Touched.insert(Item->Record.Key);
      Stale = true;
      Rest.push_back(std::move(Item));
      break;
    case Verdict::Done:
      break;
    }
  }
  Queue = std::move(Rest);
  return Batch;
}

core::Awaitable<void> ServiceClaims::write(std::vector<PendingPointer> Batch) {
  std::vector<ClaimRecord> Records;
  Records.reserve(Batch.size());
  for (const PendingPointer &Item : Batch)
    Records.push_back(Item->Record);
  const std::uint64_t Before = Arrivals;
  NextBatch = Parts.Time.now() + Settings.BatchInterval;
  const auto Outcome = co_await View.append(
      std::move(Records), Parts.Random(),
      Parts.Time.now() + Settings.OperationTimeout, nowS());
  if (Outcome.has_value())
    Verified = Before;
  written(Batch, Outcome);
}

void ServiceClaims::written(const std::vector<PendingPointer> &Batch,
                            const core::Result<void> &Outcome) {
  if (Outcome.has_value()) {
    Uncertain.reset();
    Failures = 0;
    for (const PendingPointer &Item : Batch)
      answer(*Item, {});
    return;
  }
  Stale = true;
  if (Outcome.error() == Error::OutcomeUnknown)
    Uncertain = View.version();
  const bool Retry = Outcome.error() == Error::OutcomeUnknown ||
                     Outcome.error() == Error::Conflict;
  if (!Retry) {
    for (const PendingPointer &Item : Batch)
      if (!Item->Record.Released)
        answer(*Item, make_error_code(Error::Unavailable));
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

void ServiceClaims::failClaims() {
  std::erase_if(Queue, [](const PendingPointer &Item) {
    if (Item->Record.Released)
      return false;
    answer(*Item, make_error_code(Error::Unavailable));
    return true;
  });
}

void ServiceClaims::backOff() {
  const auto Longest =
      std::min(LongestBackoff, FirstBackoff * (1U << std::min(Failures, 6U)));
  ++Failures;
  const auto Half = static_cast<std::uint64_t>(Longest.count() / 2);
  NextBatch = Parts.Time.now() + milliseconds(Half + Parts.Random() % Half);
  core::LogLine(core::LogLevel::Warning, "claims.store-failed")
      .field("service", Name)
      .field("failures", Failures);
}

} // namespace jujubecart::store::internal
