#include "objective_simulation_internal.hpp"

#include <jujubecart/decision/rejected_call.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace objective_simulation {

using namespace jujubecart;
using namespace internal;

namespace {

// Time that a server needs to reject a call, and to answer a probe.
constexpr auto ServerRoundTrip = 3ms;

unsigned indexOf(const std::string &ServerId) {
  return static_cast<unsigned>(std::stoul(ServerId));
}

} // namespace

double Simulation::shedShare(unsigned Server) const {
  double Share = 0;
  for (const Disturbance &Each : Load.Disturbances)
    if (Now >= Start + fromSeconds(Each.FromS) &&
        Now < Start + fromSeconds(Each.ToS) && Server < Each.SheddingServers)
      Share = std::max(Share, Each.ShedShare);
  return Share;
}

// Starts a slow or normal period and schedules the next one.
void Simulation::startPeriod(unsigned Server) {
  InSlowPeriod[Server] =
      std::uniform_real_distribution<>(0, 1)(PeriodRandom) < Load.SlowShare;
  std::exponential_distribution<> LengthS(1 / Load.PeriodS);
  if (Now < End)
    schedule(Now + fromSeconds(LengthS(PeriodRandom)),
             [this, Server] { startPeriod(Server); });
}

bool Simulation::answers(unsigned Server) const {
  return Server >= Load.UnresponsiveServers;
}

bool Simulation::drawHang(unsigned Server) {
  return Server < Load.HangingServers &&
         std::uniform_real_distribution<>(0, 1)(ServiceRandom) < Load.HangShare;
}

core::LoadReport Simulation::loadOf(unsigned Server) const {
  constexpr double PercentPerUnit = 100;
  return {.InFlight = InFlight[Server],
          .PacePercent = InSlowPeriod[Server]
                             ? std::uint32_t(PercentPerUnit * Load.SlowFactor)
                             : core::LoadReport::NormalPacePercent};
}

void Simulation::startCall(const decision::Granted &Grant) {
  CallState &Granted = Calls.at(Grant.Token);
  if (!std::exchange(Granted.Tried, true) && !Granted.IsHedge &&
      Now - Granted.Arrival > Load.Classes[Granted.Class].Objective / 8)
    ++Result.HeldLong;
  if (std::uniform_real_distribution<>(0, 1)(ServiceRandom) <
      shedShare(indexOf(Grant.Server.Id))) {
    schedule(Now + ServerRoundTrip, [this, Grant] { rejectAtServer(Grant); });
    return;
  }
  CallState &Call = Calls.at(Grant.Token);
  const CallClass &Class = Load.Classes[Call.Class];
  const unsigned Server = indexOf(Grant.Server.Id);
  const unsigned Running = ++InFlight[Server];
  if (Running >= Load.Slots && Load.SlowsRunningCalls)
    slowRunningCalls(Server);
  Result.MaxInFlight = std::max(Result.MaxInFlight, Running);
  // The mean of a log-normal distribution exceeds its median by half of the
  // variance of the logarithm.
  std::lognormal_distribution<> ServiceMs(std::log(Class.MeanServiceMs) - 0.045,
                                          0.3);
  double Ms = ServiceMs(ServiceRandom) *
              (InSlowPeriod[Server] ? Load.SlowFactor : 1) *
              (Running >= Load.Slots ? Load.SaturationFactor : 1);
  const double LeftMs = std::chrono::duration<double, std::milli>(
                            Call.Arrival + Class.Deadline - Now)
                            .count();
  // A server stops work at the deadline of the call.
  Call.Hangs = !answers(Server) || drawHang(Server);
  Ms = Call.Hangs ? LeftMs : std::min(Ms, LeftMs);
  Call.Server = Server;
  Call.GrantId = Grant.GrantId;
  Call.End = Now + microseconds(static_cast<std::int64_t>(Ms * 1000));
  schedule(Call.End,
           [this, Grant, StartedAt = Now] { finishCall(Grant, StartedAt); });
  if (Class.Hedged && !Call.IsHedge && Grant.HedgeAt < Call.End)
    schedule(Grant.HedgeAt, [this, Token = Grant.Token] { hedge(Token); });
}

void Simulation::slowRunningCalls(unsigned Server) {
  for (auto &[Token, Call] : Calls)
    if (Call.Server == Server && Call.End > Now)
      Call.End =
          Now +
          fromSeconds(std::chrono::duration<double>(Call.End - Now).count() *
                      Load.SaturationFactor);
}

