#include <jujubecart/decision/internal/server_order.hpp>

#include <algorithm>
#include <cmath>

namespace jujubecart::decision {

namespace internal {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr double MilliPerUnit = 1000;

std::int32_t toMilli(double Value) {
  return static_cast<std::int32_t>(std::lround(Value * MilliPerUnit));
}

// Both tables keep these facts under the same names.
template <typename Server>
ServerPreview describe(const ServerStatus &Status, const Server &Known,
                       const PendingCall &Call, core::TimePoint Now) {
  ServerPreview Out{.Status = Status, .Zone = Known.Config.Zone};
  Out.OtherZone = !Call.Zone.empty() && Call.Zone != Known.Config.Zone;
  Out.Cold = Known.Limiter.cold(Now);
  if (Known.Limiter.limited(Now))
    Out.RatePerS = Known.Limiter.ratePerS(Now);
  if (Known.Health.lastObserved() != core::TimePoint())
    Out.ObservedAge =
        duration_cast<milliseconds>(Now - Known.Health.lastObserved());
  if (Known.Health.ejected())
    Out.TrialIn =
        std::max(milliseconds(0),
                 std::chrono::ceil<milliseconds>(Known.Health.trialAt() - Now));
  return Out;
}

/// @return Why a server that was not found gets no call.
template <typename Server>
ServerVerdict verdictOn(const Server &Known, std::uint32_t Limit,
                        const PendingCall &Call, core::TimePoint Now) {
  if (Call.excludes(Known.Config.Id))
    return ServerVerdict::Excluded;
  if (Known.Config.State == core::ServerState::Draining)
    return ServerVerdict::Draining;
  if (Known.Health.draining())
    return ServerVerdict::Leaving;
  if (!Known.active())
    return ServerVerdict::Replaced;
  if (!Known.Limiter.allows(Now))
    return ServerVerdict::RateLimited;
  if (Known.Health.ejected())
    return ServerVerdict::Ejected;
  if (Known.inFlight() >= Limit)
    return ServerVerdict::Full;
  return ServerVerdict::NotPreferred;
}

// A repeat excludes the servers that got the call before, so the order is found
// by excluding one server after the other.
// @param Find Returns the status index of the server for a call, if any, and
// completes its preview.
template <typename Search>
std::vector<ServerPreview> inOrder(std::vector<ServerPreview> All,
                                   PendingCall Call, const Search &Find) {
  std::vector<ServerPreview> Out;
  while (const auto Found = Find(Call)) {
    const auto At =
        std::find_if(All.begin(), All.end(), [&](const ServerPreview &Each) {
          return Each.Status.Id == Found->first;
        });
    if (At == All.end())
      break;
    At->Verdict = ServerVerdict::Candidate;
    At->Estimate = Found->second;
    Call.Excluded.push_back(At->Status.Id);
    Out.push_back(std::move(*At));
    All.erase(At);
  }
  std::move(All.begin(), All.end(), std::back_inserter(Out));
  return Out;
}

} // namespace

std::vector<ServerPreview> serverOrder(LoadTable Table,
                                       const std::vector<ServerStatus> &Servers,
                                       const PendingCall &Call,
                                       core::TimePoint Now) {
  std::vector<ServerPreview> All;
  for (const ServerStatus &Status : Servers) {
    const ServerLoad &Known = Table.at(*Table.find(Status.Id));
    ServerPreview Item = describe(Status, Known, Call, Now);
    Item.Verdict = verdictOn(Known, Known.slots(), Call, Now);
    if (Known.Pace) {
      Item.PacePercent = Known.Pace->Percent;
      Item.PaceAge = duration_cast<milliseconds>(Now - Known.Pace->At);
    }
    All.push_back(std::move(Item));
  }
  using Found = std::pair<std::string, std::optional<PlacementEstimate>>;
  return inOrder(
      std::move(All), Call,
      [&](const PendingCall &Next) -> std::optional<Found> {
        // As ObjectiveDispatcher::dispatch: all slots only if no server has a
        // free one below its preferred limit, and the deadline last.
        constexpr struct {
          Goal Aim;
          bool Saturate;
        } Passes[] = {{Goal::Objective, false},
                      {Goal::Objective, true},
                      {Goal::Deadline, false}};
        for (const auto &[Aim, Saturate] : Passes)
          if (const auto Best = Table.findBest(Next, Aim, Saturate, Now))
            return Found{Table.at(Best->Index).Config.Id,
                         PlacementEstimate{
                             .InTimePercent = static_cast<std::uint32_t>(
                                 Best->InTimeProbability * PercentPerUnit),
                             .ScoreMilli = toMilli(Best->Score),
                             .TransferCostMilli = toMilli(Best->TransferCost),
                             .Late = Aim == Goal::Deadline,
                             .Saturates = Saturate}};
        return std::nullopt;
      });
}

std::vector<ServerPreview> serverOrder(ServerTable Table,
                                       const std::vector<ServerStatus> &Servers,
                                       const PendingCall &Call,
                                       core::TimePoint Now) {
  std::vector<ServerPreview> All;
  for (const ServerStatus &Status : Servers) {
    const ServerRecord &Known = Table.at(*Table.find(Status.Id));
    ServerPreview Item = describe(Status, Known, Call, Now);
    Item.Verdict = verdictOn(Known, Status.Limit, Call, Now);
    All.push_back(std::move(Item));
  }
  using Found = std::pair<std::string, std::optional<PlacementEstimate>>;
  return inOrder(std::move(All), Call,
                 [&](const PendingCall &Next) -> std::optional<Found> {
                   if (!Table.hasRoom(Now))
                     return std::nullopt;
                   const auto Index = Table.pick({Next, Now}, Now);
                   if (!Index)
                     return std::nullopt;
                   return Found{Table.at(*Index).Config.Id, std::nullopt};
                 });
}

std::optional<Decision> decisionOn(CallToken Token, const Decisions &All) {
  const auto Found =
      std::find_if(All.begin(), All.end(), [&](const Decision &Each) {
        return std::visit([&](const auto &Item) { return Item.Token == Token; },
                          Each);
      });
  if (Found == All.end())
    return std::nullopt;
  return *Found;
}

} // namespace internal

std::string_view toString(ServerVerdict Verdict) noexcept {
  switch (Verdict) {
  case ServerVerdict::Candidate:
    return "candidate";
  case ServerVerdict::Excluded:
    return "excluded";
  case ServerVerdict::Draining:
    return "draining";
  case ServerVerdict::Leaving:
    return "leaving";
  case ServerVerdict::Replaced:
    return "replaced";
  case ServerVerdict::Ejected:
    return "ejected";
  case ServerVerdict::RateLimited:
    return "rate limited";
  case ServerVerdict::Full:
    return "full";
  case ServerVerdict::NotPreferred:
    return "not preferred";
  }
  return "unknown";
}

} // namespace jujubecart::decision
