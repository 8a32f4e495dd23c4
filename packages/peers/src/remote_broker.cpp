#include "broker_state.hpp"
#include "server_statements.hpp"
#include "timer.hpp"

#include <algorithm>
#include <boost/asio/strand.hpp>
#include <jujubecart/core/log.hpp>

namespace jujubecart::peers {

namespace asio = boost::asio;

namespace internal {

// Limit on the orders whose claiming dispatcher is remembered.
constexpr std::size_t MaxClaimDispatchers = 8192;

std::uint32_t millisecondsLeft(core::TimePoint Now, core::TimePoint Until) {
  const auto Left =
      std::chrono::floor<std::chrono::milliseconds>(Until - Now).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Left, 0, UINT32_MAX - 1));
}

} // namespace internal

RemoteBroker::RemoteBroker(const asio::any_io_executor &Executor,
                           const Environment &Dependencies)
    : Executor(Executor), Env(Dependencies),
      Timer(internal::makeSerialTimer(Executor)),
      Choice(Env.Members.self().Id,
             static_cast<std::uint32_t>(Env.Links.options().RandomSeed) + 1),
      Statements(std::make_unique<internal::ServerStatements>()) {}

RemoteBroker::~RemoteBroker() = default;

// What a server states while a request waits for a slot holds for that request
// too, whichever dispatcher grants it. The server is then excluded, so each
// turn of the loop leaves one server less.
core::Awaitable<core::Result<core::SlotGrant>>
RemoteBroker::acquire(core::SlotRequest Request) {
  while (true) {
    core::Result<core::SlotGrant> Granted = co_await acquireOnce(Request);
    if (Granted && Request.Workspace != 0 && Request.CountsAgainstQuota)
      markCounted(Granted->Id);
    if (!Granted || permits(*Granted))
      co_return Granted;
    core::LogLine(core::LogLevel::Info, "grant.returned")
        .field("request", toString(Request.Request))
        .field("server", Granted->Server.Id)
        .field("dispatcher", Granted->Dispatcher);
    release(*Granted, {.Outcome = core::CallOutcome::Withheld});
    // A dispatcher that grants an excluded server would do so again.
    if (std::find(Request.Excluded.begin(), Request.Excluded.end(),
                  Granted->Server.Id) != Request.Excluded.end()) {
      const auto Error = core::make_error_code(core::Error::Unavailable);
      if (Request.Key)
        releaseFailedOrder(Request, Error);
      co_return Error;
    }
    Request.Excluded.push_back(Granted->Server.Id);
  }
}

core::Awaitable<core::Result<core::SlotGrant>>
RemoteBroker::acquireOnce(core::SlotRequest Request) {
  excludeAvoidedServers(Request);
  GroupPtr Entry = chooseGroup(Request);
  if (!Entry)
    co_return core::make_error_code(core::Error::NotFound);
  if (Env.Time.now() >= Request.Deadline)
    co_return core::make_error_code(core::Error::DeadlineExceeded);
  if (!Request.Key)
    co_return co_await acquireInGroup(std::move(Entry), std::move(Request));
  core::Result<core::SlotGrant> Result =
      co_await acquireInGroup(std::move(Entry), Request);
  if (!Result)
    releaseFailedOrder(Request, Result.error());
  co_return Result;
}

// Releases the claim of an order that failed, because SlotBroker::acquire holds
// nothing after an error. After OrderRepeated another request owns the claim.
void RemoteBroker::releaseFailedOrder(const core::SlotRequest &Request,
                                      std::error_code Error) {
  if (Error != core::Error::OrderRepeated)
    releaseClaim(Request.Service, *Request.Key, Request.Request);
}

