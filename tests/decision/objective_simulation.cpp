#include "objective_simulation.hpp"

#include <jujubecart/decision/rejected_call.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace objective_simulation {

using namespace jujubecart;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};
// Attempts beyond the first that the retry budget allows for each call.
constexpr double RetryRatio = 0.2;
constexpr double MaxRetryTokens = 60;
// Share of the time left for which callers wait at most before they return.
constexpr double MaxReturnShare = 1.0 / 3;
// Time after which a call returns whose caller ignores the stated time.
constexpr auto ImpatientReturn = 50ms;
// Time that a server needs to reject a call, and to answer a probe.
constexpr auto ServerRoundTrip = 3ms;

microseconds fromSeconds(double Seconds) {
  return microseconds(static_cast<std::int64_t>(Seconds * 1e6));
}

decision::DispatchGroup group(const Workload &Load, unsigned Removed) {
  decision::DispatchGroup Out{.Name = "g", .Service = "s", .Region = "r"};
  for (unsigned Server = Removed; Server < Load.Servers; ++Server)
    Out.Servers.push_back({.Id = std::to_string(Server),
                           .Address = "10.0.0.1:1",
                           .Slots = Load.Slots});
  return Out;
}

decision::DispatcherOptions options() {
  decision::DispatcherOptions Out;
  Out.Profile = core::PolicyProfile::Objective;
  return Out;
}

unsigned indexOf(const std::string &ServerId) {
  return static_cast<unsigned>(std::stoul(ServerId));
}

} // namespace

double Statistics::earnedShare(std::size_t From, std::size_t To) const {
  const auto Sum = [&](const std::vector<double> &Values) {
    double Total = 0;
    for (std::size_t At = From; At < std::min(To, Values.size()); ++At)
      Total += Values[At];
    return Total;
  };
  return Sum(Earned) / Sum(Owed);
}

Simulation::Simulation(Workload Chosen)
    : Load(std::move(Chosen)), Dispatcher(group(Load, 0), options(), Start),
      ArrivalRandom(Load.Seed), ServiceRandom(Load.Seed + 1),
      PeriodRandom(Load.Seed + 2), Now(Start),
      End(Start + fromSeconds(Load.DurationS)), InSlowPeriod(Load.Servers),
      InFlight(Load.Servers) {
  const auto Seconds = static_cast<std::size_t>(std::ceil(Load.DurationS));
  Result.Owed.resize(Seconds);
  Result.Earned.resize(Seconds);
  Result.Classes.resize(Load.Classes.size());
}

Statistics Simulation::run() {
  for (unsigned Server = 0; Server < Load.Servers; ++Server)
    startPeriod(Server);
  for (std::size_t Class = 0; Class < Load.Classes.size(); ++Class)
    scheduleArrivals(Class);
  for (const Disturbance &Each : Load.Disturbances)
    if (Each.RemovedServers > 0) {
      schedule(Start + fromSeconds(Each.FromS),
               [this, Each] { configure(Each.RemovedServers); });
      schedule(Start + fromSeconds(Each.ToS), [this] { configure(0); });
    }
  tick();
  while (!Events.empty()) {
    const auto Next = Events.begin();
    Now = Next->first;
    const auto Handler = std::move(Next->second);
    Events.erase(Next);
    Handler();
    sendProbes();
  }
  return Result;
}

void Simulation::schedule(TimePoint When, std::function<void()> Handler) {
  Events.emplace(When, std::move(Handler));
}

double Simulation::arrivalFactor() const {
  double Factor = 1;
  for (const Disturbance &Each : Load.Disturbances)
    if (Now >= Start + fromSeconds(Each.FromS) &&
        Now < Start + fromSeconds(Each.ToS))
      Factor *= Each.ArrivalFactor;
  return Factor;
}

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

void Simulation::scheduleArrivals(std::size_t Class) {
  const CallClass &Kind = Load.Classes[Class];
  const double NowS = std::chrono::duration<double>(Now - Start).count();
  const double Factor = Kind.RateFactor ? Kind.RateFactor(NowS) : 1;
  std::exponential_distribution<> GapS(Kind.CallsPerS * Factor *
                                       arrivalFactor());
  const TimePoint Next = Now + fromSeconds(GapS(ArrivalRandom));
  if (Next >= End)
    return;
  schedule(Next, [this, Class] {
    ++Result.Calls;
    RetryTokens = std::min(RetryTokens + RetryRatio, MaxRetryTokens);
    const auto Second = static_cast<std::size_t>((Now - Start) / 1s);
    Result.Owed[Second] += Load.Classes[Class].Worth;
    CallState Call{.Class = Class, .FirstArrival = Now, .Arrival = Now};
    Result.Classes[Class].Calls += counts(Call) ? 1 : 0;
    enqueue(std::move(Call));
    scheduleArrivals(Class);
  });
}

