#include <jujubecart/decision/internal/server_table.hpp>

#include <algorithm>

namespace jujubecart::decision::internal {

namespace {

// Weights of one sample: a single server sees fewer calls than the group. At
// a coefficient of variation of 1.5 the server's estimate has a relative
// standard error of about 0.13.
constexpr double ServerWeight = 1.0 / 64;
constexpr double GroupWeight = 1.0 / 256;
// A response within this many mean service times shows that a suspect server
// is fast again.
constexpr double FastResponse = 2;

// What the group's counts depend on.
std::array<bool, 3> standing(const ServerRecord &Server) {
  return {Server.active(), Server.Health.unhealthy(), Server.Health.ejected()};
}

} // namespace

ServerTable::ServerTable(const std::vector<core::BackendServer> &Configured,
                         DispatcherOptions Options)
    : Options(Options), Random(Options.Seed),
      MeanUs(static_cast<double>(Options.InitialServiceTime.count())) {
  Heads.fill(None);
  configure(Configured, core::TimePoint{});
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
      Servers.back().Zone = zone(Config.Zone);
      Servers.back().Calls.reserve(Config.Slots + Options.Margin + 1);
      if (!Initial)
        Servers.back().Health.ramp(Now);
      continue;
    }
    ServerRecord &Server = Servers[Known->second];
    const bool Returns = !Server.Configured &&
                         Server.Config.State == core::ServerState::Draining &&
                         Config.State == core::ServerState::Active;
    if (Returns || Server.Config.Address != Config.Address) {
      // A changed address is another process: nothing learned applies to it.
      Server.Health = HealthTracker();
      Server.Health.ramp(Now);
    }
    Server.Config = Config;
    Server.Configured = true;
    Server.Zone = zone(Config.Zone);
  }
  recount(Now);
}

void ServerTable::start(std::uint32_t Index, std::uint64_t GrantId,
                        core::TimePoint Now) {
  Servers[Index].Calls.push_back({GrantId, Now});
  update(Index, Now);
  if (Servers[Index].Health.ejected())
    updateNextTrial();
}

void ServerTable::forget(std::uint32_t Index, std::uint64_t GrantId,
                         core::TimePoint Now) {
  auto &Calls = Servers[Index].Calls;
  std::erase_if(Calls, [GrantId](const Outstanding &Call) {
    return Call.GrantId == GrantId;
  });
  update(Index, Now);
  if (Servers[Index].Health.ejected())
    updateNextTrial();
}

void ServerTable::finish(std::uint32_t Index, std::uint64_t GrantId,
                         const core::CallReport &Report, bool Unqueued,
                         bool Trial, core::TimePoint Now) {
  ServerRecord &Server = Servers[Index];
  const auto Elapsed = static_cast<double>(Report.Elapsed.count());
  if (Report.Outcome == core::CallOutcome::Completed) {
    if (isSlow(Server, Now))
      Server.Slow = true;
    if (Elapsed < FastResponse * MeanUs)
      Server.Slow = false;
    if (Unqueued) {
      if (Server.ServiceUs == 0)
        Server.ServiceUs = MeanUs;
      Server.ServiceUs += (Elapsed - Server.ServiceUs) * ServerWeight;
      MeanUs += (Elapsed - MeanUs) * GroupWeight;
    }
  }
  Server.LastRelease = Now;
  std::erase_if(Server.Calls, [GrantId](const Outstanding &Call) {
    return Call.GrantId == GrantId;
  });
  result(Index, Report, Trial, Now);
}

void ServerTable::result(std::uint32_t Index, const core::CallReport &Report,
                         bool Trial, core::TimePoint Now) {
  ServerRecord &Server = Servers[Index];
  const auto Before = standing(Server);
  Server.Health.onResult(Report, Now);
  if (Report.Outcome != core::CallOutcome::Cancelled)
    judge(Server, Report.Outcome != core::CallOutcome::Completed, Trial, Now);
  if (Before != standing(Server))
    recount(Now);
  else if (Server.Health.ejected())
    updateNextTrial();
  update(Index, Now);
}