core::Awaitable<core::Result<core::SlotGrant>>
RemoteBroker::acquireInGroup(GroupPtr Entry, core::SlotRequest Request) {
  using Kind = AcquireResult::Kind;
  const Ranking Ranked = rankDispatchers(*Entry);
  const std::string Self = memberView()->Self;
  std::size_t AskedCount = 0;
  for (const std::string &Vm : *Ranked) {
    if (Vm == Self || AskedCount == MaxRemoteDispatchers)
      break;
    if (isSuspected(Vm))
      continue;
    ++AskedCount;
    excludeAvoidedServers(Request);
    AcquireResult Result = co_await askDispatcher(Entry, Vm, Request);
    if (Result.Outcome == Kind::Granted)
      co_return std::move(Result.Grant);
    if (Result.Outcome == Kind::Refused) {
      if (Result.Reason != core::Error::NotReady)
        co_return toError(Request, Result);
      continue;
    }
    markSuspect(Vm);
    // The fallback does not claim order keys, and an order must not run without
    // its claim, so an order asks the next dispatcher.
    if (!Request.Key && !Env.Links.options().AskNextDispatcher)
      co_return acquireFromFallback(
          *Entry, Request, Vm,
          Result.Outcome == Kind::Unresponsive ? "silent" : "unreachable");
  }
  excludeAvoidedServers(Request);
  // Several VMs may decide by themselves at the same time, and nobody counts
  // what they send to a cold server together.
  if (!Ranked->empty() && Ranked->front() != Self)
    excludeColdServers(Request);
  AcquireResult Result = co_await askLocalDispatcher(Entry, Request);
  // This VM ranks first and has not heard yet what the workspace has used; its
  // successor knows.
  const auto Next = std::find(Ranked->begin(), Ranked->end(), Self);
  if (Result.Outcome == Kind::Refused &&
      Result.Reason == core::Error::NotReady && Next == Ranked->begin() &&
      Ranked->size() > 1)
    Result = co_await askDispatcher(Entry, *std::next(Next), Request);
  if (Result.Outcome == Kind::Granted)
    co_return std::move(Result.Grant);
  co_return toError(Request, Result);
}

bool RemoteBroker::permits(const core::SlotGrant &Grant) const noexcept {
  {
    const std::lock_guard Lock(Mutex);
    if (Statements->avoids(Grant.Server, Env.Time.now()))
      return false;
  }
  return !isLeaving(Grant);
}

std::error_code RemoteBroker::toError(const core::SlotRequest &Request,
                                      const AcquireResult &Result) const {
  if (Request.Hint && Result.RetryAfter.count() > 0)
    Request.Hint->RetryAt = Env.Time.now() + Result.RetryAfter;
  return core::make_error_code(Result.Reason);
}

core::Awaitable<RemoteBroker::AcquireResult>
RemoteBroker::askLocalDispatcher(GroupPtr Entry, core::SlotRequest Request) {
  reportInFlight(Entry, nullptr);
  const auto Promise = std::make_shared<internal::OneShot<AcquireResult>>();
  const decision::CallToken Token = Env.Dispatch.newToken();
  const CallId Call = ++LastCall;
  {
    const std::lock_guard Lock(Mutex);
    PendingCalls.emplace(Call, PendingCall{.Promise = Promise,
                                           .Entry = Entry,
                                           .Request = Request.Request,
                                           .SentAt = Env.Time.now(),
                                           .Deadline = Request.Deadline,
                                           .DispatcherLink = nullptr,
                                           .Token = Token});
    CallsByRequest.emplace(Request.Request.Value, Call);
    if (Request.Key)
      ClaimDispatchers.erase(Request.Request.Value);
  }
  const core::RequestId Id = Request.Request;
  Env.Dispatch.submit(
      Entry,
      {.Token = Token,
       .Request = Id,
       .Deadline = Request.Deadline,
       .Priority = Request.Priority,
       .CallerHash = Request.CallerHash,
       .Key = Request.Key,
       .Excluded = std::move(Request.Excluded),
       .Objective = Request.Objective,
       .WorkClass = Request.WorkClass,
       .Limits = statedLimits(*Entry),
       .Workspace = Request.Workspace,
       .CountsAgainstQuota = Request.CountsAgainstQuota},
      [this, Call, Entry, Token](const DispatchResult &Dispatched) {
        AcquireResult Result{.Outcome = AcquireResult::Kind::Refused,
                             .Reason = Dispatched.Reason,
                             .Grant = {},
                             .RetryAfter = Dispatched.RetryAfter};
        recordPrice(Call, Dispatched.SlotPricePercent);
        if (Dispatched.Server) {
          Result.Outcome = AcquireResult::Kind::Granted;
          Result.Grant = recordGrant({.Entry = Entry,
                                      .Server = Dispatched.Server->Id,
                                      .DispatcherLink = nullptr,
                                      .Call = 0,
                                      .Token = Token},
                                     {.Id = 0,
                                      .Group = Entry->Group.Name,
                                      .Dispatcher = memberView()->Self,
                                      .Server = *Dispatched.Server,
                                      .HedgeAt = Dispatched.HedgeAt});
        }
        complete(Call, std::move(Result));
      });
  wake();
  co_return co_await Promise->wait();
}

