#include <jujubecart/decision/internal/load_table.hpp>

#include <jujubecart/decision/internal/microseconds.hpp>
#include <jujubecart/decision/rejected_call.hpp>

#include <algorithm>

namespace jujubecart::decision::internal {

namespace {

// Weight of one sample in the moving average.
constexpr double ServiceTimeFactorWeight = 0.1;
// Bounds of the learned service time factor of a server.
constexpr double MinServiceTimeFactor = 0.5;
constexpr double MaxServiceTimeFactor = 8;
// Share of its expected time before which a call must have been joined by a
// further one to show whether running calls are slowed.
constexpr double MaxJoinShare = 0.3;

} // namespace

void LoadTable::startCall(std::uint32_t Index, RunningCall Call) {
  ServerLoad &Server = Servers[Index];
  if (Server.Pace && Server.Pace->fresh(Call.Start))
    Call.PacePercent = Server.Pace->Percent;
  Call.Saturated = Server.inFlight() + 1 > Server.unsaturatedLimit();
  if (Call.Saturated)
    for (RunningCall &Running : Server.Calls)
      if (!Running.Saturated && !Running.JoinedAt)
        Running.JoinedAt = Call.Start;
  Server.Limiter.take(Call.Start);
  Call.Incarnation = Server.Config.Incarnation;
  Call.Cold = Server.Limiter.cold(Call.Start);
  Server.Connections.take(Call.Holder);
  Server.Calls.push_back(Call);
}

void LoadTable::removeCall(std::uint32_t Index, std::uint64_t GrantId) {
  std::erase_if(Servers[Index].Calls, [GrantId](const RunningCall &Call) {
    return Call.GrantId == GrantId;
  });
}

void LoadTable::finishCall(std::uint32_t Index, std::uint64_t GrantId,
                           const core::CallReport &Report,
                           std::uint64_t WorkClass, core::TimePoint Now) {
  ServerLoad &Server = Servers[Index];
  const auto Found = std::find_if(
      Server.Calls.begin(), Server.Calls.end(),
      [&](const RunningCall &Call) { return Call.GrantId == GrantId; });
  if (Found == Server.Calls.end())
    return;
  const RunningCall Call = *Found;
  Server.Calls.erase(Found);
  const bool Succeeded =
      Report.Outcome == core::CallOutcome::Completed && !Report.ServerError;
  if (Succeeded)
    Server.Connections.put(Call.Holder, Now);
  if (Succeeded)
    Zones.recordBytes(WorkClass, Report.Bytes);
  if (Succeeded && Call.PacePercent && !Call.Cold)
    learnServiceTime(Server, Call, Report.Elapsed, WorkClass);
  core::CallReport Counted = Report;
  if (Call.Incarnation != Server.Config.Incarnation)
    Counted.Limit.reset();
  // A call that was given too little time tells nothing about the server.
  if (Report.Outcome == core::CallOutcome::TimedOut &&
      !overdue(Server, Call, Now))
    Counted.Outcome = core::CallOutcome::Cancelled;
  recordResult(Index, Counted, Now);
}

void LoadTable::learnServiceTime(ServerLoad &Server, const RunningCall &Call,
                                 std::chrono::microseconds Elapsed,
                                 std::uint64_t WorkClass) {
  const double NormalPaceUs = double(Elapsed.count()) * PercentPerUnit /
                              std::max(1U, *Call.PacePercent);
  const double ExpectedUs = Call.ExpectedUs * Server.ServiceTimeFactor;
  if (Call.Saturated)
    return Server.Saturation.record(NormalPaceUs / ExpectedUs);
  if (Call.JoinedAt) {
    const double BeforeUs = microseconds(*Call.JoinedAt - Call.Start);
    if (BeforeUs <= MaxJoinShare * ExpectedUs &&
        NormalPaceUs < OverdueFactor * ExpectedUs)
      RunningSlowdown.record(NormalPaceUs / ExpectedUs);
    return;
  }
  // If a slow period began just before the call, after the last pace report,
  // the time would be mistaken for a longer service time.
  if (NormalPaceUs >= OverdueFactor * ExpectedUs)
    return;
  Work.record(WorkClass, NormalPaceUs / Server.ServiceTimeFactor);
  Server.ServiceTimeFactor +=
      (NormalPaceUs / Call.ExpectedUs - Server.ServiceTimeFactor) *
      ServiceTimeFactorWeight;
  Server.ServiceTimeFactor = std::clamp(
      Server.ServiceTimeFactor, MinServiceTimeFactor, MaxServiceTimeFactor);
}

void LoadTable::recordResult(std::uint32_t Index,
                             const core::CallReport &Report,
                             core::TimePoint Now) {
  Summary.reset();
  ServerLoad &Server = Servers[Index];
  if (Report.Load)
    recordPace(Index, Report.Load->PacePercent, Now);
  if (Report.OtherInstance)
    Server.Replaced = true;
  else if (Report.Limit || core::answered(Report.Outcome))
    Server.Limiter.record(Report.Limit, Now, Now);
  core::CallReport Counted = Report;
  // A response that reports a failure counts like a broken connection.
  if (Report.Outcome == core::CallOutcome::Completed && Report.ServerError)
    Counted.Outcome = core::CallOutcome::Broken;
  const bool Conclusive = !core::inconclusive(Counted.Outcome);
  if (core::answered(Counted.Outcome) || Counted.ServerError)
    Server.Silent = false;
  if (Conclusive) {
    Server.Failures.record(Counted.Outcome != core::CallOutcome::Completed,
                           Now);
    Server.Rejections.record(
        Counted.Outcome == core::CallOutcome::Rejected &&
            rejectedWithFreeSlot({.Load = Report.Load,
                                  .Slots = Server.slots(),
                                  .ReasonStated = Report.Draining ||
                                                  Report.OtherInstance ||
                                                  Report.Limit}),
        Now);
  }
  // A server that rejects calls is alive and has too much load, so it is
  // avoided for a moment but not ejected.
  if (Report.Outcome == core::CallOutcome::Rejected)
    Counted.Outcome = core::CallOutcome::Completed;
  Server.Health.onResult(Counted, Now);
  if (Conclusive)
    updateEjection(Server, Counted.Outcome != core::CallOutcome::Completed,
                   Now);
  updateTotals(Now);
}

void LoadTable::updateEjection(ServerLoad &Server, bool Failed,
                               core::TimePoint Now) {
  HealthTracker &Health = Server.Health;
  if (Health.ejected()) {
    if (Failed)
      Health.eject(Options, Now, Random);
    else
      Health.readmit(Now);
  } else if (Health.unhealthy() && Server.active() &&
             EjectedServers < ActiveServers / 2) {
    Health.eject(Options, Now, Random);
  }
}

void LoadTable::recordLimits(const std::vector<StatedLimit> &Limits,
                             core::TimePoint Now) {
  Summary.reset();
  for (const StatedLimit &Item : Limits)
    if (const auto Index = find(Item.ServerId))
      Servers[*Index].Limiter.record(Item.Limit, Item.StatedAt, Now);
  if (!Limits.empty())
    updateTotals(Now);
}

void LoadTable::setLimitShare(double NewShare, core::TimePoint Now) {
  Summary.reset();
  LimitShare = NewShare;
  for (ServerLoad &Server : Servers)
    Server.Limiter.setShare(NewShare, Now);
  updateTotals(Now);
}

void LoadTable::recordPace(std::uint32_t Index, std::uint32_t Percent,
                           core::TimePoint Now) {
  Servers[Index].Silent = false;
  Servers[Index].Pace = PaceSample{.Percent = Percent, .At = Now};
  Pace.record(Percent, Now);
}

} // namespace jujubecart::decision::internal
