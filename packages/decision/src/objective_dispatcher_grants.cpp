#include <jujubecart/decision/internal/objective_dispatcher_implementation.hpp>

#include <jujubecart/core/hash.hpp>

#include <algorithm>

namespace jujubecart::decision {

namespace {

// Limits of the waiting calls that are tried in one pass over the queue, on
// servers below their preferred limit and above it.
constexpr std::size_t MaxCandidates = 8;
constexpr std::size_t MaxSaturatingCandidates = 64;
// A call does not take the last slots of a server while it most likely meets
// its objective after waiting.
constexpr double SafeOnTimeProbability = 0.9;
// A free server is taken if its score is at least the on-time probability after
// waiting times WaitDiscount; less UnsaturatedAllowance if the call stays
// within the preferred limit of the server.
constexpr double WaitDiscount = 0.9;
constexpr double UnsaturatedAllowance = 0.1;
// A call takes last slots if the workspace of a waiting call got so many times
// the service time of its own workspace.
constexpr double MinShareRatio = 2;

} // namespace

DecisionFacts
ObjectiveDispatcher::Implementation::factsOf(const internal::ServerLoad &Server,
                                             core::TimePoint Now) const {
  DecisionFacts Out = queueFacts(Now);
  Out.InFlight = Server.inFlight();
  if (Server.Pace) {
    Out.PacePercent = Server.Pace->Percent;
    Out.PaceAge = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now - Server.Pace->At);
  }
  return Out;
}

void ObjectiveDispatcher::Implementation::grant(
    const PendingCall &Call, const internal::Placement &Chosen,
    core::TimePoint Now, Decisions &Out) {
  DecisionFacts Facts = factsOf(Table.at(Chosen.Index), Now);
  Facts.OnTimePercent = static_cast<std::uint32_t>(Chosen.InTimeProbability *
                                                   internal::PercentPerUnit);
  const std::uint32_t Server = Chosen.Index;
  const core::TimePoint HedgeAt = Table.hedgeTime(Call, Server, Now);
  Shares.recordGrant(Call.Workspace,
                     Table.work().expectedServiceTimeUs(Call, Now), Now);
  const std::uint64_t GrantId =
      Grants.add(Call, Server, {.WorkClass = Call.WorkClass});
  Table.startCall(
      Server, {.GrantId = GrantId,
               .Holder = core::hash64(Call.Holder),
               .Start = Now,
               .Objective = Call.Objective,
               .ExpectedUs = Table.work().expectedServiceTimeUs(Call, Now)});
  Out.emplace_back(Granted{.Token = Call.Token,
                           .GrantId = GrantId,
                           .Server = Table.at(Server).Config,
                           .Facts = Facts,
                           .HedgeAt = HedgeAt});
}

// Calls at the front of the queue wait for a slot below the preferred limits,
// which comes free soon. Calls further back, which would miss their objective
// by then, may take the last slots of the servers, on which they run longer.
// Where workspaces have priorities, a call also takes a last slot if calls of
// lower priority wait: they would take it, and no slot would come free for it.
//
// In the pass for own zones, a call that could be served by its own zone leaves
// a server of another zone to the calls of that zone. Otherwise two zones that
// are both overloaded would exchange their calls, which only costs. Calls whose
// zone has no capacity are not held back.
bool ObjectiveDispatcher::Implementation::placeAnyOnTime(Pass Allowed,
                                                         core::TimePoint Now,
                                                         Decisions &Out) {
  const std::vector<CallToken> Tokens = OnTimeQueue.tokens(Shares, Now);
  if (Allowed.Saturate && Shares.active())
    Allowed.LargestShareUs = OnTimeQueue.largestShareUs(Shares, Now);
  const std::size_t Count =
      std::min(Tokens.size(),
               Allowed.Saturate ? MaxSaturatingCandidates : MaxCandidates);
  for (std::size_t Position = 0; Position < Count; ++Position) {
    const PendingCall &Call = OnTimeQueue.at(Tokens[Position]);
    if (Allowed.OwnZone &&
        (Call.Priority != OnTimeQueue.at(Tokens.front()).Priority ||
         Table.zoneShare(Call.Zone) <= 0))
      return false;
    if (placeOnTime(Tokens[Position], Position, Allowed, Now, Out))
      return true;
  }
  return false;
}

