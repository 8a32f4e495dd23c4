#include <jujubecart/decision/workspace_quotas.hpp>

#include <algorithm>

namespace jujubecart::decision {

namespace {

using namespace std::chrono_literals;

constexpr double MilliPerUnit = 1000;
// How long a VM that has joined leaves requests to the other reporters at most.
// An answer takes one round trip once there is a link; a reporter that is lost
// never answers.
constexpr auto MaxHistoryWait = 1s;
// How often a reporter that has not answered is asked again.
constexpr auto AskInterval = 200ms;

} // namespace

void WorkspaceQuotas::noteRestart() {
  const std::lock_guard Lock(Mutex);
  Restarted = true;
}

void WorkspaceQuotas::join(core::TimePoint Now) {
  JoinedAt = Now;
  HistoryKnown = false;
  for (const std::string &Vm : Fleet.Reporters)
    if (Vm != Self)
      Awaited.try_emplace(Vm, core::TimePoint::min());
}

bool WorkspaceQuotas::knowsWindow(core::TimePoint Now) const {
  return HistoryKnown || Now - JoinedAt >= Rule.Window;
}

bool WorkspaceQuotas::awaitsHistory(core::TimePoint Now) const {
  return reports() && !Awaited.empty() && !knowsWindow(Now) &&
         Now - JoinedAt < MaxHistoryWait;
}

std::vector<std::string>
WorkspaceQuotas::takeHistoryRequests(core::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  std::vector<std::string> Out;
  if (!reports())
    return Out;
  for (auto &[Vm, AskedAt] : Awaited)
    if (AskedAt == core::TimePoint::min() || Now - AskedAt >= AskInterval) {
      AskedAt = Now;
      Out.push_back(Vm);
    }
  return Out;
}

QuotaHistory WorkspaceQuotas::history(core::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  QuotaHistory Out{.Complete = reports() && knowsWindow(Now), .Uses = {}};
  for (auto &[Workspace, Item] : Entries) {
    if (!Item.Quota.limited())
      continue;
    advance(Item, Now);
    for (const auto &[UsedAt, Amount] : Item.Use.history(Now))
      if (Amount > 0)
        Out.Uses.push_back(
            {.Workspace = Workspace,
             .AgeMs = static_cast<std::uint32_t>(
                 std::chrono::floor<std::chrono::milliseconds>(Now - UsedAt)
                     .count()),
             .MilliRequests =
                 static_cast<std::uint32_t>(Amount * MilliPerUnit)});
  }
  return Out;
}

void WorkspaceQuotas::recordHistory(std::string_view Sender,
                                    const QuotaHistory &Told,
                                    core::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  if (const auto Found = Awaited.find(Sender); Found != Awaited.end())
    Awaited.erase(Found);
  HistoryKnown = HistoryKnown || Told.Complete;
  std::map<std::uint64_t, std::vector<std::pair<core::TimePoint, double>>>
      ByWorkspace;
  for (const PastUse &Use : Told.Uses)
    ByWorkspace[Use.Workspace].emplace_back(
        Now - std::chrono::milliseconds(Use.AgeMs),
        Use.MilliRequests / MilliPerUnit);
  for (const auto &[Workspace, Uses] : ByWorkspace) {
    Entry &Item = entry(Workspace, Now);
    advance(Item, Now);
    const double Unseen =
        std::max<std::int32_t>(Item.Admitted, 0) / reachablePart(Now);
    Item.AtOnce -= Item.Use.raise(Uses, Unseen);
  }
}

} // namespace jujubecart::decision
