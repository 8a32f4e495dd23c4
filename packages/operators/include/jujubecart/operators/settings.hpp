#ifndef JUJUBECART_OPERATORS_SETTINGS_HPP
#define JUJUBECART_OPERATORS_SETTINGS_HPP

#include <jujubecart/core/log.hpp>
#include <jujubecart/operators/tls_files.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jujubecart::operators {

/// @brief Identity of this VM.
struct VmSettings {
  std::string Id;
  std::string Zone;
  std::string Region;
  /// IP from which outgoing connections are made; empty: any.
  std::string Address;
  /// Part of each core that this process may use.
  double ProcessorShare = 1;
  double Cores = 1;

  friend auto operator<=>(const VmSettings &, const VmSettings &) = default;
};

/// @brief Listener for callers and its limits.
struct CallerSettings {
  std::string Listen;
  std::uint32_t MaxConnections = 10000;
  std::uint32_t HeaderLimitBytes = 16384;
  std::uint64_t BodyLimitBytes = 67108864;
  std::uint32_t HeaderTimeoutMs = 10000;
  std::uint32_t IdleTimeoutMs = 60000;
  std::uint32_t MaxDeadlineMs = 60000;
  /// 0 disables hedged requests.
  std::uint32_t HedgeAfterMs = 0;

  friend auto operator<=>(const CallerSettings &,
                          const CallerSettings &) = default;
};

/// @brief Listener for operators and the readiness check.
struct OperatorSettings {
  std::string Listen;
  TlsFiles Tls;

  friend auto operator<=>(const OperatorSettings &,
                          const OperatorSettings &) = default;
};

/// @brief Listener for other entry VMs.
struct PeerSettings {
  std::string Listen;
  /// Address that other VMs use; empty: the same as Listen.
  std::string Advertise;
  /// Addresses tried before the platform's list is known.
  std::vector<std::string> Seeds;
  TlsFiles Tls;
  std::uint32_t SuspectAfterMs = 3000;
  std::uint32_t RemoveAfterMs = 30000;

  friend auto operator<=>(const PeerSettings &, const PeerSettings &) = default;
};

/// @brief The platform's key-value service.
struct StoreSettings {
  std::vector<std::string> Endpoints;
  std::uint32_t TimeoutMs = 1000;

  friend auto operator<=>(const StoreSettings &,
                          const StoreSettings &) = default;
};

/// @brief Store entries from which routes, backend servers and VMs are read
/// instead of tickets.
struct DirectorySettings {
  bool Enabled = false;
  /// Region of each availability zone.
  std::map<std::string, std::string> Zones;
  /// Longest time from SIGTERM to the end of the process.
  std::uint32_t GraceMs = 6000;
  /// How long new connections are accepted after SIGTERM, until the
  /// platform's balancer has noticed that this VM is not ready.
  std::uint32_t LeaveMs = 2300;

  friend auto operator<=>(const DirectorySettings &,
                          const DirectorySettings &) = default;
};

/// @brief All settings of one process.
struct Settings {
  VmSettings Vm;
  CallerSettings Callers;
  OperatorSettings Operators;
  PeerSettings Peers;
  StoreSettings Store;
  DirectorySettings Directory;
  /// Endpoint of the platform's VM list; empty if there is none.
  std::string PlatformEndpoint;
  /// `dispatcher` or a baseline policy without dispatcher.
  std::string Policy = "dispatcher";
  std::uint32_t Workers = 2;
  std::uint32_t ShutdownDeadlineS = 60;
  std::uint32_t TimelineEvents = 20000;
  core::LogLevel LogLevel = core::LogLevel::Info;

  friend auto operator<=>(const Settings &, const Settings &) = default;
};

} // namespace jujubecart::operators

#endif
