#include "dispatch_state.hpp"
#include "timer.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <jujubecart/decision/rendezvous.hpp>

namespace jujubecart::peers {

namespace asio = boost::asio;

namespace internal {

constexpr std::chrono::milliseconds MaxIdleSleep{100};
constexpr std::chrono::milliseconds ProbeTimeout{500};
// A VM that becomes first in rank resets its dispatcher only after this time
// without calls: other VMs may send it calls shortly before it learns of its
// rank.
constexpr std::chrono::seconds MinIdleBeforeReset{2};
// VMs of each group that send each other quota reports: its dispatcher and the
// one that replaces it first, so that it knows the demand when it takes over.
constexpr std::size_t QuotaReportersPerGroup = 2;

} // namespace internal

void DispatchService::start() {
  asio::co_spawn(Timer.get_executor(), runLoop(), asio::detached);
}

void DispatchService::stop() {
  Stopped = true;
  internal::cancelLater(Timer);
}

// Ends the idle sleep of the loop because a call is waiting.
void DispatchService::wake() {
  if (Sleeping.exchange(false))
    internal::cancelLater(Timer);
}

core::Awaitable<void> DispatchService::runLoop() {
  // Four iterations per heartbeat interval keep the heartbeat jitter small.
  const auto BusyInterval = Env.Links.options().HeartbeatInterval / 4;
  while (!Stopped) {
    updateRanks();
    // Set before the groups are ticked, so that a call that is added meanwhile
    // ends the sleep.
    Sleeping = true;
    const core::TimePoint Now = Env.Time.now();
    const core::TimePoint Due = tickGroups(Now);
    sendQuotaReport(Now);
    askForQuotaHistory(Now);
    const core::TimePoint MaxDue =
        std::min(Now + internal::MaxIdleSleep, Quotas.nextReport());
    if (sendHeartbeats(Now)) {
      Sleeping = false;
      Timer.expires_at(std::min({Due, MaxDue, Now + BusyInterval}));
    } else {
      Timer.expires_at(std::min(Due, MaxDue));
    }
    if (Timer.expiry() < Now + std::chrono::milliseconds(1))
      Timer.expires_at(Now + std::chrono::milliseconds(1));
    boost::system::error_code Ignored;
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
}

core::TimePoint DispatchService::tickGroups(core::TimePoint Now) {
  std::vector<GroupState> AllGroups;
  {
    const std::lock_guard Lock(Mutex);
    for (const auto &[Hash, Item] : Groups)
      AllGroups.push_back(Item);
  }
  core::TimePoint Due = core::TimePoint::max();
  std::vector<std::pair<GroupState, core::BackendServer>> Probes;
  for (const GroupState &Target : AllGroups) {
    {
      const std::lock_guard Lock(Target->Mutex);
      if (Target->Dispatcher->nextTick() <= Now) {
        decision::Decisions Out;
        Target->Dispatcher->tick(Now, Out);
        applyDecisions(*Target, Out);
      }
      Due = std::min(Due, Target->Dispatcher->nextTick());
      if (Target->RanksFirst && !Target->ProbesOnDemand &&
          Env.Prober != nullptr)
        if (auto Server = Target->Dispatcher->nextProbe(Now))
          Probes.emplace_back(Target, std::move(*Server));
    }
    startRequestedProbes(Target);
  }
  for (auto &[Target, Server] : Probes)
    asio::co_spawn(Executor, probe(Target, std::move(Server)), asio::detached);
  return Due;
}

// Sends the probes that the last decisions requested. Must be called without
// locks held.
void DispatchService::startRequestedProbes(const GroupState &Target) {
  if (Env.Prober == nullptr || !Target->ProbesOnDemand)
    return;
  std::vector<core::BackendServer> Servers;
  {
    const std::lock_guard Lock(Target->Mutex);
    while (auto Server = Target->Dispatcher->nextProbe(Env.Time.now()))
      Servers.push_back(std::move(*Server));
  }
  for (core::BackendServer &Server : Servers)
    asio::co_spawn(Executor, probe(Target, std::move(Server)), asio::detached);
}

core::Awaitable<void> DispatchService::probe(GroupState Target,
                                             core::BackendServer Server) {
  ++Env.Links.counters().Probes;
  const std::string Id = Server.Id;
  const core::TimePoint Sent = Env.Time.now();
  decision::ProbeResult Result = co_await Env.Prober->probe(
      std::move(Server), Sent + internal::ProbeTimeout);
  Result.RoundTrip = std::chrono::duration_cast<std::chrono::microseconds>(
      Env.Time.now() - Sent);
  {
    const std::lock_guard Lock(Target->Mutex);
    decision::Decisions Out;
    Target->Dispatcher->recordProbe(Id, Result, Env.Time.now(), Out);
    applyDecisions(*Target, Out);
  }
  startRequestedProbes(Target);
}

// Sends a Queued frame to each VM that has waiting calls and was sent no frame
// within 3/4 of the heartbeat interval.
bool DispatchService::sendHeartbeats(core::TimePoint Now) {
  const auto Interval = Env.Links.options().HeartbeatInterval;
  std::vector<ClientPtr> WaitingClients;
  {
    const std::lock_guard Lock(Mutex);
    for (const auto &[Number, Item] : Clients)
      if (Item->WaitingCalls > 0)
        WaitingClients.push_back(Item);
  }
  for (const ClientPtr &Item : WaitingClients)
    if (Now - Item->PeerLink->lastSent() >= Interval * 3 / 4)
      Item->PeerLink->send(
          Queued{.Waiting = static_cast<std::uint32_t>(Item->WaitingCalls)});
  return !WaitingClients.empty();
}

// Recomputes for which groups this VM ranks first; only that VM probes the
// servers of a group.
void DispatchService::updateRanks() {
  const std::lock_guard RankLock(RankMutex);
  const GroupDirectory::Index Index = Env.Groups.current();
  const std::uint64_t Version = Env.Members.version();
  if (Version == RankedMemberVersion &&
      Index->Revision == RankedConfigRevision &&
      Env.Time.now() < QuotaVms.nextChange())
    return;
  RankedMemberVersion = Version;
  RankedConfigRevision = Index->Revision;
  const std::vector<core::Member> Members = Env.Members.members();
  const std::string Self = Env.Members.self().Id;
  std::set<std::string, std::less<>> QuotaReporters;
  for (const auto &[Hash, Entry] : Index->ByHash) {
    const auto Rank =
        decision::rankMembers(Entry->Group.Name, Entry->Group.Region, Members);
    for (std::size_t At = 0;
         At < std::min(Rank.size(), internal::QuotaReportersPerGroup); ++At)
      QuotaReporters.insert(Rank[At]);
    const bool IsFirst = !Rank.empty() && Rank.front() == Self;
    const GroupState Target =
        IsFirst ? findOrCreateGroup(Entry) : findGroup(Hash);
    if (!Target)
      continue;
    const std::lock_guard Lock(Target->Mutex);
    // Server state from an earlier period as first in rank is outdated.
    const core::TimePoint Now = Env.Time.now();
    if (IsFirst && !Target->RanksFirst && Target->Calls.empty() &&
        Now - Target->LastUsed > internal::MinIdleBeforeReset)
      Target->Dispatcher =
          decision::makeDispatcher(Entry->Group, Entry->Options, Now);
    Target->RanksFirst = IsFirst;
    Target->Dispatcher->setRegular(IsFirst, Now);
  }
  updateQuotaFleet(std::move(QuotaReporters), Members);
}

} // namespace jujubecart::peers
