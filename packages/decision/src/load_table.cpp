#include <jujubecart/decision/internal/load_table.hpp>

#include <jujubecart/decision/internal/microseconds.hpp>

#include <algorithm>
#include <cmath>

namespace jujubecart::decision::internal {

namespace {

using namespace std::chrono_literals;

// Bytes between zones cost the operators money: about this part of what a
// call in time is worth.
constexpr double FarCost = 0.04;
// Weights of one sample.
constexpr double SpeedWeight = 0.1;
constexpr double FailureWeight = 0.15;
// Bounds of the learned speed of a server.
constexpr double LeastSpeed = 0.5;
constexpr double MostSpeed = 8;
// A call that runs this many times its expected time is most likely lost.
constexpr double OverdueFactor = 2.5;
// Network time between the entry VM and the caller.
constexpr auto ReturnTime = 6ms;
// Servers that are probed for one choice, and how long it waits for them.
constexpr std::size_t ProbesPerChoice = 3;
constexpr auto ProbeWait = 12ms;
constexpr double MicrosecondsPerSecond = 1e6;

bool isFar(const PendingCall &Call, const ServerLoad &Server) {
  return !Call.Zone.empty() && Call.Zone != Server.Config.Zone;
}

} // namespace

LoadTable::LoadTable(const std::vector<core::BackendServer> &Configured,
                     DispatcherOptions Options)
    : Options(Options), Random(Options.Seed) {
  configure(Configured);
}

void LoadTable::configure(const std::vector<core::BackendServer> &Configured) {
  for (ServerLoad &Server : Servers)
    Server.Configured = false;
  for (const core::BackendServer &Config : Configured) {
    const auto [Known, New] = ById.emplace(Config.Id, size());
    if (New) {
      Servers.emplace_back().Config = Config;
      continue;
    }
    ServerLoad &Server = Servers[Known->second];
    // Another process: nothing learned applies to it.
    if (Server.Config.Address != Config.Address ||
        Server.Config.Incarnation != Config.Incarnation) {
      Server.Health = HealthTracker();
      Server.Pace.reset();
      Server.Speed = 1;
      Server.Saturation = SaturationModel();
      Server.FailureRate = 0;
      Server.Replaced = false;
    }
    Server.Config = Config;
    Server.Configured = true;
  }
  recount();
}

void LoadTable::recount() {
  Active = Ejected = Unhealthy = 0;
  UsableSlots = 0;
  for (const ServerLoad &Server : Servers) {
    if (!Server.active())
      continue;
    ++Active;
    if (!Server.Health.ejected())
      UsableSlots += Server.preferredLimit() / Server.Speed;
    Ejected += Server.Health.ejected();
    Unhealthy += Server.Health.unhealthy();
  }
}

bool LoadTable::usable(const ServerLoad &Server, core::TimePoint Now) const {
  if (!Server.active())
    return false;
  // If all look unhealthy, the fault may be elsewhere: all are used.
  if (!Server.Health.ejected() || Unhealthy == Active)
    return true;
  return Server.Health.trialDue(Now) && Server.inFlight() == 0;
}

std::uint32_t LoadTable::limit(const ServerLoad &Server, bool Saturate) const {
  return Saturate ? Server.slots() : Server.preferredLimit();
}

double LoadTable::onTime(const ServerLoad &Server, double WorkUs,
                         core::TimePoint Until, core::TimePoint Now) const {
  const double Available = microseconds(Until - Now);
  const double Slow = Pace.slowProbability(Server.Pace, Now);
  const bool Full = Server.inFlight() + 1 > Server.unsaturated();
  const double Expected =
      WorkUs * Server.Speed * (Full ? Server.Saturation.factor() : 1);
  const double Usual = WorkModel::endsWithin(Expected, Available);
  const double Spell =
      WorkModel::endsWithin(Expected * Pace.slowFactor(), Available);
  return (1 - Slow) * Usual + Slow * Spell;
}

// Calls that run on a server lose by another one that saturates it.
double LoadTable::harm(const ServerLoad &Server, core::TimePoint Now) const {
  if (Server.inFlight() + 1 <= Server.unsaturated())
    return 0;
  constexpr double LeastRemaining = 0.2;
  double Lost = 0;
  const double Factor =
      1 + Pace.slowProbability(Server.Pace, Now) * (Pace.slowFactor() - 1);
  for (const RunningCall &Call : Server.Calls) {
    const double Whole = Call.WorkUs * Server.Speed * Factor;
    const double Left = std::max(Whole - microseconds(Now - Call.Start),
                                 Whole * LeastRemaining);
    const double Available = microseconds(Call.Objective - ReturnTime - Now);
    Lost += WorkModel::endsWithin(Left, Available) -
            WorkModel::endsWithin(Left * Server.Saturation.factor(), Available);
  }
  return Lost;
}

// Part of the running calls that take far too long, as on a server that died
// without a word.
double LoadTable::overdue(const ServerLoad &Server, core::TimePoint Now) const {
  if (Server.Calls.empty())
    return 0;
  const auto Count = std::count_if(
      Server.Calls.begin(), Server.Calls.end(), [&](const RunningCall &Call) {
        return microseconds(Now - Call.Start) >
               OverdueFactor * Pace.slowFactor() * Call.WorkUs * Server.Speed;
      });
  return double(Count) / double(Server.Calls.size());
}

std::optional<Placement> LoadTable::best(const PendingCall &Call,
                                         core::TimePoint Until, bool Saturate,
                                         core::TimePoint Now) {
  std::optional<Placement> Best;
  const double WorkUs = Work.expectedUs(Call, Now);
  const core::TimePoint Last =
      Until == core::TimePoint::max() ? Until : Until - ReturnTime;
  for (std::uint32_t Index = 0; Index < size(); ++Index) {
    const ServerLoad &Server = Servers[Index];
    if (!usable(Server, Now) || Call.excludes(Server.Config.Id) ||
        Server.inFlight() >= limit(Server, Saturate))
      continue;
    const bool Trial = Server.Health.ejected() && Unhealthy != Active;
    const double OnTime = onTime(Server, WorkUs, Last, Now);
    const bool Far = isFar(Call, Server);
    double Value =
        OnTime * (1 - Server.FailureRate) * (1 - overdue(Server, Now));
    Value -= harm(Server, Now) + (Far ? FarCost : 0);
    // A server in doubt must be tried some time; retries do not pay for it.
    if (Trial)
      Value = Call.Excluded.empty() ? OnTime : Value / 2;
    // Among equal servers, one with fewer calls per slot.
    Value -= 0.01 * Server.inFlight() / Server.slots();
    if (!Best || Value > Best->Value)
      Best = Placement{.Index = Index,
                       .OnTime = OnTime,
                       .Value = Value,
                       .Fast = Server.Pace && Server.Pace->fresh(Now) &&
                               !PaceModel::isSlow(Server.Pace->Percent),
                       .Far = Far};
  }
  return Best;
}

bool LoadTable::requestProbes(const PendingCall &Call, bool NearOnly,
                              core::TimePoint Now,
                              std::vector<std::uint32_t> &Out) {
  std::vector<std::pair<double, std::uint32_t>> Stale;
  for (std::uint32_t Index = 0; Index < size(); ++Index) {
    const ServerLoad &Server = Servers[Index];
    const bool Far = isFar(Call, Server);
    if (!usable(Server, Now) || Call.excludes(Server.Config.Id) ||
        Server.inFlight() >= Server.preferredLimit() || (NearOnly && Far))
      continue;
    if (Server.Probing && Now - Server.LastProbe < ProbeWait)
      return true;
    const bool Known = Server.Pace && Server.Pace->fresh(Now);
    const bool Asked = Now < Server.LastProbe + 2 * ProbeWait;
    if (!Known && !Asked)
      Stale.emplace_back(Pace.slowProbability(Server.Pace, Now) +
                             (Far ? FarCost : 0) +
                             0.1 * Server.inFlight() / Server.slots(),
                         Index);
  }
  const std::size_t Count = std::min(Stale.size(), ProbesPerChoice);
  std::partial_sort(Stale.begin(),
                    Stale.begin() + static_cast<std::ptrdiff_t>(Count),
                    Stale.end());
  for (std::size_t At = 0; At < Count; ++At) {
    ServerLoad &Server = Servers[Stale[At].second];
    Server.LastProbe = Now;
    Server.Probing = true;
    Out.push_back(Stale[At].second);
  }
  return Count > 0;
}

void LoadTable::probed(std::uint32_t Index, const ProbeResult &Result,
                       core::TimePoint Now) {
  Servers[Index].Probing = false;
  if (Result.Load)
    pace(Index, Result.Load->PacePercent, Now);
}

double LoadTable::capacityPerS() const {
  const double Mean = Work.meanUs() > 0 ? Work.meanUs() : 1e5;
  return std::max(UsableSlots, 0.5) * MicrosecondsPerSecond /
         (Mean * Pace.meanFactor());
}

std::chrono::microseconds LoadTable::expectedWait(std::size_t Calls) const {
  return std::chrono::microseconds(static_cast<std::int64_t>(
      double(Calls) * MicrosecondsPerSecond / capacityPerS()));
}

double LoadTable::onTimeAfterWait(const PendingCall &Call, std::size_t Ahead,
                                  core::TimePoint Now) const {
  const core::TimePoint Start = Now + expectedWait(Ahead + 1);
  const double Available = microseconds(Call.Objective - ReturnTime - Start);
  // A server that becomes free has just finished a call, so most are fast.
  return WorkModel::endsWithin(Work.expectedUs(Call, Now), Available);
}

void LoadTable::start(std::uint32_t Index, RunningCall Call) {
  ServerLoad &Server = Servers[Index];
  if (Server.Pace && Server.Pace->fresh(Call.Start))
    Call.PacePercent = Server.Pace->Percent;
  Call.Saturated = Server.inFlight() + 1 > Server.unsaturated();
  Server.Calls.push_back(Call);
}

void LoadTable::forget(std::uint32_t Index, std::uint64_t GrantId) {
  std::erase_if(Servers[Index].Calls, [GrantId](const RunningCall &Call) {
    return Call.GrantId == GrantId;
  });
}

void LoadTable::finish(std::uint32_t Index, std::uint64_t GrantId,
                       const core::CallReport &Report, std::uint64_t WorkClass,
                       core::TimePoint Now) {
  ServerLoad &Server = Servers[Index];
  const auto Found = std::find_if(
      Server.Calls.begin(), Server.Calls.end(),
      [&](const RunningCall &Call) { return Call.GrantId == GrantId; });
  if (Found == Server.Calls.end())
    return;
  const RunningCall Call = *Found;
  Server.Calls.erase(Found);
  const bool Ran =
      Report.Outcome == core::CallOutcome::Completed && !Report.Failed;
  if (Ran && Call.PacePercent)
    learn(Server, Call, Report.Elapsed, WorkClass);
  result(Index, Report, Now);
}

void LoadTable::learn(ServerLoad &Server, const RunningCall &Call,
                      std::chrono::microseconds Elapsed,
                      std::uint64_t WorkClass) {
  constexpr double PercentPerUnit = 100;
  const double WorkUs = double(Elapsed.count()) * PercentPerUnit /
                        std::max(1U, *Call.PacePercent);
  const double ExpectedUs = Call.WorkUs * Server.Speed;
  if (Call.Saturated)
    return Server.Saturation.record(WorkUs / ExpectedUs);
  // A spell that began right before the call looks like slow work.
  if (WorkUs >= OverdueFactor * ExpectedUs)
    return;
  Work.record(WorkClass, WorkUs / Server.Speed);
  Server.Speed += (WorkUs / Call.WorkUs - Server.Speed) * SpeedWeight;
  Server.Speed = std::clamp(Server.Speed, LeastSpeed, MostSpeed);
}

void LoadTable::result(std::uint32_t Index, const core::CallReport &Report,
                       core::TimePoint Now) {
  ServerLoad &Server = Servers[Index];
  if (Report.Load)
    pace(Index, Report.Load->PacePercent, Now);
  if (Report.OtherInstance)
    Server.Replaced = true;
  core::CallReport Judged = Report;
  // A response that reports a failure says as much as a broken one.
  if (Report.Outcome == core::CallOutcome::Completed && Report.Failed)
    Judged.Outcome = core::CallOutcome::Broken;
  Server.Health.onResult(Judged, Now);
  if (Judged.Outcome != core::CallOutcome::Cancelled)
    judge(Server, Judged.Outcome != core::CallOutcome::Completed, Now);
  recount();
}

void LoadTable::judge(ServerLoad &Server, bool Failed, core::TimePoint Now) {
  Server.FailureRate += ((Failed ? 1 : 0) - Server.FailureRate) * FailureWeight;
  HealthTracker &Health = Server.Health;
  if (Health.ejected()) {
    if (Failed)
      Health.eject(Options, Now, Random);
    else
      Health.readmit(Now);
  } else if (Health.unhealthy() && Server.active() && Ejected < Active / 2) {
    Health.eject(Options, Now, Random);
  }
}

void LoadTable::pace(std::uint32_t Index, std::uint32_t Percent,
                     core::TimePoint Now) {
  Servers[Index].Pace = PaceSample{.Percent = Percent, .At = Now};
  Pace.record(Percent);
}

std::optional<std::uint32_t> LoadTable::find(std::string_view Id) const {
  const auto Found = ById.find(Id);
  if (Found == ById.end())
    return std::nullopt;
  return Found->second;
}

bool LoadTable::anyServerFor(const PendingCall &Call) const {
  return std::any_of(
      Servers.begin(), Servers.end(), [&](const ServerLoad &Server) {
        return Server.active() && !Call.excludes(Server.Config.Id);
      });
}

} // namespace jujubecart::decision::internal
