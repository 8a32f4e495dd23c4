#include "dispatch_state.hpp"
#include "timer.hpp"
#include "unsent_reports.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <jujubecart/core/log.hpp>

namespace jujubecart::peers {

namespace asio = boost::asio;

namespace internal {

core::CallReport cancelledReport() {
  core::CallReport Report;
  Report.Outcome = core::CallOutcome::Cancelled;
  return Report;
}

std::uint8_t slotPrice(const std::optional<decision::DecisionFacts> &Facts) {
  return Facts ? static_cast<std::uint8_t>(Facts->SlotPricePercent) : 0;
}

// Time until the hedge of a call, as its Grant states it.
std::uint32_t hedgeAfterMs(core::TimePoint HedgeAt, core::TimePoint Now) {
  if (HedgeAt == core::TimePoint::max())
    return Grant::NeverHedgeMs;
  const auto Left = std::chrono::ceil<std::chrono::milliseconds>(HedgeAt - Now);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, Left.count()));
}

// Logs one decision of a dispatcher with the facts on which it was based.
void logDecision(const char *Event, const std::string &Group,
                 core::RequestId Request, const decision::DecisionFacts &Facts,
                 std::string_view Outcome) {
  core::LogLine Line(core::LogLevel::Info, Event);
  Line.field("request", toString(Request))
      .field("group", Group)
      .field("outcome", Outcome)
      .field("waiting", Facts.Waiting)
      .field("waiting_late", Facts.WaitingLate)
      .field("slot_price_percent", Facts.SlotPricePercent);
  if (Facts.PacePercent)
    Line.field("pace_percent", *Facts.PacePercent)
        .field("pace_age_ms", Facts.PaceAge.count());
  if (Facts.OnTimePercent > 0)
    Line.field("on_time_percent", Facts.OnTimePercent)
        .field("in_flight", Facts.InFlight);
}

decision::WorkspaceQuotas::QuotaSource quotaSource(core::ConfigSource &Config) {
  return [&Config](std::uint64_t Hash) {
    const core::ConfigSource::Snapshot Current = Config.current();
    const core::RoutingTable *Routing = Current->routing();
    const core::Workspace *Found =
        Routing == nullptr ? nullptr : Routing->workspaces().findByHash(Hash);
    return Found == nullptr ? core::WorkspaceQuota{} : Found->Quota;
  };
}

} // namespace internal

DispatchService::DispatchService(const asio::any_io_executor &Executor,
                                 const Environment &Dependencies)
    : Executor(Executor), Env(Dependencies),
      Timer(internal::makeSerialTimer(Executor)),
      Quotas(Env.Members.self().Id, internal::quotaSource(Env.Config),
             Env.Time.now(), Env.Quotas),
      Unsent(std::make_unique<internal::UnsentReports>()) {
  Env.Groups.subscribe([this](const auto &Index) { onGroupsChanged(Index); });
}

// Breaks the reference cycle: groups own the clients of their calls, and
// clients own their groups.
DispatchService::~DispatchService() {
  for (const auto &[Hash, Target] : Groups)
    Target->Calls.clear();
  for (const auto &[Number, Requester] : Clients) {
    Requester->Calls.clear();
    Requester->Groups.clear();
  }
}

DispatchService::GroupState
DispatchService::findOrCreateGroup(const GroupPtr &Entry) {
  const std::lock_guard Lock(Mutex);
  GroupState &Found = Groups[Entry->Hash];
  if (!Found)
    Found = std::make_shared<Group>(Entry, Env.Time.now());
  return Found;
}

DispatchService::GroupState
DispatchService::findGroup(std::uint64_t Hash) const {
  const std::lock_guard Lock(Mutex);
  const auto Found = Groups.find(Hash);
  return Found == Groups.end() ? nullptr : Found->second;
}

void DispatchService::submit(const GroupPtr &Group, DispatchCall Call,
                             CompletionHandler OnComplete) {
  DispatchService::Call Item;
  Item.Token = Call.Token;
  Item.Request = Call.Request;
  Item.Deadline = Call.Deadline;
  Item.Priority = Call.Priority;
  Item.Key = Call.Key;
  Item.Objective = Call.Objective;
  Item.WorkClass = Call.WorkClass;
  Item.Workspace = Call.Workspace;
  Item.OnComplete = std::move(OnComplete);
  enqueue(findOrCreateGroup(Group), std::move(Item),
          {.Excluded = std::move(Call.Excluded),
           .CallerHash = Call.CallerHash,
           .Limits = std::move(Call.Limits),
           .CountsAgainstQuota = Call.CountsAgainstQuota});
}

