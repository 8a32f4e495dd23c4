#include "broker_state.hpp"
#include "timer.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <jujubecart/decision/rendezvous.hpp>
#include <map>

namespace jujubecart::peers {

namespace asio = boost::asio;

// Waits at most LinkWaitTimeout for a new link. A connection attempt that takes
// longer continues in the background, so that later calls can use the link.
core::Awaitable<LinkPtr> RemoteBroker::findOrConnect(std::string Vm,
                                                     std::string Address) {
  if (LinkPtr Open = Env.Links.find(Vm))
    co_return Open;
  if (Address.empty())
    co_return nullptr;
  const auto Promise = std::make_shared<internal::OneShot<LinkPtr>>();
  asio::steady_timer ConnectTimer(Executor,
                                  Env.Links.options().LinkWaitTimeout);
  ConnectTimer.async_wait(
      [Promise](const boost::system::error_code &) { Promise->set(nullptr); });
  asio::co_spawn(Executor, Env.Links.connect(std::move(Vm), std::move(Address)),
                 [Promise](const std::exception_ptr &, LinkPtr DispatcherLink) {
                   Promise->set(std::move(DispatcherLink));
                 });
  co_return co_await Promise->wait();
}

void RemoteBroker::onFrame(const LinkPtr &Source, const Frame &Item) {
  if (const auto *GrantMessage = std::get_if<Grant>(&Item.Body)) {
    onGrant(Source, *GrantMessage);
  } else if (const auto *Refusal = std::get_if<Refuse>(&Item.Body)) {
    recordPrice(Refusal->Call, Refusal->SlotPricePercent);
    complete(Refusal->Call,
             {.Outcome = AcquireResult::Kind::Refused,
              .Reason = Refusal->Reason,
              .Grant = {},
              .RetryAfter = std::chrono::milliseconds(Refusal->RetryAfterMs)});
  }
}

void RemoteBroker::recordPrice(CallId Call, std::uint32_t SlotPricePercent) {
  const std::lock_guard Lock(Mutex);
  const auto Found = PendingCalls.find(Call);
  if (Found != PendingCalls.end())
    Choice.record(Found->second.Entry->Hash, SlotPricePercent, Env.Time.now());
}

namespace internal {

core::TimePoint hedgeTimeOf(const Grant &Item, core::TimePoint Now) {
  return Item.HedgeAfterMs == Grant::NeverHedgeMs
             ? core::TimePoint::max()
             : Now + std::chrono::milliseconds(Item.HedgeAfterMs);
}

} // namespace internal

void RemoteBroker::onGrant(const LinkPtr &Source, const Grant &Item) {
  recordPrice(Item.Call, Item.SlotPricePercent);
  std::optional<core::BackendServer> Server = Item.ServerDetails;
  GroupPtr Entry;
  {
    const std::lock_guard Lock(Mutex);
    const auto Found = PendingCalls.find(Item.Call);
    if (Found != PendingCalls.end() && Found->second.DispatcherLink == Source)
      Entry = Found->second.Entry;
  }
  if (Entry) {
    const GroupPtr Current = Env.Groups.current()->find(Entry->Hash);
    const core::BackendServer *KnownServer =
        Current ? Current->server(Item.Server) : nullptr;
    if (!Server && KnownServer != nullptr)
      Server = *KnownServer;
    // A server that drains according to the configuration of this VM must not
    // get a call, even if the dispatcher does not have that revision yet.
    if (KnownServer != nullptr &&
        KnownServer->State == core::ServerState::Draining)
      Server.reset();
    if (KnownServer == nullptr && Env.Links.options().AskNextDispatcher)
      Server.reset();
  }
  // The call has ended, or its server is draining or not configured here.
  if (!Entry || !Server) {
    Source->send(Cancel{.Call = Item.Call});
    if (Entry)
      complete(Item.Call, {.Outcome = AcquireResult::Kind::Refused,
                           .Reason = core::Error::NotReady,
                           .Grant = {}});
    return;
  }
  Source->adjustUseCount(1);
  complete(Item.Call,
           {.Outcome = AcquireResult::Kind::Granted,
            .Reason = {},
            .Grant = recordGrant(
                {.Entry = Entry,
                 .Server = Server->Id,
                 .DispatcherLink = Source,
                 .Call = Item.Call},
                {.Id = 0,
                 .Group = Entry->Group.Name,
                 .Dispatcher = Source->peer().Sender,
                 .Server = *Server,
                 .HedgeAt = internal::hedgeTimeOf(Item, Env.Time.now())})});
}

void RemoteBroker::complete(CallId Call, AcquireResult Result) {
  ResultPromise Promise;
  const std::uint64_t Granted = Result.Grant.Id;
  {
    const std::lock_guard Lock(Mutex);
    const auto Found = PendingCalls.find(Call);
    if (Found != PendingCalls.end()) {
      Promise = Found->second.Promise;
      if (Found->second.DispatcherLink)
        Found->second.DispatcherLink->callEnded(
            Result.Outcome == AcquireResult::Kind::Unresponsive);
      const auto [Begin, End] =
          CallsByRequest.equal_range(Found->second.Request.Value);
      for (auto At = Begin; At != End; ++At)
        if (At->second == Call) {
          CallsByRequest.erase(At);
          break;
        }
      PendingCalls.erase(Found);
    }
  }
  if (Promise && Promise->set(Result))
    return;
  // The call ended before its grant arrived, so the grant is returned. This
  // runs on the executor because the calling function may hold the mutex of
  // the group, which release() locks.
  if (Granted != 0)
    asio::post(Executor, [this, Grant = std::move(Result.Grant)] {
      core::CallReport Report;
      Report.Outcome = core::CallOutcome::Cancelled;
      release(Grant, Report);
    });
}

void RemoteBroker::cancel(core::RequestId Request) noexcept {
  std::vector<std::pair<CallId, PendingCall>> Ended;
  {
    const std::lock_guard Lock(Mutex);
    const auto [Begin, End] = CallsByRequest.equal_range(Request.Value);
    for (auto At = Begin; At != End; ++At)
      Ended.emplace_back(At->second, PendingCalls.at(At->second));
  }
  for (const auto &[Call, Pending] : Ended) {
    complete(Call, {.Outcome = AcquireResult::Kind::Refused,
                    .Reason = core::Error::Cancelled,
                    .Grant = {}});
    if (Pending.DispatcherLink)
      Pending.DispatcherLink->send(Cancel{.Call = Call});
    else
      Env.Dispatch.withdraw(Pending.Entry->Hash, Pending.Token);
  }
}

void RemoteBroker::onClose(const LinkPtr &Source) {
  std::vector<CallId> LostCalls;
  {
    const std::lock_guard Lock(Mutex);
    for (const auto &[Call, Pending] : PendingCalls)
      if (Pending.DispatcherLink == Source)
        LostCalls.push_back(Call);
    for (auto &[Id, Item] : Grants) {
      if (Item.DispatcherLink == Source)
        Item.DispatcherLink = nullptr;
      if (Item.AdoptedBy == Source)
        Item.AdoptedBy = nullptr;
    }
    std::erase_if(ReportedInFlight, [&](const auto &Item) {
      return Item.first == Source->number();
    });
  }
  for (const CallId Call : LostCalls)
    complete(Call, {});
}

// The dispatcher that granted a call may have failed although its link is still
// open, because it is paused or the link is about to be closed.
bool RemoteBroker::isTracked(const HeldGrant &Item) const {
  if (Item.Token != 0 || Item.AdoptedBy || Item.AdoptedHere)
    return true;
  if (!Item.DispatcherLink)
    return false;
  const auto Found = SuspectedUntil.find(Item.DispatcherLink->peer().Sender);
  return Found == SuspectedUntil.end() || Env.Time.now() >= Found->second;
}

// Reports the calls in flight that no dispatcher counts, so that a new
// dispatcher does not overload their servers. Runs before the first call to a
// dispatcher after another one failed; a null link stands for the dispatcher of
// this VM.
void RemoteBroker::reportInFlight(const GroupPtr &Entry,
                                  const LinkPtr &Dispatcher) {
  std::map<std::string, std::uint32_t> Counts;
  {
    const std::lock_guard Lock(Mutex);
    if (!ReportedInFlight
             .emplace(Dispatcher ? Dispatcher->number() : 0, Entry->Hash)
             .second)
      return;
    for (auto &[Id, Item] : Grants) {
      if (!Item.Entry || Item.Entry->Hash != Entry->Hash)
        continue;
      if (!isTracked(Item)) {
        Item.AdoptedBy = Dispatcher;
        Item.AdoptedHere = !Dispatcher;
      }
      // A report replaces the one before.
      if (Item.isAdoptedBy(Dispatcher))
        ++Counts[Item.Server];
    }
  }
  if (Counts.empty())
    return;
  InFlight Message{.Group = Entry->Hash, .Servers = {}};
  for (const auto &[Server, Calls] : Counts) {
    if (!Dispatcher)
      Env.Dispatch.adopt(Entry, Server, Calls);
    Message.Servers.push_back({.Server = core::hash64(Server), .Calls = Calls});
  }
  if (Dispatcher)
    Dispatcher->send(Message);
}

RemoteBroker::View RemoteBroker::memberView() {
  const std::uint64_t Version = Env.Members.version();
  const std::lock_guard Lock(Mutex);
  if (CurrentView && CurrentView->Version == Version)
    return CurrentView;
  auto NewView = std::make_shared<MemberView>();
  NewView->Version = Version;
  const core::Member Self = Env.Members.self();
  NewView->Self = Self.Id;
  NewView->Region = Self.Region;
  NewView->Members = Env.Members.members();
  for (const core::Member &Item : NewView->Members)
    NewView->Addresses.emplace(Item.Id, Item.Address);
  CurrentView = NewView;
  return NewView;
}

RemoteBroker::Ranking RemoteBroker::rankDispatchers(const GroupEntry &Entry) {
  const View Current = memberView();
  const std::lock_guard Lock(Current->Mutex);
  Ranking &Found = Current->Rankings[Entry.Hash];
  if (!Found)
    Found = std::make_shared<std::vector<std::string>>(decision::rankMembers(
        Entry.Group.Name, Entry.Group.Region, Current->Members));
  return Found;
}

bool RemoteBroker::isSuspected(const std::string &Vm) {
  const std::lock_guard Lock(Mutex);
  const auto Found = SuspectedUntil.find(Vm);
  if (Found == SuspectedUntil.end())
    return false;
  if (Env.Time.now() < Found->second)
    return true;
  SuspectedUntil.erase(Found);
  return false;
}

void RemoteBroker::markSuspect(const std::string &Vm) {
  const std::lock_guard Lock(Mutex);
  ReportedInFlight.clear();
  if (SuspectedUntil
          .insert_or_assign(Vm, Env.Time.now() +
                                    Env.Links.options().SuspectDuration)
          .second)
    ++Env.Links.counters().DispatchersSuspected;
}

void RemoteBroker::start() {
  asio::co_spawn(Timer.get_executor(), watchLoop(), asio::detached);
}

void RemoteBroker::stop() {
  Stopped = true;
  internal::cancelLater(Timer);
  std::vector<CallId> Unfinished;
  {
    const std::lock_guard Lock(Mutex);
    for (const auto &[Call, Pending] : PendingCalls)
      Unfinished.push_back(Call);
  }
  for (const CallId Call : Unfinished)
    complete(Call, {.Outcome = AcquireResult::Kind::Refused,
                    .Reason = core::Error::Cancelled,
                    .Grant = {}});
}

void RemoteBroker::wake() {
  if (Sleeping.exchange(false))
    internal::cancelLater(Timer);
}

core::Awaitable<void> RemoteBroker::watchLoop() {
  const auto CheckInterval = Env.Links.options().DispatcherTimeout / 5;
  core::TimePoint ResumedAt = Env.Time.now();
  while (!Stopped) {
    Sleeping = true;
    const core::TimePoint Due =
        Env.Time.now() + (expireCalls(ResumedAt)
                              ? CheckInterval
                              : std::chrono::milliseconds(100));
    Timer.expires_at(Due);
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    // A late wakeup means that this process was paused. Frames from the
    // dispatchers may still be unread, so silence is measured from now on.
    if (Env.Time.now() > Due + 2 * CheckInterval)
      ResumedAt = Env.Time.now();
  }
}

// Ends calls whose dispatcher is unresponsive or whose deadline has passed.
bool RemoteBroker::expireCalls(core::TimePoint ResumedAt) {
  constexpr std::chrono::milliseconds DeadlineGrace{10};
  const core::TimePoint Now = Env.Time.now();
  std::vector<std::pair<CallId, PendingCall>> UnresponsiveCalls;
  std::vector<std::pair<CallId, PendingCall>> ExpiredCalls;
  bool AnyWaiting = false;
  {
    const std::lock_guard Lock(Mutex);
    for (const auto &[Call, Pending] : PendingCalls) {
      AnyWaiting = true;
      if (Now > Pending.Deadline + DeadlineGrace)
        ExpiredCalls.emplace_back(Call, Pending);
      else if (Pending.DispatcherLink &&
               Now - std::max({Pending.DispatcherLink->lastReceived(),
                               Pending.SentAt, ResumedAt}) >
                   Env.Links.options().DispatcherTimeout)
        UnresponsiveCalls.emplace_back(Call, Pending);
    }
  }
  for (const auto &[Call, Pending] : UnresponsiveCalls) {
    complete(Call, {.Outcome = AcquireResult::Kind::Unresponsive,
                    .Reason = {},
                    .Grant = {}});
    Pending.DispatcherLink->send(Cancel{.Call = Call});
  }
  for (const auto &[Call, Pending] : ExpiredCalls) {
    complete(Call, {.Outcome = AcquireResult::Kind::Refused,
                    .Reason = core::Error::DeadlineExceeded,
                    .Grant = {}});
    if (Pending.DispatcherLink)
      Pending.DispatcherLink->send(Cancel{.Call = Call});
    else
      Env.Dispatch.withdraw(Pending.Entry->Hash, Pending.Token);
  }
  return AnyWaiting;
}

} // namespace jujubecart::peers
