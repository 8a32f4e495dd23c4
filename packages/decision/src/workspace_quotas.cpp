#include <jujubecart/decision/workspace_quotas.hpp>

#include <algorithm>
#include <cmath>

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
// Time constant of the demand rates: demand moves between dispatchers
// within a second, and a workspace has a few requests a second.
constexpr Seconds DemandMemory{1.5};
// Tokens beyond the burst. Reports are late, so that the copies of a bucket
// show fewer tokens than there are.
constexpr double ExtraTokens = 4;
// Demand in parts of the quota that is divided evenly in addition to the known
// demand, because new demand may begin at any dispatcher.
constexpr double EvenDemandPart = 0.5;
constexpr double EvenDemandPerS = 1;
// The promise allows a tenth and 20 requests more than the quota in a window of
// 5 s. This part of it is lent to VMs beyond the tokens that are left, so that
// few requests are refused for being unevenly spread.
constexpr double LentPart = 0.5;
constexpr double LentQuotaS = 0.5;
constexpr double LentBurstPart = 0.1;
// More than the 20 of the promise: with 20, 4.4% instead of 3.1% of the
// requests below a limit of 1.6/s are refused. Simulated windows stay within
// the promise.
constexpr double LentRequests = 28;
// Time in which tokens that were used too many are saved.
constexpr Seconds DebtTime{1};
// A VM may use one token between two reports, however small its share, while
// at least this many are left.
constexpr double MinLevelForOne = 2;
constexpr auto MinRetryAfter = 100ms;
constexpr auto MaxRetryAfter = 5s;
// A workspace is forgotten after this time without requests.
constexpr auto IdleTime = 30s;
constexpr auto ForgetInterval = 1s;
// Part of the quotas for all VMs together that no report reaches. The others do
// not know of them for as long as they take them for live.
constexpr double AlonePart = 0.25;
// First tokens of a VM that no report reaches, in seconds of its share.
constexpr double AloneBurstS = 5;

// Tokens that are lent beyond those that are left.
double lent(const core::WorkspaceQuota &Quota) {
  return LentPart *
         (LentQuotaS * static_cast<double>(Quota.MilliPerS) / MilliPerUnit +
          LentBurstPart * static_cast<double>(Quota.Burst) + LentRequests);
}

double perS(const core::WorkspaceQuota &Quota) {
  return static_cast<double>(Quota.MilliPerS) / MilliPerUnit;
}

} // namespace

void WorkspaceQuotas::Rate::add(double Requests, core::TimePoint Now) {
  PerS = at(Now) + Requests / DemandMemory.count();
  At = Now;
}

double WorkspaceQuotas::Rate::at(core::TimePoint Now) const {
  return PerS == 0 ? 0 : PerS * std::exp(-Seconds(Now - At) / DemandMemory);
}

WorkspaceQuotas::WorkspaceQuotas(std::string Self, QuotaSource Source,
                                 core::TimePoint Now)
    : Self(std::move(Self)), Source(std::move(Source)), JoinedAt(Now),
      ReportedAt(Now), ActiveAt(Now - ReportsAfterDemand), ForgottenAt(Now) {}

bool WorkspaceQuotas::reports() const { return Fleet.Reporters.contains(Self); }

void WorkspaceQuotas::setFleet(QuotaFleet NewFleet, core::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  const bool Before = reports();
  const std::size_t CountBefore = Fleet.Reporters.size();
  // A VM that has just become a reporter has the time of one to report.
  for (const std::string &Vm : NewFleet.Reporters)
    if (Vm != Self && !Fleet.Reporters.contains(Vm))
      HeardAt.insert_or_assign(Vm, Now);
  Fleet = std::move(NewFleet);
  std::erase_if(HeardAt, [&](const auto &Item) {
    return !Fleet.Reporters.contains(Item.first);
  });
  if (!reports() || (Before && Fleet.Reporters.size() <= CountBefore))
    return;
  // What the others used is not known yet.
  if (!Before)
    JoinedAt = Now;
  for (auto &[Workspace, Item] : Entries) {
    advance(Item, Now);
    Item.Level = std::min(Item.Level, firstLevel(Item.Quota, Now));
  }
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
  const double OfReporters = (Count - Unheard) / Count;
  const double OfFleet =
      static_cast<double>(std::max<std::size_t>(Fleet.Live, 1)) /
      static_cast<double>(std::max<std::size_t>({Fleet.Known, Fleet.Live, 1}));
  return std::min(OfReporters, OfFleet);
}

double WorkspaceQuotas::capacity(const core::WorkspaceQuota &Quota,
                                 double Part) const {
  return (static_cast<double>(Quota.Burst) + ExtraTokens) * Part;
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
  const double Share = share(Item, Now);
  if (!reports()) {
    Item.Refill =
        std::min(1.0, Item.Refill + Share * perS(Item.Quota) * Elapsed);
    return;
  }
  const double Part = reachablePart(Now);
  const double Rate = perS(Item.Quota) * Part;
  Item.Level =
      std::min(Item.Level + Rate * Elapsed, capacity(Item.Quota, Part));
  const double Saving =
      Rate > 0
          ? std::clamp(1 + Item.Level / (Rate * DebtTime.count()), 0.0, 1.0)
          : 0;
  const double MaxRefill = 1 + Share * Rate * Seconds(ReportInterval).count();
  Item.Refill =
      std::min(Item.Refill + Share * Rate * Saving * Elapsed, MaxRefill);
}

