#include "dispatch_state.hpp"
#include "unsent_reports.hpp"

#include <jujubecart/core/log.hpp>

#include <algorithm>

namespace jujubecart::peers {

// Another VM may learn of this VM's rank before this VM does.
bool DispatchService::countsForOthers(std::uint64_t Workspace) {
  if (Quotas.decidesForOthers(Workspace))
    return true;
  updateRanks();
  return Quotas.decidesForOthers(Workspace);
}

bool DispatchService::hasOwnPriority(std::uint64_t Workspace) const {
  if (Workspace == 0)
    return false;
  const core::ConfigSource::Snapshot Current = Env.Config.current();
  const core::RoutingTable *Routing = Current->routing();
  const core::Workspace *Found =
      Routing == nullptr ? nullptr
                         : Routing->workspaces().findByHash(Workspace);
  return Found != nullptr && Found->Priority.has_value();
}

decision::QuotaDecision DispatchService::countRequest(std::uint64_t Workspace,
                                                      core::RequestId Request,
                                                      core::TimePoint Now,
                                                      bool Alone) {
  const decision::QuotaDecision Out = Quotas.request(Workspace, Now, Alone);
  ++Env.Links.counters().QuotaRequests;
  // The loop may sleep beyond the time at which the report is due now.
  if (Out.AdvancesReport)
    wake();
  if (Out.Admitted || Out.AwaitsHistory)
    return Out;
  ++Env.Links.counters().QuotaRefusals;
  const core::ConfigSource::Snapshot Current = Env.Config.current();
  const core::RoutingTable *Routing = Current->routing();
  const core::Workspace *Found =
      Routing == nullptr ? nullptr
                         : Routing->workspaces().findByHash(Workspace);
  core::LogLine Line(core::LogLevel::Info, "quota.refused");
  Line.field("request", toString(Request))
      .field("workspace", Found == nullptr ? std::string() : Found->Name)
      .field("retry_after_ms", Out.RetryAfter.count())
      .field("share_permille", Out.ShareMilli)
      .field("demand_per_s", Out.DemandPerS)
      .field("alone", Alone ? 1 : 0);
  if (Out.ReportAge)
    Line.field("report_age_ms", Out.ReportAge->count());
  return Out;
}

decision::QuotaDecision DispatchService::countAlone(const QuotaUse &Use,
                                                    core::RequestId Request) {
  return countRequest(Use.Workspace, Request, Use.CountedAt, true);
}

void DispatchService::giveBackAlone(const QuotaUse &Use) {
  ++Env.Links.counters().QuotaReturns;
  Quotas.giveBack(Use.Workspace, Use.CountedAt, Env.Time.now());
}

void DispatchService::giveBackQuota(const Call &Item) {
  if (!Item.UsesQuota)
    return;
  ++Env.Links.counters().QuotaReturns;
  Quotas.giveBack(Item.Workspace, Item.CountedAt, Env.Time.now());
}

void DispatchService::onQuotaReport(const LinkPtr &Source,
                                    const QuotaReport &Item) {
  Quotas.recordReport(Source->peer().Sender, Item.Items, Env.Time.now());
  if (Item.WantsHistory)
    Source->send(
        QuotaHistoryMessage{.History = Quotas.history(Env.Time.now())});
}

void DispatchService::onQuotaHistory(const LinkPtr &Source,
                                     const QuotaHistoryMessage &Item) {
  Quotas.recordHistory(Source->peer().Sender, Item.History, Env.Time.now());
  ++Env.Links.counters().QuotaHistories;
  core::LogLine(core::LogLevel::Info, "quota.history")
      .field("peer", Source->peer().Sender)
      .field("complete", Item.History.Complete ? 1 : 0)
      .field("uses", Item.History.Uses.size());
}

// A VM that has just become a reporter asks the others what was used before.
void DispatchService::askForQuotaHistory(core::TimePoint Now) {
  const std::vector<std::string> Asked = Quotas.takeHistoryRequests(Now);
  if (Asked.empty())
    return;
  const std::vector<core::Member> Members = Env.Members.members();
  for (const core::Member &Vm : Members) {
    if (std::find(Asked.begin(), Asked.end(), Vm.Id) == Asked.end())
      continue;
    if (const LinkPtr Open = Env.Links.find(Vm.Id))
      Open->send(QuotaReport{.Items = {}, .WantsHistory = true});
    else
      Env.Links.connectInBackground(Vm.Id, Vm.Address);
  }
}

void DispatchService::updateQuotaFleet(
    std::set<std::string, std::less<>> Reporters,
    const std::vector<core::Member> &Members) {
  decision::QuotaFleet Fleet;
  Fleet.Reporters = std::move(Reporters);
  Fleet.Live = 0;
  decision::KnownVms::Ids Running;
  decision::KnownVms::Ids Leaving;
  for (const core::Member &Vm : Members) {
    Fleet.Live += Vm.State == core::MemberState::Live ? 1 : 0;
    (Vm.State == core::MemberState::Leaving ? Leaving : Running).insert(Vm.Id);
  }
  QuotaVms.update(std::move(Running), Leaving, Env.Time.now());
  Fleet.Known = QuotaVms.count();
  const std::string Self = Env.Members.self().Id;
  QuotaReceivers.clear();
  for (const core::Member &Vm : Members)
    if (Vm.Id != Self && Fleet.Reporters.contains(Vm.Id))
      QuotaReceivers.push_back(Vm);
  Quotas.setFleet(std::move(Fleet), Env.Time.now());
}

void DispatchService::sendQuotaReport(core::TimePoint Now) {
  auto Items = Quotas.takeReport(Now);
  if (!Items)
    return;
  std::vector<core::Member> Receivers;
  {
    const std::lock_guard Lock(RankMutex);
    Receivers = QuotaReceivers;
  }
  std::set<std::string> Ids;
  for (const core::Member &Vm : Receivers)
    Ids.insert(Vm.Id);
  Unsent->retain(Ids);
  for (const core::Member &Vm : Receivers) {
    const LinkPtr Open = Env.Links.find(Vm.Id);
    if (!Open)
      Env.Links.connectInBackground(Vm.Id, Vm.Address);
    if (Open &&
        Open->send(QuotaReport{.Items = Unsent->merge(Vm.Id, *Items, Now)}))
      Unsent->erase(Vm.Id);
    else
      Unsent->add(Vm.Id, *Items, Now);
  }
}

} // namespace jujubecart::peers
