#include "broker_state.hpp"
#include "dispatch_state.hpp"
#include "server_statements.hpp"

#include <algorithm>
#include <jujubecart/decision/rendezvous.hpp>
#include <numeric>

namespace jujubecart::peers {

// The dispatcher of a group knows the VM by the holder of its link.
decision::PendingCall
DispatchService::pendingCall(const core::SlotRequest &Slot,
                             const std::string &Vm) const {
  const core::Member Self = Env.Members.self();
  decision::PendingCall Out{.Holder = Self.Id,
                            .Deadline = Slot.Deadline,
                            .Priority = Slot.Priority,
                            .CallerHash = Slot.CallerHash,
                            .Excluded = Slot.Excluded,
                            .Zone = Self.Zone,
                            .Objective = Slot.Objective,
                            .WorkClass = Slot.WorkClass,
                            .Workspace = Slot.Workspace,
                            .WorkspacePriority =
                                hasOwnPriority(Slot.Workspace)};
  if (Vm.empty() || Vm == Self.Id)
    return Out;
  Out.Holder = Vm;
  for (const core::Member &Item : Env.Members.members())
    if (Item.Id == Vm)
      Out.Zone = Item.Zone;
  const std::lock_guard Lock(Mutex);
  for (const auto &[Number, Requester] : Clients)
    if (Requester->PeerLink->peer().Sender == Vm)
      Out.Holder = Requester->Holder;
  return Out;
}

std::pair<bool, decision::CallPreview>
DispatchService::preview(const GroupPtr &Entry,
                         decision::PendingCall Call) const {
  const core::TimePoint Now = Env.Time.now();
  if (const GroupState Target = findGroup(Entry->Hash)) {
    const std::lock_guard Lock(Target->Mutex);
    return {true, Target->Dispatcher->preview(std::move(Call), Now)};
  }
  const auto Fresh =
      decision::makeDispatcher(Entry->Group, Entry->Options, Now);
  Fresh->setRegular(false, Now);
  return {false, Fresh->preview(std::move(Call), Now)};
}

decision::QuotaPreview
DispatchService::previewQuota(std::uint64_t Workspace) const {
  return Quotas.preview(Workspace, Env.Time.now());
}

// As acquireInGroup: the dispatchers in rank before this VM that answered
// lately, then this VM itself.
void RemoteBroker::planDispatchers(const GroupEntry &Entry,
                                   GroupPlan &Out) const {
  const std::string Self = Env.Members.self().Id;
  const core::TimePoint Now = Env.Time.now();
  const std::vector<core::Member> Members = Env.Members.members();
  const std::vector<std::string> Ranked =
      decision::rankMembers(Entry.Group.Name, Entry.Group.Region, Members);
  const std::lock_guard Lock(Mutex);
  for (const std::string &Vm : Ranked) {
    if (Vm == Self || Out.Dispatchers.size() == MaxRemoteDispatchers)
      break;
    const auto Found = SuspectedUntil.find(Vm);
    const bool Suspected = Found != SuspectedUntil.end() && Now < Found->second;
    (Suspected ? Out.Suspected : Out.Dispatchers).push_back(Vm);
  }
  Out.Dispatchers.push_back(Self);
}

GroupPlan RemoteBroker::planGroup(const GroupPtr &Entry,
                                  const PlannedRequest &Request) const {
  GroupPlan Out{.Group = Entry->Group.Name,
                .Region = Entry->Group.Region,
                .Excluded = Request.Slot.Excluded};
  // A dispatcher decides on what another VM asks, whatever it ranks itself.
  if (Request.Vm.empty())
    planDispatchers(*Entry, Out);
  else
    Out.Dispatchers.push_back(Env.Members.self().Id);
  decision::PendingCall Call =
      Env.Dispatch.pendingCall(Request.Slot, Request.Vm);
  {
    const std::lock_guard Lock(Mutex);
    // What servers stated to this VM does not bind the requests of another one.
    if (Request.Vm.empty()) {
      Statements->appendAvoided(*Entry, Env.Time.now(), Out.Excluded);
      Call.Limits = Statements->limits(*Entry, Env.Time.now());
    }
  }
  core::SlotRequest Slot = Request.Slot;
  Slot.Excluded = Out.Excluded;
  // This VM decides in place of a dispatcher.
  if (!Out.Suspected.empty() && Out.Dispatchers.size() == 1)
    excludeColdServers(Slot);
  Call.Excluded = std::move(Slot.Excluded);
  std::tie(Out.Known, Out.Preview) =
      Env.Dispatch.preview(Entry, std::move(Call));
  return Out;
}

std::vector<GroupPlan> RemoteBroker::plan(const PlannedRequest &Request) const {
  std::vector<GroupPlan> Out;
  const GroupDirectory::Index Index = Env.Groups.current();
  if (!Request.Group.empty()) {
    if (const GroupPtr Entry = Index->find(core::hash64(Request.Group));
        Entry && Entry->Group.Service == Request.Slot.Service) {
      Out.push_back(planGroup(Entry, Request));
      Out.back().SharePercent = 100;
    }
    return Out;
  }
  std::vector<std::string> Excluded = Request.Slot.Excluded;
  const auto Found = Index->ByService.find(Request.Slot.Service);
  if (Found == Index->ByService.end())
    return Out;
  const core::TimePoint Now = Env.Time.now();
  {
    const std::lock_guard Lock(Mutex);
    for (const GroupPtr &Entry : Found->second)
      Statements->appendAvoided(*Entry, Now, Excluded);
  }
  const EligibleGroups Eligible =
      eligibleGroups(Found->second, Env.Members.self().Region, Excluded);
  if (Eligible.Groups.empty()) {
    Out.push_back(planGroup(Found->second.front(), Request));
    Out.back().SharePercent = 100;
    return Out;
  }
  std::vector<double> Weights;
  {
    const std::lock_guard Lock(Mutex);
    Weights = Choice.weights(Eligible.Candidates, Now);
  }
  const double Sum = std::accumulate(Weights.begin(), Weights.end(), 0.0);
  for (std::size_t At = 0; At < Weights.size(); ++At) {
    Out.push_back(planGroup(Eligible.Groups[At], Request));
    Out.back().SharePercent = Sum > 0 ? 100 * Weights[At] / Sum : 0;
  }
  std::stable_sort(Out.begin(), Out.end(),
                   [](const GroupPlan &Left, const GroupPlan &Right) {
                     return Left.SharePercent > Right.SharePercent;
                   });
  return Out;
}

} // namespace jujubecart::peers
