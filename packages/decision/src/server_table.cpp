#include <jujubecart/decision/internal/server_table.hpp>

#include <jujubecart/decision/internal/microseconds.hpp>

#include <algorithm>

namespace jujubecart::decision::internal {

namespace {

// Weights of a sample in the moving averages of the service time; a server sees
// fewer calls than the group. At a coefficient of variation of 1.5, the
// server's average has a relative standard error of about 0.13.
constexpr double ServerWeight = 1.0 / 64;
constexpr double GroupWeight = 1.0 / 256;
// A response faster than this many mean service times ends the suspect state.
constexpr double FastResponse = 2;

// The flags that the counts of the group depend on.
std::array<bool, 4> countedFlags(const ServerRecord &Server,
                                 core::TimePoint Now) {
  return {Server.active(), Server.Health.unhealthy(), Server.Health.ejected(),
          Server.Limiter.limited(Now)};
}

} // namespace

ServerTable::ServerTable(const std::vector<core::BackendServer> &Configured,
                         const DispatcherOptions &Options, core::TimePoint Now)
    : Options(Options), Random(Options.Seed),
      MeanServiceUs(static_cast<double>(Options.InitialServiceTime.count())) {
  BucketHeads.fill(NoIndex);
  configure(Configured, Now);
}

void ServerTable::configure(const std::vector<core::BackendServer> &Configured,
                            core::TimePoint Now) {
  const bool Initial = Servers.empty();
  for (ServerRecord &Server : Servers)
    Server.Configured = false;
  for (const core::BackendServer &Config : Configured) {
    const auto Known = ById.find(Config.Id);
    if (Known == ById.end()) {
      ById.emplace(Config.Id, size());
      Servers.emplace_back().Config = Config;
      Servers.back().Zone = internZone(Config.Zone);
      Servers.back().Limiter.setShare(LimitShare, Now);
      Servers.back().Limiter.setCold(Config.ColdLimit, Config.ColdUntil, Now);
      Servers.back().Calls.reserve(Config.Slots + Options.Margin + 1);
      if (!Initial)
        Servers.back().Health.startRamp(Now);
      continue;
    }
    ServerRecord &Server = Servers[Known->second];
    const bool Returns = !Server.Configured &&
                         Server.Config.State == core::ServerState::Draining &&
                         Config.State == core::ServerState::Active;
    if (Returns || Server.Config.Address != Config.Address) {
      // A changed address means another process, to which the recorded health
      // does not apply.
      Server.Health = HealthTracker();
      Server.Health.startRamp(Now);
    }
    if (Server.Config.Address != Config.Address ||
        Server.Config.Incarnation != Config.Incarnation) {
      Server.Limiter = ServerRateLimiter();
      Server.Limiter.setShare(LimitShare, Now);
    }
    Server.Config = Config;
    Server.Configured = true;
    Server.Zone = internZone(Config.Zone);
    Server.Limiter.setCold(Config.ColdLimit, Config.ColdUntil, Now);
  }
  updateCounts(Now);
}

void ServerTable::addGrant(std::uint32_t Index, std::uint64_t GrantId,
                           core::TimePoint Now) {
  Servers[Index].Limiter.take(Now);
  Servers[Index].Calls.push_back(
      {.GrantId = GrantId,
       .Start = Now,
       .Incarnation = Servers[Index].Config.Incarnation,
       .Cold = Servers[Index].Limiter.cold(Now)});
  update(Index, Now);
  if (Servers[Index].Health.ejected())
    updateNextTrial();
}

void ServerTable::dropGrant(std::uint32_t Index, std::uint64_t GrantId,
                            core::TimePoint Now) {
  auto &Calls = Servers[Index].Calls;
  std::erase_if(Calls, [GrantId](const OutstandingCall &Call) {
    return Call.GrantId == GrantId;
  });
  update(Index, Now);
  if (Servers[Index].Health.ejected())
    updateNextTrial();
}

void ServerTable::finishGrant(std::uint32_t Index, std::uint64_t GrantId,
                              const core::CallReport &Report, bool SlotWasFree,
                              bool Trial, core::TimePoint Now) {
  ServerRecord &Server = Servers[Index];
  const auto Elapsed = static_cast<double>(Report.Elapsed.count());
  if (Report.Outcome == core::CallOutcome::Completed) {
    if (isSuspect(Server, Now))
      Server.Suspect = true;
    if (Elapsed < FastResponse * MeanServiceUs)
      Server.Suspect = false;
    const bool StartedCold =
        std::any_of(Server.Calls.begin(), Server.Calls.end(),
                    [GrantId](const OutstandingCall &Call) {
                      return Call.GrantId == GrantId && Call.Cold;
                    });
    if (SlotWasFree && !StartedCold && !Server.Limiter.cold(Now)) {
      if (Server.ServiceUs == 0)
        Server.ServiceUs = MeanServiceUs;
      Server.ServiceUs += (Elapsed - Server.ServiceUs) * ServerWeight;
      MeanServiceUs += (Elapsed - MeanServiceUs) * GroupWeight;
    }
  }
  Server.LastRelease = Now;
  core::CallReport Counted = Report;
  std::erase_if(Server.Calls, [&](const OutstandingCall &Call) {
    if (Call.GrantId != GrantId)
      return false;
    // What an earlier process stated does not bind the one that replaced it.
    if (Call.Incarnation != Server.Config.Incarnation)
      Counted.Limit.reset();
    return true;
  });
  recordResult(Index, Counted, Trial, Now);
}

void ServerTable::recordResult(std::uint32_t Index,
                               const core::CallReport &Report, bool Trial,
                               core::TimePoint Now) {
  ServerRecord &Server = Servers[Index];
  const auto Before = countedFlags(Server, Now);
  if (!Report.OtherInstance && (Report.Limit || core::answered(Report.Outcome)))
    Server.Limiter.record(Report.Limit, Now, Now);
  Server.Health.onResult(Report, Now);
  if (!core::inconclusive(Report.Outcome))
    updateEjection(Server, Report.Outcome != core::CallOutcome::Completed,
                   Trial, Now);
  if (Before != countedFlags(Server, Now))
    updateCounts(Now);
  else if (Server.Health.ejected())
    updateNextTrial();
  update(Index, Now);
}

void ServerTable::updateEjection(ServerRecord &Server, bool Failed, bool Trial,
                                 core::TimePoint Now) {
  HealthTracker &Health = Server.Health;
  if (Health.ejected()) {
    // Results of calls that were sent before the ejection change nothing.
    if (Failed && Trial)
      Health.eject(Options, Now, Random);
    else if (!Failed && (Trial || PanicMode))
      Health.readmit(Now);
  } else if (Health.unhealthy() && Server.active() &&
             EjectedCount < ActiveCount / 2) {
    Health.eject(Options, Now, Random);
  }
}

void ServerTable::recordLimits(const std::vector<StatedLimit> &Limits,
                               core::TimePoint Now) {
  for (const StatedLimit &Item : Limits)
    if (const auto Index = find(Item.ServerId)) {
      Servers[*Index].Limiter.record(Item.Limit, Item.StatedAt, Now);
    }
  if (!Limits.empty())
    updateCounts(Now);
}

void ServerTable::setLimitShare(double NewShare, core::TimePoint Now) {
  LimitShare = NewShare;
  for (ServerRecord &Server : Servers)
    Server.Limiter.setShare(NewShare, Now);
  updateCounts(Now);
}

void ServerTable::setAdopted(std::uint32_t Index, std::uint32_t Count,
                             core::TimePoint Now) {
  Servers[Index].Adopted = Count;
  update(Index, Now);
}

void ServerTable::recordProbe(std::uint32_t Index, const ProbeResult &Result,
                              core::TimePoint Now) {
  ServerRecord &Server = Servers[Index];
  Server.Health.onProbe(Result, Now);
  if (Result.ColdUntil)
    Server.Limiter.recordCold(*Result.ColdUntil, Now);
  if (!Server.Health.ejected())
    updateEjection(Server, Result.State == ProbeState::Unreachable, false, Now);
  updateCounts(Now);
}

void ServerTable::refresh(core::TimePoint Now) { updateCounts(Now); }

// Health changes are rare, so everything derived from health is recomputed.
void ServerTable::updateCounts(core::TimePoint Now) {
  ActiveCount = UnhealthyCount = EjectedCount = 0;
  ActiveSlots = 0;
  for (const ServerRecord &Server : Servers) {
    if (!Server.active())
      continue;
    ++ActiveCount;
    ActiveSlots += capacitySlots(Server, Now);
    UnhealthyCount += Server.Health.unhealthy();
    EjectedCount += Server.Health.ejected();
  }
  // If all servers look unhealthy, the cause may be elsewhere, so all are used.
  PanicMode = ActiveCount > 0 && UnhealthyCount == ActiveCount;
  updateNextTrial();
  for (std::uint32_t Index = 0; Index < size(); ++Index)
    update(Index, Now);
}

std::optional<std::uint32_t> ServerTable::find(std::string_view Id) const {
  const auto Found = ById.find(Id);
  if (Found == ById.end())
    return std::nullopt;
  return Found->second;
}

double ServerTable::capacitySlots(const ServerRecord &Server,
                                  core::TimePoint Now) const {
  if (!Server.Limiter.limited(Now))
    return Server.slots();
  return std::min<double>(Server.slots(), Server.Limiter.ratePerS(Now) *
                                              MeanServiceUs /
                                              MicrosecondsPerSecond);
}

std::uint32_t ServerTable::limit(const ServerRecord &Server,
                                 core::TimePoint Now) const {
  if (!Server.active() || !Server.Limiter.allows(Now))
    return 0;
  if (Server.Health.ejected() && !PanicMode)
    return Server.Health.trialDue(Now) ? 1 : 0;
  const std::uint32_t Full = Server.slots() + Options.Margin;
  return Server.Health.limit(Full, Options, Now);
}

bool ServerTable::usable(const ServerRecord &Server) const {
  return Server.active() && (!Server.Health.ejected() || PanicMode);
}

int ServerTable::bucketOf(const ServerRecord &Server,
                          core::TimePoint Now) const {
  const std::uint32_t InFlight = Server.inFlight();
  if (!usable(Server) || InFlight >= limit(Server, Now))
    return ServerRecord::NoBucket;
  if (InFlight < Server.slots())
    return static_cast<int>(InFlight * FreeBucketCount / Server.slots());
  const auto Above = static_cast<int>(InFlight - Server.slots());
  return std::min(FreeBucketCount + Above, BucketCount - 1);
}

void ServerTable::update(std::uint32_t Index, core::TimePoint Now) {
  const int Bucket = bucketOf(Servers[Index], Now);
  if (Bucket == Servers[Index].Bucket)
    return;
  if (Servers[Index].Bucket != ServerRecord::NoBucket)
    erase(Index);
  if (Bucket != ServerRecord::NoBucket)
    insert(Index, Bucket);
}

// Each bucket is a circular doubly linked list; new servers go to the end.
void ServerTable::insert(std::uint32_t Index, int Bucket) {
  ServerRecord &Server = Servers[Index];
  Server.Bucket = Bucket;
  ++EligibleCount;
  std::uint32_t &Head = BucketHeads[static_cast<std::size_t>(Bucket)];
  if (Head == NoIndex) {
    Head = Server.Previous = Server.Next = Index;
    return;
  }
  Server.Next = Head;
  Server.Previous = Servers[Head].Previous;
  Servers[Server.Previous].Next = Index;
  Servers[Head].Previous = Index;
}

void ServerTable::erase(std::uint32_t Index) {
  ServerRecord &Server = Servers[Index];
  std::uint32_t &Head = BucketHeads[static_cast<std::size_t>(Server.Bucket)];
  Server.Bucket = ServerRecord::NoBucket;
  --EligibleCount;
  if (Server.Next == Index) {
    Head = NoIndex;
    return;
  }
  if (Head == Index)
    Head = Server.Next;
  Servers[Server.Previous].Next = Server.Next;
  Servers[Server.Next].Previous = Server.Previous;
}

void ServerTable::updateNextTrial() {
  NextTrial = core::TimePoint::max();
  if (EjectedCount == 0 || PanicMode)
    return;
  for (const ServerRecord &Server : Servers) {
    if (Server.active() && Server.Health.ejected() && Server.inFlight() == 0)
      NextTrial = std::min(NextTrial, Server.Health.trialAt());
  }
}

std::uint32_t ServerTable::internZone(std::string_view Name) {
  return Zones.emplace(Name, static_cast<std::uint32_t>(Zones.size()))
      .first->second;
}

std::uint32_t ServerTable::findZone(std::string_view Name) const {
  const auto Found = Zones.find(Name);
  return Found == Zones.end() ? NoIndex : Found->second;
}

} // namespace jujubecart::decision::internal
