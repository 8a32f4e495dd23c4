#include <jujubecart/decision/internal/load_table.hpp>

#include <algorithm>

namespace jujubecart::decision::internal {

LoadTable::LoadTable(const std::vector<core::BackendServer> &Configured,
                     const DispatcherOptions &Options, core::TimePoint Now)
    : Options(Options), Zones(Options.Zone, Options.ZonePricePerGb),
      Random(Options.Seed) {
  configure(Configured, Now);
}

void LoadTable::refresh(core::TimePoint Now) {
  if (AnyLimited)
    updateTotals(Now);
}

void LoadTable::configure(const std::vector<core::BackendServer> &Configured,
                          core::TimePoint Now) {
  Summary.reset();
  for (ServerLoad &Server : Servers)
    Server.Configured = false;
  for (const core::BackendServer &Config : Configured) {
    const auto [Entry, New] = ById.emplace(Config.Id, size());
    if (New) {
      Servers.emplace_back().Config = Config;
      Servers.back().Limiter.setShare(LimitShare, core::TimePoint());
      Servers.back().Limiter.setCold(Config.ColdLimit, Config.ColdUntil, Now);
      continue;
    }
    ServerLoad &Server = Servers[Entry->second];
    // The server was replaced by another process; what was learned about the
    // old one does not apply.
    if (Server.Config.Address != Config.Address ||
        Server.Config.Incarnation != Config.Incarnation) {
      Server.Health = HealthTracker();
      Server.Pace.reset();
      Server.ServiceTimeFactor = 1;
      Server.Saturation = SaturationModel();
      Server.Failures = FailureRate();
      Server.Rejections = FailureRate();
      Server.Silent = false;
      Server.Connections = IdleConnections();
      Server.Replaced = false;
      Server.Limiter = ServerRateLimiter();
      Server.Limiter.setShare(LimitShare, core::TimePoint());
    }
    Server.Config = Config;
    Server.Configured = true;
    Server.Limiter.setCold(Config.ColdLimit, Config.ColdUntil, Now);
  }
  updateTotals(Now);
}

void LoadTable::updateTotals(core::TimePoint Now) {
  ActiveServers = EjectedServers = UnhealthyServers = 0;
  UsableSlots = 0;
  for (auto &[Zone, Slots] : UsableSlotsByZone)
    Slots = 0;
  AnyLimited = false;
  for (const ServerLoad &Server : Servers) {
    if (!Server.active())
      continue;
    ++ActiveServers;
    AnyLimited = AnyLimited || Server.Limiter.limited(Now);
    if (!Server.Health.ejected()) {
      const double Slots = capacitySlots(Server, Now);
      UsableSlots += Slots;
      if (Zones.priced())
        UsableSlotsByZone[Server.Config.Zone] += Slots;
    }
    EjectedServers += Server.Health.ejected();
    UnhealthyServers += Server.Health.unhealthy();
  }
}

void LoadTable::recordArrival(const PendingCall &Call, core::TimePoint Now) {
  Demand.recordArrival(Work.expectedServiceTimeUs(Call, Now), Now);
}

std::optional<std::uint32_t> LoadTable::find(std::string_view Id) const {
  const auto Found = ById.find(Id);
  if (Found == ById.end())
    return std::nullopt;
  return Found->second;
}

bool LoadTable::anyServerFor(const PendingCall &Call) const {
  return std::any_of(
      Servers.begin(), Servers.end(), [&](const ServerLoad &Server) {
        return Server.active() && !Call.excludes(Server.Config.Id);
      });
}

} // namespace jujubecart::decision::internal
