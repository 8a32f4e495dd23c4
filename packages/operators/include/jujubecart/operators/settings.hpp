#ifndef JUJUBECART_OPERATORS_SETTINGS_HPP
#define JUJUBECART_OPERATORS_SETTINGS_HPP

#include <jujubecart/core/log.hpp>
#include <jujubecart/operators/tls_files.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubecart::operators {

/// @brief Identity of this VM.
struct VmSettings {
  std::string Id;
  std::string Zone;
  std::string Region;
  /// Source IP of outgoing connections; empty: chosen by the system.
  std::string Address;
  /// Fraction of each core that this process may use, at most 1.
  double ProcessorShare = 1;
  /// Number of cores of the VM.
  double Cores = 1;

  friend auto operator<=>(const VmSettings &, const VmSettings &) = default;
};

/// @brief Listener for callers and its limits.
struct CallerSettings {
  /// `IP:port`.
  std::string Listen;
  std::uint32_t MaxConnections = 10000;
  std::uint32_t HeaderLimitBytes = 16384;
  std::uint64_t BodyLimitBytes = 67108864;
  std::uint32_t HeaderTimeoutMs = 10000;
  std::uint32_t IdleTimeoutMs = 60000;
  /// Upper bound of a caller's deadline and of a service's default.
  std::uint32_t MaxDeadlineMs = 60000;
  /// Delay before a hedged lookup; 0 disables hedging.
  std::uint32_t HedgeAfterMs = 0;

  friend auto operator<=>(const CallerSettings &,
                          const CallerSettings &) = default;
};

/// @brief Listener for operators and the readiness check.
struct OperatorSettings {
  /// `IP:port`.
  std::string Listen;
  TlsFiles Tls;

  friend auto operator<=>(const OperatorSettings &,
                          const OperatorSettings &) = default;
};

/// @brief Listener for other entry VMs.
struct PeerSettings {
  /// `IP:port`.
  std::string Listen;
  /// `IP:port` at which other VMs reach this one; empty: the same as Listen.
  std::string Advertise;
  /// `IP:port` of entry VMs to connect to while no other member is known.
  std::vector<std::string> Seeds;
  TlsFiles Tls;
  /// Silence after which a member becomes suspect.
  std::uint32_t SuspectAfterMs = 3000;
  /// Silence after which a member is removed; at least SuspectAfterMs.
  std::uint32_t RemoveAfterMs = 30000;

  friend auto operator<=>(const PeerSettings &, const PeerSettings &) = default;
};

/// @brief Access to the platform's key-value store.
struct StoreSettings {
  /// `IP:port` of each endpoint of the store; at least one.
  std::vector<std::string> Endpoints;
  std::uint32_t TimeoutMs = 1000;

  friend auto operator<=>(const StoreSettings &,
                          const StoreSettings &) = default;
};

/// @brief Directory mode: routes, backend servers and VMs are read from store
/// entries instead of from tickets.
struct DirectorySettings {
  /// Whether the settings contain a `directory` object.
  bool Enabled = false;
  /// Region of each availability zone, by the name of the zone.
  std::map<std::string, std::string> Zones;
  /// Maximum time from SIGTERM to the end of the process; replaces
  /// ShutdownDeadlineS in directory mode.
  std::uint32_t GraceMs = 6000;
  /// How long new connections are still accepted after SIGTERM, until the
  /// platform's load balancer has noticed that this VM is not ready.
  std::uint32_t LeaveMs = 2300;
  /// Time after which no request runs with an API key that was removed; 0 if
  /// VMs without news from the store go on with the keys that they know.
  std::uint32_t RevokeMs = 0;

  friend auto operator<=>(const DirectorySettings &,
                          const DirectorySettings &) = default;
};

/// @brief What traffic between availability zones costs.
struct ZoneSettings {
  /// Price of a gigabyte between zones, in calls that meet their objective;
  /// without one, each call to another zone has the same small price.
  std::optional<double> PricePerGb;

  friend auto operator<=>(const ZoneSettings &, const ZoneSettings &) = default;
};

/// @brief Limits on the retries to each service.
struct RetrySettings {
  /// Retries per first attempt.
  double Ratio = 0.1;
  /// Retries that all VMs together may save up for a burst; 0 lets each VM save
  /// ten.
  std::uint32_t FleetBurst = 0;

  friend auto operator<=>(const RetrySettings &,
                          const RetrySettings &) = default;
};

/// @brief How the quotas of workspaces are counted: in each window at most
/// (rate x window + burst) x (1 + Excess) + Slack requests.
struct QuotaSettings {
  std::uint32_t WindowMs = 5000;
  double Excess = 0.1;
  double Slack = 20;

  friend auto operator<=>(const QuotaSettings &,
                          const QuotaSettings &) = default;
};

/// @brief All settings of one process.
struct Settings {
  VmSettings Vm;
  CallerSettings Callers;
  OperatorSettings Operators;
  PeerSettings Peers;
  StoreSettings Store;
  DirectorySettings Directory;
  RetrySettings Retries;
  QuotaSettings Quotas;
  ZoneSettings Zones;
  /// `IP:port` that serves the platform's VM list; empty if there is none.
  std::string PlatformEndpoint;
  /// `dispatcher`, or a baseline policy that each VM applies on its own:
  /// `two-choices`, `round-robin`, `random` or `least-reported`.
  std::string Policy = "dispatcher";
  /// Number of threads that serve callers and peers.
  std::uint32_t Workers = 2;
  /// Maximum time that requests in flight get after SIGTERM.
  std::uint32_t ShutdownDeadlineS = 60;
  /// Number of events kept in memory for the timeline.
  std::uint32_t TimelineEvents = 20000;
  core::LogLevel LogLevel = core::LogLevel::Info;

  friend auto operator<=>(const Settings &, const Settings &) = default;
};

} // namespace jujubecart::operators

#endif
