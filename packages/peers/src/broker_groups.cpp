#include "broker_state.hpp"

#include <algorithm>

namespace jujubecart::peers {

namespace {

bool hasEligibleServer(const GroupEntry &Entry,
                       const std::vector<std::string> &Excluded) {
  return std::any_of(Entry.Group.Servers.begin(), Entry.Group.Servers.end(),
                     [&](const core::BackendServer &Server) {
                       return Server.State == core::ServerState::Active &&
                              std::find(Excluded.begin(), Excluded.end(),
                                        Server.Id) == Excluded.end();
                     });
}

} // namespace

RemoteBroker::EligibleGroups
RemoteBroker::eligibleGroups(const std::vector<GroupPtr> &All,
                             const std::string &Region,
                             const std::vector<std::string> &Excluded) {
  EligibleGroups Out;
  for (const bool SameRegion : {true, false}) {
    for (const GroupPtr &Entry : All)
      if ((Entry->Group.Region == Region) == SameRegion &&
          hasEligibleServer(*Entry, Excluded)) {
        Out.Groups.push_back(Entry);
        Out.Candidates.push_back(
            {.Group = Entry->Hash, .Capacity = Entry->Capacity});
      }
    if (!Out.Groups.empty())
      break;
  }
  return Out;
}

GroupPtr RemoteBroker::chooseGroup(const core::SlotRequest &Request) {
  const GroupDirectory::Index Index = Env.Groups.current();
  const auto Found = Index->ByService.find(Request.Service);
  if (Found == Index->ByService.end())
    return nullptr;
  const EligibleGroups Eligible =
      eligibleGroups(Found->second, memberView()->Region, Request.Excluded);
  // Every server is excluded or not active, so the dispatcher will refuse.
  if (Eligible.Groups.empty())
    return Found->second.front();
  const std::lock_guard Lock(Mutex);
  return Eligible.Groups[Choice.choose(Eligible.Candidates, Env.Time.now())];
}

} // namespace jujubecart::peers