bool Simulation::counts(const CallState &Call) const {
  return Call.FirstArrival >= Start + fromSeconds(Load.CountFromS) &&
         (Load.CountToS > Load.DurationS ||
          Call.FirstArrival < Start + fromSeconds(Load.CountToS));
}

void Simulation::tick() {
  decision::Decisions Out;
  Dispatcher.tick(Now, Out);
  apply(Out);
  if (!Events.empty())
    schedule(std::max(Dispatcher.nextTick(), Now + 1ms), [this] { tick(); });
}

void Simulation::configure(unsigned RemovedServers) {
  decision::Decisions Out;
  Dispatcher.configure(group(Load, RemovedServers), Now, Out);
  apply(Out);
}

decision::CallToken Simulation::enqueue(CallState Call) {
  const CallClass &Class = Load.Classes[Call.Class];
  const decision::CallToken Token = ++LastToken;
  const decision::PendingCall Pending{
      .Token = Token,
      .Holder = "vm",
      .Deadline = Call.Arrival + Class.Deadline,
      .Priority = Class.Priority,
      .Excluded = Call.Excluded,
      .Objective = Call.Arrival + Class.Objective,
      .WorkClass = Call.Class + 1,
      .Workspace = Class.Workspace,
      .WorkspacePriority = Class.WorkspacePriority};
  Calls.emplace(Token, std::move(Call));
  decision::Decisions Out;
  Dispatcher.enqueue(Pending, Now, Out);
  apply(Out);
  return Token;
}

void Simulation::hedge(decision::CallToken Token) {
  const auto Found = Calls.find(Token);
  if (Found == Calls.end() || Found->second.End <= Now || RetryTokens < 1)
    return;
  RetryTokens -= 1;
  CallState Second{.Class = Found->second.Class,
                   .FirstArrival = Found->second.FirstArrival,
                   .Arrival = Found->second.Arrival,
                   .Excluded = {std::to_string(Found->second.Server)},
                   .Returned = true,
                   .Other = Token,
                   .IsHedge = true};
  // It may have been rejected at once.
  const decision::CallToken Other = enqueue(std::move(Second));
  if (Calls.contains(Other))
    Calls.at(Token).Other = Other;
}

void Simulation::cancelAttempt(decision::CallToken Token) {
  const auto Found = Calls.find(Token);
  if (Found == Calls.end())
    return;
  const CallState Call = std::move(Found->second);
  Calls.erase(Found);
  decision::Decisions Out;
  if (Call.GrantId == 0) {
    Dispatcher.withdraw(Token, Now, Out);
  } else {
    --InFlight[Call.Server];
    const core::CallReport Report{.Outcome = Call.IsHedge
                                                 ? core::CallOutcome::Cancelled
                                                 : core::CallOutcome::TimedOut};
    Dispatcher.release(Call.GrantId, Report, Now, Out);
  }
  apply(Out);
}

void Simulation::apply(const decision::Decisions &Out) {
  for (const decision::Decision &Item : Out) {
    if (const auto *Grant = std::get_if<decision::Granted>(&Item))
      startCall(*Grant);
    else
      onRejected(std::get<decision::Rejected>(Item));
  }
}

void Simulation::onRejected(const decision::Rejected &Rejection) {
  CallState Call = std::move(Calls.at(Rejection.Token));
  Calls.erase(Rejection.Token);
  if (Call.IsHedge)
    return;
  ++Result.Rejected;
  Result.MaxRejectionTime =
      std::max(Result.MaxRejectionTime,
               std::chrono::duration_cast<milliseconds>(Now - Call.Arrival));
  const TimePoint GivesUp =
      Call.FirstArrival + Load.Classes[Call.Class].Patience;
  const unsigned MaxReturns = Load.Classes[Call.Class].Returns;
  if (GivesUp <= Now || (Call.Returned && Call.Returns >= MaxReturns))
    return;
  const auto Longest = fromSeconds(
      std::chrono::duration<double>(GivesUp - Now).count() * MaxReturnShare);
  const TimePoint Return =
      Now + (MaxReturns > 1
                 ? microseconds(ImpatientReturn)
                 : std::min<microseconds>(Longest, Rejection.RetryAfter));
  schedule(Return, [this, Call] {
    CallState Next{.Class = Call.Class,
                   .FirstArrival = Call.FirstArrival,
                   .Arrival = Now,
                   .Returned = true,
                   .Returns = Call.Returns + 1};
    enqueue(std::move(Next));
  });
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
