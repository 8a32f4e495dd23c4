#include <jujubecart/decision/workspace_quotas.hpp>

namespace jujubecart::decision {

// A copy decides, so that this workspace is not remembered and no room is
// promised.
QuotaPreview WorkspaceQuotas::preview(std::uint64_t Workspace,
                                      core::TimePoint Now) const {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Workspace);
  const bool New = Found == Entries.end();
  Entry Copy = New ? Entry(Rule.Window) : Found->second;
  applyQuota(Copy, New, Source(Workspace), Now);
  QuotaPreview Out{
      .Quota = Copy.Quota, .Window = Rule.Window, .Shared = reports()};
  if (Copy.Quota.limited()) {
    advance(Copy, Now);
    Out.Left = Out.Shared ? level(Copy, reachablePart(Now), Now) : Copy.Refill;
  }
  Out.Decision = decide(Copy, Now, false);
  return Out;
}

} // namespace jujubecart::decision