// The order key is claimed while the call waits for a slot; the grant is
// delivered when both are done.
void DispatchService::enqueue(const GroupState &Target, Call Item,
                              QueueingFacts Facts) {
  const auto Key = Item.Key;
  const core::RequestId Request = Item.Request;
  const core::TimePoint Deadline = Item.Deadline;
  const decision::CallToken Token = Item.Token;
  Item.Claimed = !Key;
  decision::QuotaDecision Quota;
  const bool Counts = Item.Workspace != 0 && Facts.CountsAgainstQuota;
  // A VM that no report reaches has less than a token. The requester then asks
  // another dispatcher, and last its own.
  bool Ready = !Counts || !Item.Requester || countsForOthers(Item.Workspace);
  if (Counts && Ready) {
    Item.CountedAt = Env.Time.now();
    Quota = countRequest(Item.Workspace, Request, Item.CountedAt, false);
    Item.UsesQuota = Quota.Admitted;
    // Another dispatcher knows whether the request is within the quota.
    Ready = !Quota.AwaitsHistory;
  }
  if (Item.Requester)
    ++Item.Requester->WaitingCalls;
  decision::PendingCall Pending{
      .Token = Token,
      .Holder = Item.Requester ? Item.Requester->Holder : Env.Members.self().Id,
      .Deadline = Deadline,
      .Priority = Item.Priority,
      .CallerHash = Facts.CallerHash,
      .Excluded = std::move(Facts.Excluded),
      .Zone = Item.Requester ? Item.Requester->Zone : Env.Members.self().Zone,
      .Objective = Item.Objective,
      .WorkClass = Item.WorkClass,
      .Limits = std::move(Facts.Limits),
      .Workspace = Item.Workspace,
      .WorkspacePriority = hasOwnPriority(Item.Workspace)};
  bool StillWaiting = false;
  {
    const std::lock_guard Lock(Target->Mutex);
    Target->LastUsed = Env.Time.now();
    Target->Calls.emplace(Token, std::move(Item));
    if (!Ready)
      return refuse(*Target, Token, core::Error::NotReady,
                    std::chrono::milliseconds(0), 0);
    if (!Quota.Admitted)
      return refuse(*Target, Token, core::Error::QuotaExceeded,
                    Quota.RetryAfter, 0);
    decision::Decisions Out;
    Target->Dispatcher->enqueue(std::move(Pending), Env.Time.now(), Out);
    applyDecisions(*Target, Out);
    const auto Found = Target->Calls.find(Token);
    StillWaiting = Found != Target->Calls.end() && !Found->second.Answered;
  }
  startRequestedProbes(Target);
  if (!StillWaiting)
    return;
  Env.Events.record(
      {.Kind = "dispatch.queued", .Request = Request, .Detail = Target->Name});
  wake();
  if (Key)
    asio::co_spawn(Executor,
                   claimOrderKey(Target, Token, *Key, Request, Deadline),
                   asio::detached);
}

void DispatchService::applyDecisions(Group &Target,
                                     const decision::Decisions &Out) {
  for (const decision::Decision &Item : Out) {
    if (const auto *Decision = std::get_if<decision::Granted>(&Item)) {
      const auto Found = Target.Calls.find(Decision->Token);
      if (Found == Target.Calls.end())
        continue;
      if (Found->second.Claimed)
        grant(Target, Found->second, *Decision);
      else
        Found->second.DeferredGrant = *Decision;
    } else {
      const auto &Rejection = std::get<decision::Rejected>(Item);
      const auto Found = Target.Calls.find(Rejection.Token);
      if (Rejection.Facts && Found != Target.Calls.end())
        internal::logDecision(
            "dispatch.refused", Target.Name, Found->second.Request,
            *Rejection.Facts,
            core::make_error_code(Rejection.Reason).message());
      refuse(Target, Rejection.Token, Rejection.Reason, Rejection.RetryAfter,
             internal::slotPrice(Rejection.Facts));
    }
  }
}

void DispatchService::grant(Group &Target, Call &Item,
                            const decision::Granted &Decision) {
  Item.GrantId = Decision.GrantId;
  Item.Answered = true;
  ++Env.Links.counters().Grants;
  if (Decision.Facts)
    internal::logDecision("dispatch.granted", Target.Name, Item.Request,
                          *Decision.Facts, Decision.Server.Id);
  Env.Events.record({.Kind = "dispatch.granted",
                     .Request = Item.Request,
                     .Server = Decision.Server.Id,
                     .Peer = Item.Requester
                                 ? Item.Requester->PeerLink->peer().Sender
                                 : std::string(),
                     .Detail = Target.Entry->Group.Name});
  if (!Item.Requester) {
    Item.OnComplete({.Server = Decision.Server,
                     .SlotPricePercent = internal::slotPrice(Decision.Facts),
                     .HedgeAt = Decision.HedgeAt});
    return;
  }
  --Item.Requester->WaitingCalls;
  Grant Message{.Call = Item.RemoteCall,
                .Server = core::hash64(Decision.Server.Id),
                .ServerDetails = {},
                .SlotPricePercent = internal::slotPrice(Decision.Facts),
                .HedgeAfterMs =
                    internal::hedgeAfterMs(Decision.HedgeAt, Env.Time.now())};
  if (Item.Revision < Target.Entry->Changed)
    Message.ServerDetails = Decision.Server;
  Item.Requester->PeerLink->send(Message);
}

