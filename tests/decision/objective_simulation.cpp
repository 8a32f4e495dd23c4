#include "objective_simulation_internal.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace objective_simulation {

using namespace jujubecart;
using namespace internal;

namespace {

// Share of the time left for which callers wait at most before they return.
constexpr double MaxReturnShare = 1.0 / 3;
// Time after which a call returns whose caller ignores the stated time.
constexpr auto ImpatientReturn = 50ms;

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

} // namespace objective_simulation
