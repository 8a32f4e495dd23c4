#include <jujubecart/decision/workspace_quotas.hpp>

#include <algorithm>

namespace jujubecart::decision {

namespace {

using namespace std::chrono_literals;
using Seconds = std::chrono::duration<double>;

constexpr double MilliPerUnit = 1000;
// Time between two reports, and the least if a VM has used much of its share.
constexpr auto ReportInterval = 200ms;
constexpr auto UrgentInterval = 50ms;
// A VM reports for so long after the last demand, so that the others can tell
// it from one that is cut off.
constexpr auto ReportsAfterDemand = 10s;
// Reports of a VM arrive at least every 200 ms. Without one for this time the
// VM is taken for cut off, and its part of the quotas stays unused here.
constexpr auto UnheardAfter = 300ms;
// A VM that stood still for this time may lack reports: its peers keep those
// that they could not send for so long.
constexpr auto MaxStandstill = 1s;
// A VM that reached a smaller part of the fleet does not know enough of what
// was used.
constexpr double KnownPart = 0.5;
// Demand in parts of the quota that is divided evenly in addition to the known
// demand, because new demand may begin at any dispatcher.
constexpr double EvenDemandPart = 0.5;
constexpr double EvenDemandPerS = 1;
// Time in which requests that were admitted too many are saved.
constexpr Seconds DebtTime{1};
// A VM may admit one request between two reports, however small its share,
// while there is room for at least this many.
constexpr double MinLevelForOne = 2;
constexpr auto MinRetryAfter = 100ms;
// What was used last expires after one window; the refused callers are spread
// over a second one.
constexpr int MaxRetryWindows = 2;
// A workspace is forgotten after this time without requests, at least after two
// windows.
constexpr auto IdleTime = 30s;
constexpr auto ForgetInterval = 1s;
// Part of the quotas for all VMs together that no report reaches. The others do
// not know of them for as long as they take them for live.
constexpr double AlonePart = 0.25;
// First requests of a VM that no report reaches, in seconds of its share.
constexpr double AloneBurstS = 5;

// Part of the known VMs that are live.
double livePart(const QuotaFleet &Fleet) {
  return static_cast<double>(std::max<std::size_t>(Fleet.Live, 1)) /
         static_cast<double>(
             std::max<std::size_t>({Fleet.Known, Fleet.Live, 1}));
}

} // namespace

WorkspaceQuotas::WorkspaceQuotas(std::string Self, QuotaSource Source,
                                 core::TimePoint Now, QuotaRule Rule)
    : Self(std::move(Self)), Source(std::move(Source)), Rule(Rule),
      JoinedAt(Now), TickedAt(Now), ReportedAt(Now),
      ActiveAt(Now - ReportsAfterDemand), ForgottenAt(Now) {}

bool WorkspaceQuotas::reports() const { return Fleet.Reporters.contains(Self); }

void WorkspaceQuotas::setFleet(QuotaFleet NewFleet, core::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  const bool Before = reports();
  const double PartBefore = livePart(Fleet);
  // A VM that has just become a reporter has the time of one to report.
  for (const std::string &Vm : NewFleet.Reporters)
    if (Vm != Self && !Fleet.Reporters.contains(Vm)) {
      HeardAt.insert_or_assign(Vm, Now);
      if (!knowsWindow(Now))
        Awaited.try_emplace(Vm, core::TimePoint::min());
    }
  Fleet = std::move(NewFleet);
  std::erase_if(HeardAt, [&](const auto &Item) {
    return !Fleet.Reporters.contains(Item.first);
  });
  std::erase_if(Awaited, [&](const auto &Item) {
    return !Fleet.Reporters.contains(Item.first);
  });
  // What most of the others used before is not known.
  const bool Rejoined = PartBefore < KnownPart && livePart(Fleet) > PartBefore;
  if (reports() && (!Before || Rejoined))
    join(Now);
}

// The parts of the VMs on all sides of a partition add up to at most one, so
// that no side needs to know what the others do.
double WorkspaceQuotas::reachablePart(core::TimePoint Now) const {
  // Without demand nobody reports, and silence says nothing.
  const bool Expected = Now - ActiveAt <= ReportsAfterDemand;
  double Unheard = 0;
  for (const std::string &Vm : Fleet.Reporters) {
    const auto Found = HeardAt.find(Vm);
    if (Expected && Found != HeardAt.end() &&
        Now - std::max(Found->second, ActiveSince) > UnheardAfter)
      ++Unheard;
  }
  const auto Count =
      static_cast<double>(std::max<std::size_t>(Fleet.Reporters.size(), 1));
  // A VM that doesn't report yet has not heard any.
  const double OfReporters = std::max(Count - Unheard, 1.0) / Count;
  return std::min(OfReporters, livePart(Fleet));
}

// All VMs compute the shares from the same reports. New demand is not in them
// yet, and is assumed to be spread evenly.
double WorkspaceQuotas::share(const Entry &Item, core::TimePoint Now) const {
  if (!reports())
    return AlonePart /
           static_cast<double>(std::max<std::size_t>(Fleet.Known, 1));
  const double Even = EvenDemandPart * perS(Item.Quota) + EvenDemandPerS;
  const auto Count = static_cast<double>(Fleet.Reporters.size());
  return (Item.OwnDemand.at(Now) + Even / Count) / (Item.Demand.at(Now) + Even);
}

void WorkspaceQuotas::advance(Entry &Item, core::TimePoint Now) const {
  const double Elapsed = std::max(0.0, Seconds(Now - Item.At).count());
  Item.At = std::max(Item.At, Now);
  const double Expired = Item.Use.expire(Now);
  const double PerS = perWindow(Item.Quota) / Seconds(Rule.Window).count();
  Item.AtOnce = std::min(Item.AtOnce + PerS * Elapsed, maxAtOnce(Item, Now));
  const double Share = share(Item, Now);
  if (!reports()) {
    Item.Refill =
        std::min(1.0, Item.Refill + Share * perS(Item.Quota) * Elapsed);
    return;
  }
  const double Part = reachablePart(Now);
  const double Rate = PerS * Part;
  const double Saving =
      Rate > 0
          ? std::clamp(1 + level(Item, Part, Now) / (Rate * DebtTime.count()),
                       0.0, 1.0)
          : 0;
  const double MaxRefill = 1 + Share * Rate * Seconds(ReportInterval).count();
  Item.Refill =
      std::min(Item.Refill + Share * Part * Expired * Saving, MaxRefill);
}

WorkspaceQuotas::Entry &WorkspaceQuotas::entry(std::uint64_t Workspace,
                                               core::TimePoint Now) {
  const auto [Found, New] = Entries.try_emplace(Workspace, Rule.Window);
  applyQuota(Found->second, New, Source(Workspace), Now);
  Found->second.LastUsed = Now;
  return Found->second;
}

void WorkspaceQuotas::applyQuota(Entry &Item, bool New,
                                 const core::WorkspaceQuota &Quota,
                                 core::TimePoint Now) const {
  if (New) {
    Item.Quota = Quota;
    Item.At = Now;
    Item.AtOnce = maxAtOnce(Item, Now);
    if (!reports())
      Item.Refill = std::min(1.0, AloneBurstS * perS(Quota) * share(Item, Now));
  } else if (Quota != Item.Quota) {
    // What was used counts against the new quota.
    advance(Item, Now);
    Item.Quota = Quota;
    Item.AtOnce = maxAtOnce(Item, Now);
    Item.Refill = 0;
    Item.PromisedUntil = Now;
  }
}

bool WorkspaceQuotas::admit(Entry &Item, double Share,
                            core::TimePoint Now) const {
  if (reports()) {
    const double Part = reachablePart(Now);
    const double Level = level(Item, Part, Now);
    const double Used = std::max<std::int32_t>(Item.Admitted, 0);
    // Level already lacks what this VM used since its last report.
    const double Usable = Share * (Level + Used + lent(Item.Quota) * Part);
    const bool First = Item.Admitted <= 0 && Level >= MinLevelForOne;
    if (Level >= 1 && (Used + 1 <= Usable || First)) {
      Item.Refill = std::max(0.0, Item.Refill - 1);
      return true;
    }
  }
  if (Item.Refill < 1)
    return false;
  Item.Refill -= 1;
  return true;
}

// Gives each refused request a time of its own, from when there is room again
// on and at the rate of the quota, so that the callers do not return all at
// once.
std::chrono::milliseconds WorkspaceQuotas::promise(Entry &Item, double Share,
                                                   core::TimePoint Now) const {
  const double Part = reports() ? reachablePart(Now) : 1;
  const Seconds MaxWait = Rule.Window * MaxRetryWindows;
  const Seconds Step = std::min(
      MaxWait, Seconds(Rule.Window) / (Share * Part * perWindow(Item.Quota)));
  const double Missing = reports() ? 1 / Part - room(Item, Now) : 0;
  const core::TimePoint Room = Item.Use.expiresAt(Missing);
  const Seconds Wait =
      std::max(Seconds(std::max(Item.PromisedUntil, Room) - Now), Seconds(0)) +
      Step;
  const auto RetryAfter = std::clamp(
      std::chrono::ceil<std::chrono::milliseconds>(std::min(Wait, MaxWait)),
      std::chrono::milliseconds(MinRetryAfter),
      std::chrono::milliseconds(Rule.Window * MaxRetryWindows));
  Item.PromisedUntil = Now + RetryAfter;
  return RetryAfter;
}

QuotaDecision WorkspaceQuotas::decide(Entry &Item, core::TimePoint Now,
                                      bool Alone) const {
  QuotaDecision Out;
  Out.DemandPerS = static_cast<std::uint32_t>(Item.Demand.at(Now));
  if (LastHeard)
    Out.ReportAge =
        std::chrono::duration_cast<std::chrono::milliseconds>(Now - *LastHeard);
  if (!Item.Quota.limited())
    return Out;
  advance(Item, Now);
  const double Share = share(Item, Now);
  Out.ShareMilli = static_cast<std::uint32_t>(Share * MilliPerUnit);
  // A VM that reports divides with the others, which do not know what it
  // decides without a dispatcher.
  Out.Admitted = !(Alone && reports()) && admit(Item, Share, Now);
  Out.AwaitsHistory = !Out.Admitted && !Alone && awaitsHistory(Now);
  if (!Out.Admitted && !Out.AwaitsHistory)
    Out.RetryAfter = promise(Item, Share, Now);
  return Out;
}

QuotaDecision WorkspaceQuotas::request(std::uint64_t Workspace,
                                       core::TimePoint Now, bool Alone) {
  const std::lock_guard Lock(Mutex);
  Entry &Item = entry(Workspace, Now);
  QuotaDecision Out = decide(Item, Now, Alone);
  const core::TimePoint Due = dueAt();
  ++Item.Demanded;
  const double Part = reachablePart(Now);
  if (Out.Admitted) {
    Item.Use.add(1 / Part, Now);
    Item.AtOnce -= 1 / Part;
    ++Item.Admitted;
  }
  Unreported.insert(Workspace);
  recordDemand(Now);
  // Half of the share is used.
  Urgent =
      Urgent || (Item.Quota.limited() && Item.Admitted >= 2 &&
                 2.0 * Item.Admitted >=
                     share(Item, Now) * (level(Item, Part, Now) +
                                         Item.Admitted + lent(Item.Quota)));
  Out.AdvancesReport = reports() && dueAt() < Due;
  return Out;
}

void WorkspaceQuotas::recordDemand(core::TimePoint Now) {
  if (Now - ActiveAt > ReportsAfterDemand)
    ActiveSince = Now;
  ActiveAt = Now;
}

void WorkspaceQuotas::giveBack(std::uint64_t Workspace,
                               core::TimePoint CountedAt, core::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  Entry &Item = entry(Workspace, Now);
  advance(Item, Now);
  // What has expired is no longer counted by the others either.
  const double Removed = Item.Use.remove(1 / reachablePart(Now), CountedAt);
  if (Removed <= 0)
    return;
  Item.AtOnce += Removed;
  // A VM that doesn't report decides by what it has saved up.
  if (!reports())
    Item.Refill = std::min(1.0, Item.Refill + 1);
  --Item.Admitted;
  Unreported.insert(Workspace);
}

void WorkspaceQuotas::recordReport(std::string_view Sender,
                                   const std::vector<WorkspaceUse> &Items,
                                   core::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  if (const auto Found = HeardAt.find(Sender); Found != HeardAt.end())
    Found->second = Now;
  LastHeard = Now;
  // All reporters report while any of them has demand, so that their number
  // does not grow at the moment at which some are cut off.
  if (!Items.empty())
    recordDemand(Now);
  for (const WorkspaceUse &Use : Items) {
    Entry &Item = entry(Use.Workspace, Now);
    advance(Item, Now);
    const double Amount = Use.Admitted / reachablePart(Now);
    Item.AtOnce -= Amount;
    if (Amount >= 0)
      Item.Use.add(Amount, Now);
    else
      Item.Use.removeNewest(-Amount);
    Item.Demand.add(Use.Demanded, Now);
  }
}

core::TimePoint WorkspaceQuotas::dueAt() const {
  const core::TimePoint Due =
      ReportedAt + (Urgent ? UrgentInterval : ReportInterval);
  return Due - ActiveAt <= ReportsAfterDemand ? Due : core::TimePoint::max();
}

core::TimePoint WorkspaceQuotas::nextReport() const {
  const std::lock_guard Lock(Mutex);
  return reports() ? dueAt() : core::TimePoint::max();
}

std::optional<std::vector<WorkspaceUse>>
WorkspaceQuotas::takeReport(core::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  if (Now - ForgottenAt >= ForgetInterval)
    forgetIdle(Now);
  // This process stood still, and may not have been sent what was used.
  if (reports() && Now - TickedAt >= MaxStandstill)
    join(Now);
  TickedAt = Now;
  if (Now < dueAt())
    return std::nullopt;
  std::vector<WorkspaceUse> Items;
  Items.reserve(Unreported.size());
  for (const std::uint64_t Workspace : Unreported) {
    const auto Found = Entries.find(Workspace);
    if (Found == Entries.end())
      continue;
    Entry &Item = Found->second;
    Items.push_back({.Workspace = Workspace,
                     .Demanded = Item.Demanded,
                     .Admitted = Item.Admitted});
    Item.Demand.add(Item.Demanded, Now);
    Item.OwnDemand.add(Item.Demanded, Now);
    Item.Demanded = 0;
    Item.Admitted = 0;
  }
  Unreported.clear();
  Urgent = false;
  ReportedAt = Now;
  if (!reports())
    return std::nullopt;
  return Items;
}

void WorkspaceQuotas::forgetIdle(core::TimePoint Now) {
  ForgottenAt = Now;
  std::erase_if(Entries, [&](const auto &Item) {
    return Now - Item.second.LastUsed >
           std::max<core::TimePoint::duration>(IdleTime, Rule.Window * 2);
  });
}

} // namespace jujubecart::decision
