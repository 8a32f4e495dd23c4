#include "daemon_options.hpp"

#include <jujubecart/core/hash.hpp>

#include <algorithm>
#include <cmath>

namespace jujubecart::daemon {

namespace {

// Work of backend servers takes more than 100 ms there, and a VM has a fifth
// of a core, so silence of a few tens of milliseconds says nothing.
constexpr std::chrono::milliseconds DirectoryHeartbeat{100};
constexpr std::chrono::milliseconds DirectorySilence{400};
constexpr std::chrono::milliseconds DirectoryDial{150};
// Time for the last responses to reach their callers before SIGKILL.
constexpr std::uint32_t ShutdownReserveMs = 400;
constexpr std::size_t HeldResponseBytes = 65536;
// Shorter than the idle timeout of the backend servers.
constexpr std::chrono::milliseconds DirectoryIdle{8000};

std::uint32_t processorMilli(const operators::VmSettings &Vm) {
  constexpr double MilliPerCore = 1000;
  return static_cast<std::uint32_t>(
      std::max(1L, std::lround(Vm.ProcessorShare * Vm.Cores * MilliPerCore)));
}

} // namespace

std::chrono::milliseconds shutdownTime(const operators::Settings &All) {
  if (!All.Directory.Enabled)
    return std::chrono::seconds(All.ShutdownDeadlineS);
  return std::chrono::milliseconds(All.Directory.GraceMs > ShutdownReserveMs
                                       ? All.Directory.GraceMs -
                                             ShutdownReserveMs
                                       : All.Directory.GraceMs);
}

std::chrono::milliseconds leaveTime(const operators::Settings &All) {
  return std::chrono::milliseconds(All.Directory.Enabled ? All.Directory.LeaveMs
                                                         : 0);
}

callers::ServerOptions callerOptions(const operators::Settings &All) {
  const operators::CallerSettings &Settings = All.Callers;
  callers::ServerOptions Options;
  Options.MaxConnections = Settings.MaxConnections;
  Options.MaxHead = Settings.HeaderLimitBytes;
  Options.MaxBody = Settings.BodyLimitBytes;
  Options.HeadTimeout = std::chrono::milliseconds(Settings.HeaderTimeoutMs);
  Options.IdleTimeout = std::chrono::milliseconds(Settings.IdleTimeoutMs);
  Options.MaxDeadline = std::chrono::milliseconds(Settings.MaxDeadlineMs);
  Options.HedgeDelay = std::chrono::milliseconds(Settings.HedgeAfterMs);
  if (All.Directory.Enabled) {
    Options.HoldResponses = true;
    Options.BufferedResponse = HeldResponseBytes;
  }
  return Options;
}

backends::PoolOptions poolOptions(const operators::Settings &Settings) {
  backends::PoolOptions Options;
  Options.Source = Settings.Vm.Address;
  if (Settings.Directory.Enabled)
    Options.IdleTimeout = DirectoryIdle;
  return Options;
}

peers::PeerOptions peerOptions(const operators::Settings &All,
                               std::uint64_t Incarnation) {
  peers::PeerOptions Options;
  Options.Self = {.Id = All.Vm.Id,
                  .Address = All.Peers.Advertise.empty() ? All.Peers.Listen
                                                         : All.Peers.Advertise,
                  .Operators = All.Operators.Listen,
                  .Zone = All.Vm.Zone,
                  .Region = All.Vm.Region,
                  .ProcessorMilli = processorMilli(All.Vm),
                  .Incarnation = Incarnation};
  Options.Listen = All.Peers.Listen;
  Options.Source = All.Vm.Address;
  Options.PlainTcp = !All.Peers.Tls.enabled();
  Options.CertificateFile = All.Peers.Tls.Certificate;
  Options.KeyFile = All.Peers.Tls.Key;
  Options.CaFile = All.Peers.Tls.Ca;
  Options.SuspectAfter = std::chrono::milliseconds(All.Peers.SuspectAfterMs);
  Options.RemoveAfter = std::chrono::milliseconds(All.Peers.RemoveAfterMs);
  Options.Seed = core::hash64(All.Vm.Id, Incarnation);
  if (All.Directory.Enabled) {
    Options.AskNextDispatcher = true;
    Options.SyncConfig = false;
    Options.HeartbeatEvery = DirectoryHeartbeat;
    Options.SilenceLimit = DirectorySilence;
    Options.DialPatience = DirectoryDial;
  }
  return Options;
}

std::string localPolicy(const std::string &Policy) {
  if (Policy == "dispatcher" || Policy == "two-choices")
    return "power-of-two-choices";
  return Policy;
}

} // namespace jujubecart::daemon
