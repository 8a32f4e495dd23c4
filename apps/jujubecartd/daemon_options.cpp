#include "daemon_options.hpp"

#include <jujubecart/core/hash.hpp>

#include <algorithm>
#include <cmath>

namespace jujubecart::daemon {

namespace {

// In directory mode backend servers work on a call for more than 100 ms and a
// VM has a fifth of a core, so a dispatcher that is silent for a few tens of
// milliseconds may well be healthy.
constexpr std::chrono::milliseconds DirectoryHeartbeatInterval{100};
constexpr std::chrono::milliseconds DirectoryDispatcherTimeout{400};
constexpr std::chrono::milliseconds DirectoryLinkTimeout{150};
// Part of the grace period that is kept for the last responses to reach their
// callers before SIGKILL.
constexpr std::uint32_t ShutdownReserveMs = 400;
constexpr std::size_t MaxBufferedResponseBytes = 65536;
// Subtracted from the time within which a removed API key must stop working: a
// watch of the store may miss changes of the last second, and 600 ms are kept
// for answers that the store gives before the end of the wait.
constexpr std::chrono::milliseconds RevocationMargin{1600};
// Must be shorter than the idle timeout of the backend servers.
constexpr std::chrono::milliseconds DirectoryIdleTimeout{8000};

// Processing power that this process may use, in thousandths of a core.
std::uint32_t processorMilli(const operators::VmSettings &Vm) {
  constexpr double MilliPerCore = 1000;
  return static_cast<std::uint32_t>(
      std::max(1L, std::lround(Vm.ProcessorShare * Vm.Cores * MilliPerCore)));
}

} // namespace

std::chrono::milliseconds shutdownTimeout(const operators::Settings &Settings) {
  if (!Settings.Directory.Enabled)
    return std::chrono::seconds(Settings.ShutdownDeadlineS);
  return std::chrono::milliseconds(
      Settings.Directory.GraceMs > ShutdownReserveMs
          ? Settings.Directory.GraceMs - ShutdownReserveMs
          : Settings.Directory.GraceMs);
}

std::chrono::milliseconds leaveDuration(const operators::Settings &Settings) {
  return std::chrono::milliseconds(
      Settings.Directory.Enabled ? Settings.Directory.LeaveMs : 0);
}

// The fleet stays below the limits that are set: whoever enforces them may
// count in other windows than the buckets, and a VM that is cut off from the
// others still has its share.
decision::RetryBudgetOptions retryOptions(const operators::Settings &Settings,
                                          std::size_t Vms) {
  constexpr double UsedShare = 0.75;
  decision::RetryBudgetOptions Options;
  if (Settings.Retries.FleetBurst == 0) {
    Options.Ratio = Settings.Retries.Ratio;
    return Options;
  }
  Options.Ratio = UsedShare * Settings.Retries.Ratio;
  Options.MaxSaved =
      std::clamp(UsedShare * Settings.Retries.FleetBurst /
                     static_cast<double>(std::max<std::size_t>(Vms, 1)),
                 1.0, Options.MaxSaved);
  return Options;
}

callers::ServerOptions callerOptions(const operators::Settings &Settings) {
  const operators::CallerSettings &Callers = Settings.Callers;
  callers::ServerOptions Options;
  Options.MaxConnections = Callers.MaxConnections;
  Options.MaxHeadBytes = Callers.HeaderLimitBytes;
  Options.MaxBodyBytes = Callers.BodyLimitBytes;
  Options.HeadTimeout = std::chrono::milliseconds(Callers.HeaderTimeoutMs);
  Options.IdleTimeout = std::chrono::milliseconds(Callers.IdleTimeoutMs);
  Options.MaxDeadline = std::chrono::milliseconds(Callers.MaxDeadlineMs);
  Options.HedgeDelay = std::chrono::milliseconds(Callers.HedgeAfterMs);
  if (Settings.Directory.Enabled) {
    Options.BufferResponsesWithoutLength = true;
    Options.MaxBufferedResponseBytes = MaxBufferedResponseBytes;
    if (Settings.Directory.RevokeMs != 0)
      Options.MaxKeyAge =
          std::chrono::milliseconds(Settings.Directory.RevokeMs) -
          RevocationMargin;
  }
  return Options;
}

backends::PoolOptions poolOptions(const operators::Settings &Settings) {
  backends::PoolOptions Options;
  Options.SourceAddress = Settings.Vm.Address;
  Options.Zone = Settings.Vm.Zone;
  if (Settings.Directory.Enabled)
    Options.IdleTimeout = DirectoryIdleTimeout;
  return Options;
}

peers::PeerOptions peerOptions(const operators::Settings &Settings,
                               std::uint64_t Incarnation,
                               const core::Clock &Time) {
  peers::PeerOptions Options;
  Options.Self = {.Id = Settings.Vm.Id,
                  .Address = Settings.Peers.Advertise.empty()
                                 ? Settings.Peers.Listen
                                 : Settings.Peers.Advertise,
                  .OperatorsAddress = Settings.Operators.Listen,
                  .Zone = Settings.Vm.Zone,
                  .Region = Settings.Vm.Region,
                  .ProcessorMilli = processorMilli(Settings.Vm),
                  .Incarnation = Incarnation};
  Options.Listen = Settings.Peers.Listen;
  Options.SourceAddress = Settings.Vm.Address;
  Options.PlainTcp = !Settings.Peers.Tls.enabled();
  Options.CertificateFile = Settings.Peers.Tls.Certificate;
  Options.KeyFile = Settings.Peers.Tls.Key;
  Options.CaFile = Settings.Peers.Tls.Ca;
  Options.SuspectAfter =
      std::chrono::milliseconds(Settings.Peers.SuspectAfterMs);
  Options.RemoveAfter = std::chrono::milliseconds(Settings.Peers.RemoveAfterMs);
  Options.ZonePricePerGb = Settings.Zones.PricePerGb;
  Options.Quotas = {.Window =
                        std::chrono::milliseconds(Settings.Quotas.WindowMs),
                    .Excess = Settings.Quotas.Excess,
                    .Slack = Settings.Quotas.Slack};
  Options.RandomSeed = core::hash64(Settings.Vm.Id, Incarnation);
  if (Settings.Directory.Enabled) {
    Options.AskNextDispatcher = true;
    if (Settings.Directory.RevokeMs != 0)
      Options.StatedClock = &Time;
    Options.SyncConfig = false;
    Options.FastFirstRounds = false;
    Options.HeartbeatInterval = DirectoryHeartbeatInterval;
    Options.DispatcherTimeout = DirectoryDispatcherTimeout;
    Options.LinkWaitTimeout = DirectoryLinkTimeout;
  }
  return Options;
}

std::string localPolicyName(const std::string &Policy) {
  if (Policy == "dispatcher" || Policy == "two-choices")
    return "power-of-two-choices";
  return Policy;
}

} // namespace jujubecart::daemon
