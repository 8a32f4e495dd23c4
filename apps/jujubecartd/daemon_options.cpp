#include "daemon_options.hpp"

#include <jujubecart/core/hash.hpp>

namespace jujubecart::daemon {

callers::ServerOptions
callerOptions(const operators::CallerSettings &Settings) {
  callers::ServerOptions Options;
  Options.MaxConnections = Settings.MaxConnections;
  Options.MaxHead = Settings.HeaderLimitBytes;
  Options.MaxBody = Settings.BodyLimitBytes;
  Options.HeadTimeout = std::chrono::milliseconds(Settings.HeaderTimeoutMs);
  Options.IdleTimeout = std::chrono::milliseconds(Settings.IdleTimeoutMs);
  Options.MaxDeadline = std::chrono::milliseconds(Settings.MaxDeadlineMs);
  Options.HedgeDelay = std::chrono::milliseconds(Settings.HedgeAfterMs);
  return Options;
}

backends::PoolOptions poolOptions(const operators::Settings &Settings) {
  backends::PoolOptions Options;
  Options.Source = Settings.Vm.Address;
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
  return Options;
}

std::string localPolicy(const std::string &Policy) {
  if (Policy == "dispatcher" || Policy == "two-choices")
    return "power-of-two-choices";
  return Policy;
}

} // namespace jujubecart::daemon