void Simulation::finishCall(const decision::Granted &Grant,
                            TimePoint StartedAt) {
  // The other attempt of a hedged call was faster.
  if (!Calls.contains(Grant.Token))
    return;
  const TimePoint End = Calls.at(Grant.Token).End;
  // Another call has slowed it down in the meantime.
  if (End > Now)
    return schedule(End,
                    [this, Grant, StartedAt] { finishCall(Grant, StartedAt); });
  const CallState Call = std::move(Calls.at(Grant.Token));
  Calls.erase(Grant.Token);
  const CallClass &Class = Load.Classes[Call.Class];
  const unsigned Server = indexOf(Grant.Server.Id);
  --InFlight[Server];
  core::CallReport Report;
  Report.Elapsed = std::chrono::duration_cast<microseconds>(Now - StartedAt);
  const bool Answered = !Call.Hangs && Now < Call.Arrival + Class.Deadline;
  if (!Answered)
    Report.Outcome = core::CallOutcome::TimedOut;
  if (answers(Server) && Load.ReportsPace)
    Report.Load = loadOf(Server);
  const bool MetObjective = Now - Call.FirstArrival <= Class.Objective;
  if (Answered) {
    cancelAttempt(Call.Other);
    const auto Second =
        static_cast<std::size_t>((Call.FirstArrival - Start) / 1s);
    ++(MetObjective ? Result.OnTime : Result.Late);
    if (counts(Call)) {
      ++Result.Classes[Call.Class].Served;
      Result.Classes[Call.Class].OnTime += MetObjective ? 1 : 0;
    }
    Result.Earned[Second] += Class.Worth * (MetObjective ? 1 : 0.1);
  }
  decision::Decisions Out;
  Dispatcher.release(Grant.GrantId, Report, Now, Out);
  apply(Out);
}

void Simulation::rejectAtServer(const decision::Granted &Grant) {
  CallState Call = std::move(Calls.at(Grant.Token));
  Calls.erase(Grant.Token);
  core::CallReport Report{.Outcome = core::CallOutcome::Rejected};
  if (Load.ReportsPace)
    Report.Load = loadOf(indexOf(Grant.Server.Id));
  decision::Decisions Out;
  Dispatcher.release(Grant.GrantId, Report, Now, Out);
  apply(Out);
  ++Call.Attempts;
  Call.Excluded.push_back(Grant.Server.Id);
  const CallClass &Class = Load.Classes[Call.Class];
  const decision::RejectedCall Rejection{.Load = Report.Load,
                                         .Slots = Load.Slots,
                                         .Objective =
                                             Call.Arrival + Class.Objective};
  if (Call.Attempts < Class.MaxAttempts && RetryTokens >= 1 &&
      decision::worthRepeat(Rejection, RetryTokens < MaxRetryTokens / 2, Now)) {
    RetryTokens -= 1;
    enqueue(std::move(Call));
    return;
  }
  const TimePoint GivesUp = Call.FirstArrival + Class.Patience;
  if (Call.Returned || GivesUp <= Now)
    return;
  const double Spread = std::uniform_real_distribution<>(0, 1)(ServiceRandom);
  const TimePoint Return =
      decision::returnTime(Rejection, Now, Spread)
          .value_or(Now + std::min<microseconds>(
                              1000ms, std::chrono::duration_cast<microseconds>(
                                          GivesUp - Now) /
                                          3));
  schedule(Return, [this, Call] {
    RetryTokens = std::min(RetryTokens + RetryRatio, MaxRetryTokens);
    enqueue({.Class = Call.Class,
             .FirstArrival = Call.FirstArrival,
             .Arrival = Now,
             .Returned = true});
  });
}

void Simulation::sendProbes() {
  while (const auto Server = Dispatcher.nextProbe(Now)) {
    const unsigned Index = indexOf(Server->Id);
    if (!answers(Index))
      continue;
    schedule(Now + ServerRoundTrip, [this, Index, Id = Server->Id] {
      decision::ProbeResult Probe{.State = decision::ProbeState::Ok};
      if (Load.ReportsPace)
        Probe.Load = loadOf(Index);
      decision::Decisions Out;
      Dispatcher.recordProbe(Id, Probe, Now, Out);
      apply(Out);
    });
  }
}

} // namespace objective_simulation
