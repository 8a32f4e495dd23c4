#include "broker_state.hpp"

namespace jujubecart::peers {

core::Result<core::SlotGrant> RemoteBroker::acquireFromFallback(
    const GroupEntry &Entry, const core::SlotRequest &Request,
    std::string_view Dispatcher, std::string_view Reason) {
  std::optional<QuotaUse> AloneUse;
  if (Request.Workspace != 0 && Request.CountsAgainstQuota) {
    AloneUse =
        QuotaUse{.Workspace = Request.Workspace, .CountedAt = Env.Time.now()};
    const decision::QuotaDecision Quota =
        Env.Dispatch.countAlone(*AloneUse, Request.Request);
    if (!Quota.Admitted) {
      if (Request.Hint)
        Request.Hint->RetryAt = Env.Time.now() + Quota.RetryAfter;
      return core::make_error_code(core::Error::QuotaExceeded);
    }
  }
  ++Env.Links.counters().Fallbacks;
  Env.Events.record({.Kind = "dispatch.fallback",
                     .Request = Request.Request,
                     .Peer = std::string(Dispatcher),
                     .Detail = Entry.Group.Name + ": " + std::string(Reason)});
  // Without a dispatcher nobody counts the requests of all VMs to a server that
  // states a rate limit.
  core::SlotRequest Unlimited = Request;
  // The request may have waited for a dispatcher since it was checked.
  excludeAvoidedServers(Unlimited);
  for (decision::StatedLimit &Item : statedLimits(Entry))
    Unlimited.Excluded.push_back(std::move(Item.ServerId));
  excludeColdServers(Unlimited);
  auto Grant = Env.Fallback.acquireNow(Unlimited);
  if (!Grant) {
    if (AloneUse)
      Env.Dispatch.giveBackAlone(*AloneUse);
    return Grant;
  }
  const GroupDirectory::Index Index = Env.Groups.current();
  const std::uint64_t Server = core::hash64(Grant->Server.Id);
  HeldGrant Item{.Entry = Index->find(Entry.Hash),
                 .Server = Grant->Server.Id,
                 .DispatcherLink = nullptr,
                 .Call = 0,
                 .Token = 0,
                 .Local = *Grant,
                 .AloneUse = AloneUse};
  // The fallback selects among all servers of the service, so the server may
  // belong to another group.
  if (const auto Groups = Index->ByService.find(Request.Service);
      Groups != Index->ByService.end())
    for (const GroupPtr &Group : Groups->second)
      if (Group->server(Server) != nullptr)
        Item.Entry = Group;
  return recordGrant(std::move(Item), *Grant);
}

// The fallback selects among the servers of all groups of the service.
void RemoteBroker::excludeColdServers(core::SlotRequest &Request) const {
  const GroupDirectory::Index Index = Env.Groups.current();
  const auto Found = Index->ByService.find(Request.Service);
  if (Found == Index->ByService.end())
    return;
  const core::TimePoint Now = Env.Time.now();
  for (const GroupPtr &Entry : Found->second)
    for (const core::BackendServer &Server : Entry->Group.Servers)
      if (Server.ColdLimit.MilliPerS != 0 && Now < Server.ColdUntil)
        Request.Excluded.push_back(Server.Id);
}

} // namespace jujubecart::peers