// What others used before this VM joined them is not known, so it starts with
// an even share.
double WorkspaceQuotas::firstLevel(const core::WorkspaceQuota &Quota,
                                   core::TimePoint Now) const {
  const double Full = capacity(Quota, reachablePart(Now));
  const auto Count =
      static_cast<double>(std::max<std::size_t>(Fleet.Reporters.size(), 1));
  return std::min(Full,
                  Full / Count + perS(Quota) * Seconds(Now - JoinedAt).count());
}

WorkspaceQuotas::Entry &WorkspaceQuotas::entry(std::uint64_t Workspace,
                                               core::TimePoint Now) {
  const auto [Found, New] = Entries.try_emplace(Workspace);
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
    Item.Level = firstLevel(Quota, Now);
    if (!reports())
      Item.Refill = std::min(1.0, AloneBurstS * perS(Quota) * share(Item, Now));
  } else if (Quota != Item.Quota) {
    advance(Item, Now);
    const double Part = reachablePart(Now);
    const double Growth = capacity(Quota, Part) - capacity(Item.Quota, Part);
    if (!Item.Quota.limited())
      Item.Level = capacity(Quota, Part);
    else
      Item.Level =
          std::min(Item.Level + std::max(0.0, Growth), capacity(Quota, Part));
    Item.Quota = Quota;
    Item.Refill = 0;
    Item.PromisedUntil = Now;
  }
}

bool WorkspaceQuotas::admit(Entry &Item, double Share,
                            core::TimePoint Now) const {
  if (reports()) {
    const double Used = std::max<std::int32_t>(Item.Admitted, 0);
    // Level already lacks what this VM used since its last report.
    const double Usable =
        Share * (Item.Level + Used + lent(Item.Quota) * reachablePart(Now));
    const bool First = Item.Admitted <= 0 && Item.Level >= MinLevelForOne;
    if (Item.Level >= 1 && (Used + 1 <= Usable || First)) {
      Item.Refill = std::max(0.0, Item.Refill - 1);
      return true;
    }
  }
  if (Item.Refill < 1)
    return false;
  Item.Refill -= 1;
  return true;
}

// Gives each refused request a time of its own, at the rate at which tokens
// come, so that the callers do not return all at once.
std::chrono::milliseconds WorkspaceQuotas::promise(Entry &Item, double PerS,
                                                   core::TimePoint Now) const {
  const Seconds Step(PerS > 0 ? 1 / PerS : Seconds(MaxRetryAfter).count());
  const Seconds Wait =
      std::max(Seconds(Item.PromisedUntil - Now), Seconds(0)) + Step;
  const auto RetryAfter =
      std::clamp(std::chrono::ceil<std::chrono::milliseconds>(
                     std::min(Wait, Seconds(MaxRetryAfter))),
                 std::chrono::milliseconds(MinRetryAfter),
                 std::chrono::milliseconds(MaxRetryAfter));
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
  if (!Out.Admitted)
    Out.RetryAfter = promise(Item, Share * perS(Item.Quota), Now);
  return Out;
}

QuotaPreview WorkspaceQuotas::preview(std::uint64_t Workspace,
                                      core::TimePoint Now) const {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Workspace);
  const bool New = Found == Entries.end();
  Entry Copy = New ? Entry() : Found->second;
  applyQuota(Copy, New, Source(Workspace), Now);
  QuotaPreview Out{.Quota = Copy.Quota, .Shared = reports()};
  if (Copy.Quota.limited()) {
    advance(Copy, Now);
    Out.Left = Out.Shared ? Copy.Level : Copy.Refill;
  }
  Out.Decision = decide(Copy, Now, false);
  return Out;
}

bool WorkspaceQuotas::decidesForOthers(std::uint64_t Workspace) const {
  const std::lock_guard Lock(Mutex);
  return reports() || !Source(Workspace).limited();
}

QuotaDecision WorkspaceQuotas::request(std::uint64_t Workspace,
                                       core::TimePoint Now, bool Alone) {
  const std::lock_guard Lock(Mutex);
  Entry &Item = entry(Workspace, Now);
  const QuotaDecision Out = decide(Item, Now, Alone);
  ++Item.Demanded;
  if (Out.Admitted) {
    Item.Level -= 1;
    ++Item.Admitted;
  }
  Unreported.insert(Workspace);
  recordDemand(Now);
  // Half of the share is used.
  Urgent = Urgent || (Item.Quota.limited() && Item.Admitted >= 2 &&
                      2.0 * Item.Admitted >=
                          share(Item, Now) *
                              (Item.Level + Item.Admitted + lent(Item.Quota)));
  return Out;
}

void WorkspaceQuotas::recordDemand(core::TimePoint Now) {
  if (Now - ActiveAt > ReportsAfterDemand)
    ActiveSince = Now;
  ActiveAt = Now;
}

void WorkspaceQuotas::giveBack(std::uint64_t Workspace, core::TimePoint Now) {
  const std::lock_guard Lock(Mutex);
  Entry &Item = entry(Workspace, Now);
  advance(Item, Now);
  Item.Level += 1;
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
    Item.Level -= Use.Admitted;
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
    return Now - Item.second.LastUsed > IdleTime;
  });
}

std::size_t WorkspaceQuotas::size() const {
  const std::lock_guard Lock(Mutex);
  return Entries.size();
}

} // namespace jujubecart::decision
