#include <jujubecart/decision/internal/load_table.hpp>

#include <jujubecart/core/hash.hpp>
#include <jujubecart/decision/internal/hedge_timing.hpp>
#include <jujubecart/decision/internal/microseconds.hpp>

#include <algorithm>

namespace jujubecart::decision::internal {

namespace {

using namespace std::chrono_literals;

// Deducted if the entry VM most likely has to open a connection, which delays
// the call and may hold a slot; more than a call to another zone costs without
// a price of bytes (ZoneCosts).
constexpr double NewConnectionCost = 0.06;
// Price of a slot above which calls are not hedged. Under overload, hedges of
// calls that are only slow would keep the servers overloaded.
constexpr double MaxHedgePrice = 0.5;
// Network time between the entry VM and the caller; a call must end at the
// entry VM this long before its objective.
constexpr auto CallerNetworkTime = 6ms;
// Failure rate that is assumed of a server that did not answer its last probe.
constexpr double SilentFailureRate = 0.5;
// Assumed factor on the service times of a server that is cold. Its times are
// not learned, because they tell nothing about the server afterwards.
constexpr double ColdSlowdown = 2;
// Value of a call that meets its deadline but not its objective, relative to
// one that meets its objective.
constexpr double LateCallValue = 0.1;

double valueOf(Goal Aim) { return Aim == Goal::Objective ? 1 : LateCallValue; }

bool isCrossZone(const PendingCall &Call, const ServerLoad &Server) {
  return !Call.Zone.empty() && Call.Zone != Server.Config.Zone;
}

} // namespace

// The price of bytes is money, so it is not lower for a call that is worth
// less; the fixed price of a call without it is a part of its value.
//
// A late call has a tenth of the value, less than most prices. If its own zone
// has no capacity, it would wait there until its deadline, so it pays nothing.
double LoadTable::transferCost(const PendingCall &Call,
                               const ServerLoad &Server, Goal Aim,
                               core::TimePoint Now) const {
  const double Value = valueOf(Aim);
  const bool Connected = Server.Connections.has(core::hash64(Call.Holder), Now);
  const bool Free =
      Zones.priced() && Aim == Goal::Deadline && zoneShare(Call.Zone) <= 0;
  const double Zone =
      isCrossZone(Call, Server) && !Free
          ? Zones.price(Call.WorkClass) * (Zones.priced() ? 1 : Value)
          : 0;
  return Zone + (Connected ? 0 : Value * NewConnectionCost);
}

bool LoadTable::usable(const ServerLoad &Server, core::TimePoint Now) const {
  if (!Server.active() || !Server.Limiter.allows(Now))
    return false;
  // If all servers are unhealthy, the fault may be elsewhere: ejections are
  // ignored.
  if (!Server.Health.ejected() || UnhealthyServers == ActiveServers)
    return true;
  return Server.Health.trialDue(Now) && Server.inFlight() == 0;
}

std::uint32_t LoadTable::callLimit(const ServerLoad &Server,
                                   bool Saturate) const {
  return Saturate ? Server.slots() : Server.preferredLimit();
}

double LoadTable::onTimeProbability(const ServerLoad &Server, double ExpectedUs,
                                    core::TimePoint Until,
                                    core::TimePoint Now) const {
  const double AvailableUs = microseconds(Until - Now);
  const double SlowProbability = Pace.slowProbability(Server.Pace, Now);
  const bool Saturated = Server.inFlight() + 1 > Server.unsaturatedLimit();
  const double ServerUs = ExpectedUs * Server.ServiceTimeFactor *
                          (Server.Limiter.cold(Now) ? ColdSlowdown : 1) *
                          (Saturated ? Server.Saturation.factor() : 1);
  const double AtNormalPace =
      WorkModel::completionProbability(ServerUs, AvailableUs);
  const double AtSlowPace = WorkModel::completionProbability(
      ServerUs * Pace.slowFactor(), AvailableUs);
  return (1 - SlowProbability) * AtNormalPace + SlowProbability * AtSlowPace;
}

double LoadTable::saturationCost(const ServerLoad &Server,
                                 core::TimePoint Now) const {
  if (Server.inFlight() + 1 <= Server.unsaturatedLimit())
    return 0;
  // Assumed for calls that are about to reach or exceed their expected time.
  constexpr double MinRemainingShare = 0.2;
  double ExpectedMisses = 0;
  const double Slowdown =
      1 + Pace.slowProbability(Server.Pace, Now) * (Pace.slowFactor() - 1);
  for (const RunningCall &Call : Server.Calls) {
    const double TotalUs =
        Call.ExpectedUs * Server.ServiceTimeFactor * Slowdown;
    const double RemainingUs = std::max(
        TotalUs - microseconds(Now - Call.Start), TotalUs * MinRemainingShare);
    const double AvailableUs =
        microseconds(Call.Objective - CallerNetworkTime - Now);
    ExpectedMisses +=
        WorkModel::completionProbability(RemainingUs, AvailableUs) -
        WorkModel::completionProbability(RemainingUs * RunningSlowdown.factor(),
                                         AvailableUs);
  }
  return ExpectedMisses;
}

// Starting a call in a slow period occupies a slot for several service times,
// which other calls could have used once the period is over. Without reports,
// waiting for a better moment gains nothing.
double LoadTable::wasteCost(const ServerLoad &Server, double ExpectedUs,
                            core::TimePoint Now) const {
  if (!Pace.reported(Now) || Work.meanServiceTimeUs() <= 0)
    return 0;
  const double ExtraTimes =
      Pace.slowProbability(Server.Pace, Now) * (Pace.slowFactor() - 1);
  return slotPrice(Now) * ExtraTimes * ExpectedUs / Work.meanServiceTimeUs();
}

// A high share indicates a server that stopped without closing its connections.
double LoadTable::overdueShare(const ServerLoad &Server,
                               core::TimePoint Now) const {
  if (Server.Calls.empty())
    return 0;
  const auto Count = std::count_if(
      Server.Calls.begin(), Server.Calls.end(),
      [&](const RunningCall &Call) { return overdue(Server, Call, Now); });
  return double(Count) / double(Server.Calls.size());
}

bool LoadTable::overdue(const ServerLoad &Server, const RunningCall &Call,
                        core::TimePoint Now) const {
  const double Slowdown =
      Call.PacePercent ? std::max(1.0, *Call.PacePercent / PercentPerUnit)
                       : Pace.slowFactor();
  const double Saturation = Call.Saturated ? Server.Saturation.factor() : 1;
  const double Cold = Call.Cold || Server.Limiter.cold(Now) ? ColdSlowdown : 1;
  return microseconds(Now - Call.Start) > OverdueFactor * Slowdown * Cold *
                                              Saturation * Call.ExpectedUs *
                                              Server.ServiceTimeFactor;
}

core::TimePoint LoadTable::hedgeTime(const PendingCall &Call,
                                     std::uint32_t Index,
                                     core::TimePoint Now) const {
  if (slotPrice(Now) > MaxHedgePrice)
    return core::TimePoint::max();
  const ServerLoad &Server = Servers[Index];
  const bool Saturated = Server.inFlight() + 1 > Server.unsaturatedLimit();
  return internal::hedgeTime(
      Now, {.ExpectedUs = Work.expectedServiceTimeUs(Call, Now) *
                          Server.ServiceTimeFactor *
                          (Server.Limiter.cold(Now) ? ColdSlowdown : 1) *
                          (Saturated ? Server.Saturation.factor() : 1),
            .SlowProbability = Pace.slowProbability(Server.Pace, Now),
            .SlowFactor = Pace.slowFactor(),
            .FailureRate = Server.Failures.value(Now)});
}

// The response of a server in another zone arrives later, by the extra time of
// the round trip.
core::TimePoint LoadTable::endAtServer(const PendingCall &Call,
                                       const ServerLoad &Server,
                                       core::TimePoint End) const {
  if (End == core::TimePoint::max() || !isCrossZone(Call, Server))
    return End;
  return End - Zones.extraRoundTrip(Call.Zone, Server.Config.Zone);
}

std::optional<Placement> LoadTable::findBest(const PendingCall &Call, Goal Aim,
                                             bool Saturate,
                                             core::TimePoint Now) {
  std::optional<Placement> Best;
  const double ExpectedUs = Work.expectedServiceTimeUs(Call, Now);
  const double Value = valueOf(Aim);
  const core::TimePoint LatestEnd = latestEnd(Call, Aim);
  const CommonFailures &Common = commonFailures(Now);
  // Servers that leave are excluded from first attempts, too.
  const bool Retry = std::any_of(
      Call.Excluded.begin(), Call.Excluded.end(), [&](const std::string &Id) {
        const auto Excluded = find(Id);
        return Excluded && Servers[*Excluded].active();
      });
  for (std::uint32_t Index = 0; Index < size(); ++Index) {
    const ServerLoad &Server = Servers[Index];
    if (!usable(Server, Now) || Call.excludes(Server.Config.Id) ||
        Server.inFlight() >= callLimit(Server, Saturate))
      continue;
    const bool Trial =
        (Server.Health.ejected() && UnhealthyServers != ActiveServers) ||
        Server.Limiter.checkDue(Now);
    const double InTime = onTimeProbability(
        Server, ExpectedUs, endAtServer(Call, Server, LatestEnd), Now);
    const double Transfer = transferCost(Call, Server, Aim, Now);
    double Score = Value * InTime * (1 - failureRate(Server, Common, Now)) *
                   (1 - overdueShare(Server, Now));
    Score -= saturationCost(Server, Now) + wasteCost(Server, ExpectedUs, Now) +
             Transfer;
    // An ejected server must get a trial call at some time, and one with a rate
    // limit a call that shows whether it still applies. It should not be a
    // retry, so the score is reduced for calls with excluded servers.
    if (Trial)
      Score = Retry ? Score / 2 : Value * InTime;
    // Tie-breaker: prefers servers with fewer calls per slot.
    Score -= Value * 0.01 * Server.inFlight() / Server.slots();
    if (!Best || Score > Best->Score)
      Best = Placement{.Index = Index,
                       .InTimeProbability = InTime,
                       .Score = Score,
                       .KnownFast = Server.Pace && Server.Pace->fresh(Now) &&
                                    !PaceModel::isSlow(Server.Pace->Percent),
                       .TransferCost = Transfer};
  }
  return Best;
}

core::TimePoint LoadTable::latestEnd(const PendingCall &Call, Goal Aim) {
  const core::TimePoint Until =
      Aim == Goal::Objective ? Call.Objective : Call.Deadline;
  return Until == core::TimePoint::max() ? Until : Until - CallerNetworkTime;
}

// Both averages get a value for the same calls, so their difference is the
// average of the other failures.
double LoadTable::failureRate(const ServerLoad &Server,
                              const CommonFailures &Common,
                              core::TimePoint Now) {
  const double Rejections = Server.Rejections.value(Now);
  const double Others = std::max(Server.Failures.value(Now) - Rejections, 0.0);
  return std::max(std::min(Others + Common.expected(Rejections), 1.0),
                  Server.Silent ? SilentFailureRate : 0);
}

const CommonFailures &LoadTable::commonFailures(core::TimePoint Now) const {
  if (Summary && Summary->At == Now)
    return Summary->Common;
  Summary = FailureSummary{.At = Now, .Common = {}, .BestSuccessRate = {}};
  for (const ServerLoad &Server : Servers)
    if (usable(Server, Now))
      Summary->Common.add(Server.Rejections.value(Now));
  return Summary->Common;
}

// If all servers reject calls by chance, the one with the fewest rejections
// had them by chance; calls that waited for it would be held for nothing.
double LoadTable::bestSuccessRate(core::TimePoint Now) const {
  const CommonFailures &Common = commonFailures(Now);
  if (Summary->BestSuccessRate)
    return *Summary->BestSuccessRate;
  double LowestFailures = 1;
  for (const ServerLoad &Server : Servers)
    if (usable(Server, Now))
      LowestFailures =
          std::min(LowestFailures, failureRate(Server, Common, Now));
  Summary->BestSuccessRate = 1 - LowestFailures;
  return 1 - LowestFailures;
}

double LoadTable::onTimeProbabilityAfterWait(const PendingCall &Call,
                                             std::size_t Ahead,
                                             core::TimePoint Now) const {
  return onTimeProbabilityFrom(Call, Now + expectedWait(Ahead + 1, Now), Now);
}

double LoadTable::onTimeProbabilityFrom(const PendingCall &Call,
                                        core::TimePoint Start,
                                        core::TimePoint Now) const {
  const double AvailableUs =
      microseconds(Call.Objective - CallerNetworkTime - Start);
  // The pace is not considered: most servers that become free are fast, since
  // they have just finished a call.
  return WorkModel::completionProbability(Work.expectedServiceTimeUs(Call, Now),
                                          AvailableUs);
}

// A call that waits for its own zone waits longer than for any server, but pays
// nothing. If its zone has no capacity, waiting saves no bytes, so a server of
// another zone must not look worse than waiting because of its price.
double LoadTable::gainAfterWait(const PendingCall &Call, std::size_t Ahead,
                                core::TimePoint Now) const {
  const double Anywhere = onTimeProbabilityAfterWait(Call, Ahead, Now);
  if (!Zones.priced() || Call.Zone.empty())
    return Anywhere;
  const double Share = zoneShare(Call.Zone);
  const double Gain = Anywhere - (1 - Share) * Zones.price(Call.WorkClass);
  if (Share <= 0)
    return Gain;
  const auto OwnWait = std::chrono::microseconds(static_cast<std::int64_t>(
      (double(Ahead) + 1 / Share) * MicrosecondsPerSecond / capacityPerS(Now)));
  return std::max(Gain, onTimeProbabilityFrom(Call, Now + OwnWait, Now));
}

} // namespace jujubecart::decision::internal