bool ObjectiveDispatcher::Implementation::placeOnTime(CallToken Token,
                                                      std::size_t Position,
                                                      Pass Allowed,
                                                      core::TimePoint Now,
                                                      Decisions &Out) {
  const PendingCall &Call = OnTimeQueue.at(Token);
  const bool HasSmallShare =
      Allowed.LargestShareUs >
      MinShareRatio * Shares.serviceUs(Call.Workspace, Now);
  if (Allowed.Saturate && !HasSmallShare &&
      !OnTimeQueue.outranksAny(Call, Shares, Now) &&
      Table.onTimeProbabilityAfterWait(Call, Position, Now) >=
          SafeOnTimeProbability)
    return false;
  const auto Found =
      Table.findBest(Call, internal::Goal::Objective, Allowed.Saturate, Now);
  if (Found && Allowed.OwnZone &&
      Table.at(Found->Index).Config.Zone != Call.Zone)
    return false;
  if (Found && Table.requestProbes(Call, Found, Now, PendingProbes))
    return false;
  const double MinScore = Table.gainAfterWait(Call, Position, Now) *
                              Table.bestSuccessRate(Now) * WaitDiscount -
                          (Allowed.Saturate ? 0 : UnsaturatedAllowance);
  if (!Found || Found->InTimeProbability < MinOnTimeProbability ||
      Found->Score < MinScore)
    return false;
  grant(*OnTimeQueue.remove(Token), *Found, Now, Out);
  return true;
}

bool ObjectiveDispatcher::Implementation::placeLate(core::TimePoint Now,
                                                    Decisions &Out) {
  for (const CallToken Token : LateQueue.tokens(Shares, Now)) {
    const PendingCall &Call = LateQueue.at(Token);
    const auto Found =
        Table.findBest(Call, internal::Goal::Deadline, false, Now);
    if (!Found)
      continue;
    if (Found->Score <= 0) {
      static_cast<void>(Table.requestProbes(Call, Found, Now, PendingProbes));
      // With a price of bytes, the next call may be of the zone that has room.
      if (Table.zonesPriced())
        continue;
      return false;
    }
    grant(*LateQueue.remove(Token), *Found, Now, Out);
    return true;
  }
  return false;
}

void ObjectiveDispatcher::Implementation::dispatch(core::TimePoint Now,
                                                   Decisions &Out) {
  const bool OwnZoneFirst = Table.zonesPriced();
  while ((OwnZoneFirst && placeAnyOnTime({.OwnZone = true}, Now, Out)) ||
         placeAnyOnTime({}, Now, Out) ||
         placeAnyOnTime({.Saturate = true}, Now, Out)) {
  }
  demoteLateCalls(Now, Out);
  while (placeLate(Now, Out)) {
  }
}

void ObjectiveDispatcher::Implementation::release(
    std::uint64_t GrantId, const core::CallReport &Report,
    core::TimePoint Now) {
  if (const auto Ended = Grants.take(GrantId))
    Table.finishCall(Ended->Server, GrantId, Report, Ended->Kept.WorkClass,
                     Now);
}

void ObjectiveDispatcher::Implementation::adopt(const std::string &Holder,
                                                const std::string &ServerId,
                                                std::uint32_t InFlight) {
  if (const auto Index = Table.find(ServerId))
    Table.at(*Index).Adopted +=
        InFlight - Adopted.set(Holder, ServerId, InFlight);
}

void ObjectiveDispatcher::Implementation::expireGrants(core::TimePoint Now) {
  Grants.dropLost(Now, [&](std::uint32_t Server, std::uint64_t GrantId) {
    Table.removeCall(Server, GrantId);
  });
}

ServerStatus ObjectiveDispatcher::Implementation::statusOf(
    const internal::ServerLoad &Server, core::TimePoint Now) const {
  ServerHealth Health = ServerHealth::Active;
  if (!Server.active())
    Health = ServerHealth::Draining;
  else if (Server.Health.ejected())
    Health = ServerHealth::Ejected;
  else if (Server.Health.ramping(Options, Now))
    Health = ServerHealth::Ramping;
  return {.Id = Server.Config.Id,
          .Health = Health,
          .InFlight = Server.inFlight(),
          .Limit = Server.active() ? Server.slots() : 0,
          .ServiceTime = std::chrono::microseconds(static_cast<std::int64_t>(
              Server.ServiceTimeFactor * Table.work().meanServiceTimeUs()))};
}

} // namespace jujubecart::decision
