#include <jujubecart/decision/workspace_quotas.hpp>

#include <algorithm>

namespace jujubecart::decision {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double MilliPerUnit = 1000;
// Requests beyond the quota. Reports are late and what they say expires late,
// so that the VMs see less room than there is.
constexpr double ExtraRequests = 4;
// These parts of the excess and the slack of the agreement are lent to VMs
// beyond what is left, so that few requests are refused for being unevenly
// spread. With half of the slack, token buckets refused 4.4% instead of 3.1% of
// the requests below a limit of 1.6/s.
constexpr double LentExcess = 0.25;
constexpr double LentSlack = 0.7;
// Part of the slack that may be used at once while more is demanded than the
// quota. Small workspaces have a few requests a second, which come in groups.
constexpr double AtOnceSlack = 0.7;
// Part of a window's quota from which it counts as used up.
constexpr double UsedUpPart = 0.9;

} // namespace

double WorkspaceQuotas::perS(const core::WorkspaceQuota &Quota) {
  return static_cast<double>(Quota.MilliPerS) / MilliPerUnit;
}

// Requests in a window without excess and slack.
double WorkspaceQuotas::perWindow(const core::WorkspaceQuota &Quota) const {
  return perS(Quota) * Seconds(Rule.Window).count() +
         static_cast<double>(Quota.Burst);
}

// Requests that are lent beyond those that are left.
double WorkspaceQuotas::lent(const core::WorkspaceQuota &Quota) const {
  return LentExcess * Rule.Excess * perWindow(Quota) + LentSlack * Rule.Slack;
}

bool WorkspaceQuotas::exceeded(const Entry &Item, core::TimePoint Now) const {
  return Item.Demand.at(Now) * Seconds(Rule.Window).count() >
         perWindow(Item.Quota) + ExtraRequests;
}

// A window's quota may be used at once. But a workspace that goes on to send
// more than the quota would then use each window at its start and get nothing
// for the rest of it.
double WorkspaceQuotas::maxAtOnce(const Entry &Item,
                                  core::TimePoint Now) const {
  const double AllAtOnce = perWindow(Item.Quota) + ExtraRequests;
  const bool UsedUp = Item.Use.total() >= UsedUpPart * perWindow(Item.Quota);
  if (!UsedUp || !exceeded(Item, Now))
    return AllAtOnce;
  return std::min(AllAtOnce, AtOnceSlack * Rule.Slack);
}

// Use is scaled up by the part of the fleet that was in reach when it was
// counted, so that a side of a partition answers for its part of the use
// before, and takes the other side's use for as much as its own after.
double WorkspaceQuotas::room(const Entry &Item, core::TimePoint Now) const {
  return perWindow(Item.Quota) + ExtraRequests - Item.Use.total() -
         unknownUse(Item, Now);
}

// Requests that the VMs in reach may admit now.
double WorkspaceQuotas::level(const Entry &Item, double Part,
                              core::TimePoint Now) const {
  return Part * std::min(room(Item, Now), Item.AtOnce);
}

// Use before this VM joined the others that no VM has told it: all that was not
// this VM's even share, or all if an earlier process of it may have used that.
// It expires at the rate of the quota, since the burst may have been used last;
// not at all for a window if there is demand for more than the quota.
double WorkspaceQuotas::unknownUse(const Entry &Item,
                                   core::TimePoint Now) const {
  if (!reports() || knowsWindow(Now))
    return 0;
  const double PerWindow = perWindow(Item.Quota) + ExtraRequests;
  const double Expired =
      exceeded(Item, Now) ? 0
                          : perS(Item.Quota) * Seconds(Now - JoinedAt).count();
  const double OwnPart =
      Restarted ? 0 : 1 / static_cast<double>(Fleet.Reporters.size());
  return std::max(0.0, PerWindow * (1 - OwnPart) - Expired -
                           Item.Use.totalBefore(JoinedAt));
}

} // namespace jujubecart::decision
