#include "dispatch_state.hpp"

namespace jujubecart::peers {

namespace internal {

// Limits the time to a deadline or objective, whatever the requester states.
constexpr std::chrono::minutes MaxCallWait{5};

core::TimePoint deadlineAfter(core::TimePoint Now, std::uint32_t RemainingMs) {
  return Now + std::min<std::chrono::milliseconds>(
                   std::chrono::milliseconds(RemainingMs), MaxCallWait);
}

} // namespace internal

DispatchService::ClientPtr
DispatchService::findOrCreateClient(const LinkPtr &Source) {
  const std::lock_guard Lock(Mutex);
  ClientPtr &Found = Clients[Source->number()];
  if (!Found) {
    Found = std::make_shared<Client>();
    Found->PeerLink = Source;
    Found->Zone = Source->peer().Zone;
    Found->Holder =
        Source->peer().Sender + "#" + std::to_string(Source->number());
  }
  return Found;
}

void DispatchService::onFrame(const LinkPtr &Source, const Frame &Item) {
  if (const auto *AcquireMessage = std::get_if<Acquire>(&Item.Body))
    onAcquire(Source, *AcquireMessage);
  else if (const auto *ReleaseMessage = std::get_if<Release>(&Item.Body))
    onRelease(Source, *ReleaseMessage);
  else if (const auto *CancelMessage = std::get_if<Cancel>(&Item.Body))
    onCancel(Source, *CancelMessage);
  else if (const auto *InFlightMessage = std::get_if<InFlight>(&Item.Body))
    onInFlight(Source, *InFlightMessage);
  else if (const auto *ClaimMessage = std::get_if<ClaimRelease>(&Item.Body))
    releaseClaim(ClaimMessage->Service, ClaimMessage->Key,
                 ClaimMessage->Request);
  else if (const auto *ReportMessage = std::get_if<QuotaReport>(&Item.Body))
    onQuotaReport(Source, *ReportMessage);
  else if (const auto *Told = std::get_if<QuotaHistoryMessage>(&Item.Body))
    onQuotaHistory(Source, *Told);
}

void DispatchService::onAcquire(const LinkPtr &Source, const Acquire &Item) {
  const GroupPtr Entry = Env.Groups.current()->find(Item.Group);
  // The two VMs have different configuration revisions. NotReady lets the
  // requester ask another dispatcher or decide itself.
  if (!Entry) {
    Source->send(Refuse{.Call = Item.Call, .Reason = core::Error::NotReady});
    return;
  }
  const GroupState Target = findOrCreateGroup(Entry);
  Call NewCall;
  NewCall.Token = newToken();
  NewCall.Request = Item.Request;
  const core::TimePoint Now = Env.Time.now();
  NewCall.Deadline = internal::deadlineAfter(Now, Item.RemainingMs);
  if (Item.ObjectiveRemainingMs)
    NewCall.Objective =
        internal::deadlineAfter(Now, *Item.ObjectiveRemainingMs);
  NewCall.WorkClass = Item.WorkClass;
  NewCall.Workspace = Item.Workspace;
  NewCall.Priority = Item.Priority;
  NewCall.Key = Item.Key;
  NewCall.Requester = findOrCreateClient(Source);
  NewCall.RemoteCall = Item.Call;
  NewCall.Revision = Item.Revision;
  {
    const std::lock_guard Lock(NewCall.Requester->Mutex);
    if (NewCall.Requester->Disconnected)
      return;
    if (!NewCall.Requester->Calls
             .emplace(Item.Call, std::pair(Target, NewCall.Token))
             .second) {
      Source->close("call number is already in use");
      return;
    }
    NewCall.Requester->Groups.insert(Target);
  }
  Source->adjustUseCount(1);
  std::vector<std::string> Excluded;
  for (const std::uint64_t Server : Item.Excluded)
    if (const core::BackendServer *KnownServer = Entry->server(Server))
      Excluded.push_back(KnownServer->Id);
  std::vector<decision::StatedLimit> Limits;
  for (const Acquire::ServerLimit &Limit : Item.Limits)
    if (const core::BackendServer *KnownServer = Entry->server(Limit.Server))
      Limits.push_back(
          {.ServerId = KnownServer->Id,
           .Limit = Limit.Limit,
           .StatedAt = Now - std::chrono::milliseconds(Limit.AgeMs)});
  enqueue(Target, std::move(NewCall),
          {.Excluded = std::move(Excluded),
           .CallerHash = Item.CallerHash,
           .Limits = std::move(Limits),
           .CountsAgainstQuota = Item.CountsAgainstQuota});
}

void DispatchService::onRelease(const LinkPtr &Source, const Release &Item,
                                bool Sent) {
  const ClientPtr Sender = findOrCreateClient(Source);
  if (Item.Group != 0) {
    const GroupState Target = findGroup(Item.Group);
    if (!Target)
      return;
    const std::lock_guard Lock(Target->Mutex);
    const core::BackendServer *Server = Target->Entry->server(Item.Server);
    if (Server == nullptr)
      return;
    decision::Decisions Out;
    Target->Dispatcher->releaseAdopted(Sender->Holder, Server->Id, Item.Report,
                                       Env.Time.now(), Out);
    applyDecisions(*Target, Out);
    return;
  }
  std::pair<GroupState, decision::CallToken> Ended;
  {
    const std::lock_guard Lock(Sender->Mutex);
    const auto Found = Sender->Calls.find(Item.Call);
    if (Found == Sender->Calls.end())
      return;
    Ended = Found->second;
    Sender->Calls.erase(Found);
  }
  Source->adjustUseCount(-1);
  finishCall(Ended.first, Ended.second, Item.Report, Sent);
}

// A grant may already be on its way to the requester, which will ignore it, so
// the slot is returned in either case.
void DispatchService::onCancel(const LinkPtr &Source, const Cancel &Item) {
  Release CancelledRelease{
      .Call = Item.Call, .Report = {}, .Group = 0, .Server = 0};
  CancelledRelease.Report.Outcome = core::CallOutcome::Cancelled;
  onRelease(Source, CancelledRelease, false);
}

void DispatchService::onInFlight(const LinkPtr &Source, const InFlight &Item) {
  const GroupPtr Entry = Env.Groups.current()->find(Item.Group);
  if (!Entry)
    return;
  const GroupState Target = findOrCreateGroup(Entry);
  const ClientPtr Sender = findOrCreateClient(Source);
  {
    const std::lock_guard Lock(Sender->Mutex);
    if (Sender->Disconnected)
      return;
    Sender->Groups.insert(Target);
  }
  const std::lock_guard Lock(Target->Mutex);
  Target->LastUsed = Env.Time.now();
  for (const InFlight::Count &Count : Item.Servers)
    if (const core::BackendServer *Server = Entry->server(Count.Server))
      Target->Dispatcher->adopt(Sender->Holder, Server->Id, Count.Calls,
                                Env.Time.now());
}

void DispatchService::onClose(const LinkPtr &Source) {
  ClientPtr Sender;
  {
    const std::lock_guard Lock(Mutex);
    const auto Found = Clients.find(Source->number());
    if (Found == Clients.end())
      return;
    Sender = Found->second;
    Clients.erase(Found);
  }
  std::set<GroupState> AffectedGroups;
  {
    const std::lock_guard Lock(Sender->Mutex);
    Sender->Disconnected = true;
    AffectedGroups.swap(Sender->Groups);
    Sender->Calls.clear();
  }
  for (const GroupState &Target : AffectedGroups) {
    const std::lock_guard Lock(Target->Mutex);
    std::erase_if(Target->Calls, [&](const auto &Item) {
      if (Item.second.Requester != Sender)
        return false;
      if (!Item.second.Answered)
        giveBackQuota(Item.second);
      return true;
    });
    decision::Decisions Out;
    Target->Dispatcher->dropHolder(Sender->Holder, Env.Time.now(), Out);
    applyDecisions(*Target, Out);
  }
}

} // namespace jujubecart::peers