void ServerTable::judge(ServerRecord &Server, bool Failed, bool Trial,
                        core::TimePoint Now) {
  HealthTracker &Health = Server.Health;
  if (Health.ejected()) {
    // Results of calls sent before the ejection decide nothing.
    if (Failed && Trial)
      Health.eject(Options, Now, Random);
    else if (!Failed && (Trial || Panic))
      Health.readmit(Now);
  } else if (Health.unhealthy() && Server.active() &&
             EjectedCount < Active / 2) {
    Health.eject(Options, Now, Random);
  }
}

void ServerTable::setAdopted(std::uint32_t Index, std::uint32_t Count,
                             core::TimePoint Now) {
  Servers[Index].Adopted = Count;
  update(Index, Now);
}

void ServerTable::probe(std::uint32_t Index, const ProbeResult &Result,
                        core::TimePoint Now) {
  ServerRecord &Server = Servers[Index];
  Server.Health.onProbe(Result, Now);
  if (!Server.Health.ejected())
    judge(Server, Result.State == ProbeState::Unreachable, false, Now);
  recount(Now);
}

void ServerTable::refresh(core::TimePoint Now) { recount(Now); }

// Health changes are rare, so everything derived from it is recomputed.
void ServerTable::recount(core::TimePoint Now) {
  Active = Slots = Unhealthy = EjectedCount = 0;
  for (const ServerRecord &Server : Servers) {
    if (!Server.active())
      continue;
    ++Active;
    Slots += Server.slots();
    Unhealthy += Server.Health.unhealthy();
    EjectedCount += Server.Health.ejected();
  }
  // If all look unhealthy, the fault may be elsewhere: all are used.
  Panic = Active > 0 && Unhealthy == Active;
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

std::uint32_t ServerTable::limit(const ServerRecord &Server,
                                 core::TimePoint Now) const {
  if (!Server.active())
    return 0;
  if (Server.Health.ejected() && !Panic)
    return Server.Health.trialDue(Now) ? 1 : 0;
  const std::uint32_t Full = Server.slots() + Options.Margin;
  return Server.Health.limit(Full, Options, Now);
}

bool ServerTable::usable(const ServerRecord &Server) const {
  return Server.active() && (!Server.Health.ejected() || Panic);
}

int ServerTable::bucketOf(const ServerRecord &Server,
                          core::TimePoint Now) const {
  const std::uint32_t InFlight = Server.inFlight();
  if (!usable(Server) || InFlight >= limit(Server, Now))
    return ServerRecord::NoBucket;
  if (InFlight < Server.slots())
    return static_cast<int>(InFlight * FreeBuckets / Server.slots());
  const auto Above = static_cast<int>(InFlight - Server.slots());
  return std::min(FreeBuckets + Above, Buckets - 1);
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

// Each bucket is a circular list; new members go to the end.
void ServerTable::insert(std::uint32_t Index, int Bucket) {
  ServerRecord &Server = Servers[Index];
  Server.Bucket = Bucket;
  ++Eligible;
  std::uint32_t &Head = Heads[static_cast<std::size_t>(Bucket)];
  if (Head == None) {
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
  std::uint32_t &Head = Heads[static_cast<std::size_t>(Server.Bucket)];
  Server.Bucket = ServerRecord::NoBucket;
  --Eligible;
  if (Server.Next == Index) {
    Head = None;
    return;
  }
  if (Head == Index)
    Head = Server.Next;
  Servers[Server.Previous].Next = Server.Next;
  Servers[Server.Next].Previous = Server.Previous;
}

void ServerTable::updateNextTrial() {
  NextTrial = core::TimePoint::max();
  if (EjectedCount == 0 || Panic)
    return;
  for (const ServerRecord &Server : Servers) {
    if (Server.active() && Server.Health.ejected() && Server.inFlight() == 0)
      NextTrial = std::min(NextTrial, Server.Health.trialAt());
  }
}

std::uint32_t ServerTable::zone(std::string_view Name) {
  return Zones.emplace(Name, static_cast<std::uint32_t>(Zones.size()))
      .first->second;
}

std::uint32_t ServerTable::knownZone(std::string_view Name) const {
  const auto Found = Zones.find(Name);
  return Found == Zones.end() ? None : Found->second;
}

} // namespace jujubecart::decision::internal