void DispatchService::refuse(Group &Target, decision::CallToken Token,
                             core::Error Reason,
                             std::chrono::milliseconds RetryAfter,
                             std::uint8_t SlotPricePercent) {
  const auto Found = Target.Calls.find(Token);
  if (Found == Target.Calls.end())
    return;
  const Call Item = std::move(Found->second);
  Target.Calls.erase(Found);
  giveBackQuota(Item);
  if (!Item.Requester) {
    Item.OnComplete({.Server = std::nullopt,
                     .Reason = Reason,
                     .RetryAfter = RetryAfter,
                     .SlotPricePercent = SlotPricePercent});
    return;
  }
  --Item.Requester->WaitingCalls;
  Item.Requester->PeerLink->adjustUseCount(-1);
  {
    const std::lock_guard Lock(Item.Requester->Mutex);
    Item.Requester->Calls.erase(Item.RemoteCall);
  }
  Item.Requester->PeerLink->send(
      Refuse{.Call = Item.RemoteCall,
             .Reason = Reason,
             .RetryAfterMs = static_cast<std::uint32_t>(RetryAfter.count()),
             .SlotPricePercent = SlotPricePercent});
}

// Ends a call that waits, is granted but not yet claimed, or holds a grant.
void DispatchService::finishCall(const GroupState &Target,
                                 decision::CallToken Token,
                                 const core::CallReport &Report, bool Sent) {
  {
    const std::lock_guard Lock(Target->Mutex);
    const auto Found = Target->Calls.find(Token);
    if (Found == Target->Calls.end())
      return;
    const Call Item = std::move(Found->second);
    Target->Calls.erase(Found);
    if (!Item.Answered || !Sent)
      giveBackQuota(Item);
    decision::Decisions Out;
    const core::TimePoint Now = Env.Time.now();
    if (Item.Answered)
      Target->Dispatcher->release(Item.GrantId, Report, Now, Out);
    else if (Item.DeferredGrant)
      Target->Dispatcher->release(Item.DeferredGrant->GrantId,
                                  internal::cancelledReport(), Now, Out);
    else
      Target->Dispatcher->withdraw(Token, Now, Out);
    if (Item.Requester && !Item.Answered)
      --Item.Requester->WaitingCalls;
    applyDecisions(*Target, Out);
  }
  startRequestedProbes(Target);
}

void DispatchService::withdraw(std::uint64_t Group, decision::CallToken Token) {
  if (const GroupState Target = findGroup(Group))
    finishCall(Target, Token, internal::cancelledReport(), false);
}

void DispatchService::release(std::uint64_t Group, decision::CallToken Token,
                              const core::CallReport &Report) {
  if (const GroupState Target = findGroup(Group))
    finishCall(Target, Token, Report, true);
}

void DispatchService::adopt(const GroupPtr &Group, const std::string &ServerId,
                            std::uint32_t Calls) {
  const GroupState Target = findOrCreateGroup(Group);
  const std::lock_guard Lock(Target->Mutex);
  Target->LastUsed = Env.Time.now();
  Target->Dispatcher->adopt(Env.Members.self().Id, ServerId, Calls,
                            Env.Time.now());
}

void DispatchService::releaseAdopted(std::uint64_t Group,
                                     const std::string &ServerId,
                                     const core::CallReport &Report) {
  const GroupState Target = findGroup(Group);
  if (!Target)
    return;
  const std::lock_guard Lock(Target->Mutex);
  decision::Decisions Out;
  Target->Dispatcher->releaseAdopted(Env.Members.self().Id, ServerId, Report,
                                     Env.Time.now(), Out);
  applyDecisions(*Target, Out);
}

void DispatchService::onGroupsChanged(const GroupDirectory::Index &Index) {
  std::vector<GroupState> AllGroups;
  {
    const std::lock_guard Lock(Mutex);
    for (const auto &[Hash, Item] : Groups)
      AllGroups.push_back(Item);
  }
  for (const GroupState &Target : AllGroups) {
    const std::lock_guard Lock(Target->Mutex);
    GroupPtr Entry = Index->find(Target->Entry->Hash);
    if (!Entry) {
      auto Empty = std::make_shared<GroupEntry>(*Target->Entry);
      Empty->Group.Servers.clear();
      Empty->ServerIndex.clear();
      Entry = std::move(Empty);
    }
    Target->Entry = Entry;
    decision::Decisions Out;
    Target->Dispatcher->configure(Entry->Group, Env.Time.now(), Out);
    applyDecisions(*Target, Out);
  }
}

std::map<std::string, std::vector<decision::ServerStatus>>
DispatchService::status() const {
  std::vector<GroupState> AllGroups;
  {
    const std::lock_guard Lock(Mutex);
    for (const auto &[Hash, Item] : Groups)
      AllGroups.push_back(Item);
  }
  std::map<std::string, std::vector<decision::ServerStatus>> Result;
  for (const GroupState &Target : AllGroups) {
    const std::lock_guard Lock(Target->Mutex);
    if (Target->RanksFirst || !Target->Calls.empty())
      Result.emplace(Target->Entry->Group.Name,
                     Target->Dispatcher->status(Env.Time.now()));
  }
  return Result;
}

} // namespace jujubecart::peers