core::Awaitable<RemoteBroker::AcquireResult>
RemoteBroker::askDispatcher(GroupPtr Entry, std::string Vm,
                            core::SlotRequest Request) {
  std::string Address;
  {
    const View Current = memberView();
    if (const auto Found = Current->Addresses.find(Vm);
        Found != Current->Addresses.end())
      Address = Found->second;
  }
  const LinkPtr DispatcherLink = co_await findOrConnect(Vm, std::move(Address));
  if (!DispatcherLink)
    co_return AcquireResult{};
  reportInFlight(Entry, DispatcherLink);
  const auto Promise = std::make_shared<internal::OneShot<AcquireResult>>();
  const CallId Call = ++LastCall;
  Acquire Message{.Call = Call,
                  .Group = Entry->Hash,
                  .RemainingMs = internal::millisecondsLeft(Env.Time.now(),
                                                            Request.Deadline),
                  .Request = Request.Request,
                  .CallerHash = Request.CallerHash,
                  .Revision = Env.Groups.current()->Revision,
                  .Priority = Request.Priority,
                  .Key = Request.Key,
                  .Excluded = {},
                  .WorkClass = Request.WorkClass,
                  .Workspace = Request.Workspace,
                  .CountsAgainstQuota = Request.CountsAgainstQuota};
  if (Request.Objective != core::TimePoint::max())
    Message.ObjectiveRemainingMs =
        internal::millisecondsLeft(Env.Time.now(), Request.Objective);
  for (const std::string &Server : Request.Excluded)
    Message.Excluded.push_back(core::hash64(Server));
  const core::TimePoint Now = Env.Time.now();
  for (const decision::StatedLimit &Item : statedLimits(*Entry))
    Message.Limits.push_back(
        {.Server = core::hash64(Item.ServerId),
         .Limit = Item.Limit,
         .AgeMs = internal::millisecondsLeft(Item.StatedAt, Now)});
  {
    const std::lock_guard Lock(Mutex);
    PendingCalls.emplace(Call, PendingCall{.Promise = Promise,
                                           .Entry = Entry,
                                           .Request = Request.Request,
                                           .SentAt = Env.Time.now(),
                                           .Deadline = Request.Deadline,
                                           .DispatcherLink = DispatcherLink,
                                           .Token = 0});
    CallsByRequest.emplace(Request.Request.Value, Call);
    if (Request.Key &&
        ClaimDispatchers.insert_or_assign(Request.Request.Value, Vm).second) {
      ClaimEvictionOrder.push_back(Request.Request.Value);
      if (ClaimEvictionOrder.size() > internal::MaxClaimDispatchers) {
        ClaimDispatchers.erase(ClaimEvictionOrder.front());
        ClaimEvictionOrder.pop_front();
      }
    }
  }
  DispatcherLink->callStarted();
  // If the link closed before the call was added above, onClose() missed it.
  if (!DispatcherLink->send(Message) || DispatcherLink->closed())
    complete(Call, {});
  else
    wake();
  co_return co_await Promise->wait();
}

// The dispatcher may not have this VM's configuration yet.
bool RemoteBroker::isLeaving(const core::SlotGrant &Grant) const {
  const GroupDirectory::Index Index = Env.Groups.current();
  const std::uint64_t Id = core::hash64(Grant.Server.Id);
  const GroupPtr Granting = Index->find(core::hash64(Grant.Group));
  const core::BackendServer *Known = Granting ? Granting->server(Id) : nullptr;
  // A server may have moved to another group, and a fallback names none.
  for (auto At = Index->ByHash.begin();
       Known == nullptr && At != Index->ByHash.end(); ++At)
    Known = At->second->server(Id);
  if (Known == nullptr)
    return Env.Links.options().AskNextDispatcher;
  return Known->State == core::ServerState::Draining;
}

