#include <jujubecart/decision/internal/load_table.hpp>

#include <algorithm>
#include <limits>

namespace jujubecart::decision::internal {

namespace {

using namespace std::chrono_literals;

// Limit of servers that are probed to place one call, and the time for which
// the call waits for the results.
constexpr std::size_t MaxProbesPerCall = 3;
constexpr auto ProbeWait = 12ms;
// Time after which a server that did not answer its last probe is probed again
// although others are better.
constexpr auto SilentProbeInterval = 1s;

} // namespace

bool LoadTable::requestProbes(const PendingCall &Call,
                              const std::optional<Placement> &Found,
                              core::TimePoint Now,
                              std::vector<std::uint32_t> &Out) {
  // Only a server with lower costs can be better than one known to be fast.
  const double MaxTransferCost = Found && Found->KnownFast
                                     ? Found->TransferCost
                                     : std::numeric_limits<double>::max();
  const CommonFailures &Common = commonFailures(Now);
  std::vector<std::pair<double, std::uint32_t>> Candidates;
  for (std::uint32_t Index = 0; Index < size(); ++Index) {
    const ServerLoad &Server = Servers[Index];
    if (!usable(Server, Now) || Server.Limiter.limited(Now) ||
        Call.excludes(Server.Config.Id) ||
        Server.inFlight() >= Server.preferredLimit())
      continue;
    const double Transfer = transferCost(Call, Server, Goal::Objective, Now);
    if (Transfer >= MaxTransferCost)
      continue;
    // With a price of bytes, the servers of the own zone are always cheaper. If
    // they fail or do not answer, probes would hold the call again and again.
    if (Zones.priced() && Found) {
      const double HighestScore = (1 - failureRate(Server, Common, Now)) *
                                      (1 - overdueShare(Server, Now)) -
                                  Transfer;
      if (HighestScore <= Found->Score &&
          Now < Server.LastProbe + SilentProbeInterval)
        continue;
    }
    if (Server.ProbePending && Now < Server.LastProbe + ProbeWait)
      return true;
    const bool PaceKnown = Server.Pace && Server.Pace->fresh(Now);
    const bool RecentlyProbed = Now < Server.LastProbe + 2 * ProbeWait;
    if (!PaceKnown && !RecentlyProbed)
      Candidates.emplace_back(Pace.slowProbability(Server.Pace, Now) +
                                  Transfer +
                                  0.1 * Server.inFlight() / Server.slots(),
                              Index);
  }
  const std::size_t Count = std::min(Candidates.size(), MaxProbesPerCall);
  std::partial_sort(Candidates.begin(),
                    Candidates.begin() + static_cast<std::ptrdiff_t>(Count),
                    Candidates.end());
  for (std::size_t Position = 0; Position < Count; ++Position) {
    ServerLoad &Server = Servers[Candidates[Position].second];
    Server.LastProbe = Now;
    Server.ProbePending = true;
    Out.push_back(Candidates[Position].second);
  }
  return Count > 0;
}

void LoadTable::recordProbe(std::uint32_t Index, const ProbeResult &Result,
                            core::TimePoint Now) {
  Summary.reset();
  ServerLoad &Server = Servers[Index];
  Server.ProbePending = false;
  if (Result.State != ProbeState::Unreachable) {
    Server.Silent = false;
    Zones.recordRoundTrip(Server.Config.Zone, Result.RoundTrip, Now);
  } else if (Zones.priced()) {
    // Otherwise the servers of a zone that is cut would look as good as others
    // until their calls reach their deadline, and the price keeps calls there.
    Server.Silent = true;
  }
  if (Result.ColdUntil) {
    Server.Limiter.recordCold(*Result.ColdUntil, Now);
    updateTotals(Now);
  }
  if (Result.Load)
    recordPace(Index, Result.Load->PacePercent, Now);
}

} // namespace jujubecart::decision::internal