// This VM remembers by itself what servers stated to it, so that it holds with
// every dispatcher, also with one that was never told, and without any.
void RemoteBroker::excludeAvoidedServers(core::SlotRequest &Request) {
  const GroupDirectory::Index Index = Env.Groups.current();
  const auto Found = Index->ByService.find(Request.Service);
  if (Found == Index->ByService.end())
    return;
  const std::lock_guard Lock(Mutex);
  for (const GroupPtr &Entry : Found->second)
    Statements->appendAvoided(*Entry, Env.Time.now(), Request.Excluded);
}

std::vector<decision::StatedLimit>
RemoteBroker::statedLimits(const GroupEntry &Entry) {
  const std::lock_guard Lock(Mutex);
  return Statements->limits(Entry, Env.Time.now());
}

core::SlotGrant RemoteBroker::recordGrant(HeldGrant Item,
                                          core::SlotGrant Grant) {
  const std::lock_guard Lock(Mutex);
  Grant.Id = ++LastGrantId;
  Grants.emplace(Grant.Id, std::move(Item));
  return Grant;
}

void RemoteBroker::markCounted(std::uint64_t GrantId) {
  const std::lock_guard Lock(Mutex);
  if (const auto Found = Grants.find(GrantId); Found != Grants.end())
    Found->second.Counted = true;
}

void RemoteBroker::release(const core::SlotGrant &Grant,
                           const core::CallReport &Stated) noexcept {
  core::CallReport Report = Stated;
  if (!Env.Links.options().ZonePricePerGb)
    Report.Bytes = 0;
  HeldGrant Item;
  {
    const std::lock_guard Lock(Mutex);
    const auto Found = Grants.find(Grant.Id);
    if (Found == Grants.end())
      return;
    Item = std::move(Found->second);
    Grants.erase(Found);
    Statements->record(Grant.Server, Report, Env.Time.now());
  }
  const bool Withheld = Report.Outcome == core::CallOutcome::Withheld;
  if (Item.Local)
    Env.Fallback.release(*Item.Local, Report);
  if (Item.AloneUse && Withheld)
    Env.Dispatch.giveBackAlone(*Item.AloneUse);
  if (Item.DispatcherLink) {
    Item.DispatcherLink->adjustUseCount(-1);
    // The dispatcher counts a released grant as used, a cancelled one not.
    if (Withheld && Item.Counted)
      Item.DispatcherLink->send(Cancel{.Call = Item.Call});
    else
      Item.DispatcherLink->send(Release{
          .Call = Item.Call, .Report = Report, .Group = 0, .Server = 0});
  } else if (Item.Token != 0) {
    if (Withheld && Item.Counted)
      Env.Dispatch.withdraw(Item.Entry->Hash, Item.Token);
    else
      Env.Dispatch.release(Item.Entry->Hash, Item.Token, Report);
  }
  if (Item.AdoptedBy) {
    Item.AdoptedBy->send(Release{.Call = 0,
                                 .Report = Report,
                                 .Group = Item.Entry->Hash,
                                 .Server = core::hash64(Item.Server)});
  } else if (Item.AdoptedHere) {
    Env.Dispatch.releaseAdopted(Item.Entry->Hash, Item.Server, Report);
  }
}

void RemoteBroker::releaseClaim(const std::string &Service, core::OrderKey Key,
                                core::RequestId Request) noexcept {
  std::string Vm;
  {
    const std::lock_guard Lock(Mutex);
    const auto Found = ClaimDispatchers.find(Request.Value);
    if (Found != ClaimDispatchers.end()) {
      Vm = Found->second;
      ClaimDispatchers.erase(Found);
    }
  }
  const LinkPtr DispatcherLink = Vm.empty() ? nullptr : Env.Links.find(Vm);
  if (!DispatcherLink ||
      !DispatcherLink->send(
          ClaimRelease{.Service = Service, .Key = Key, .Request = Request}))
    Env.Dispatch.releaseClaim(Service, Key, Request);
}

} // namespace jujubecart::peers
