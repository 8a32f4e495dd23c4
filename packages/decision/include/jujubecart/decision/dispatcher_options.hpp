#ifndef JUJUBECART_DECISION_DISPATCHER_OPTIONS_HPP
#define JUJUBECART_DECISION_DISPATCHER_OPTIONS_HPP

#include <jujubecart/core/config.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace jujubecart::decision {

/// @brief Settings of a dispatcher. An ObjectiveDispatcher uses only MaxQueued,
/// RampTime, the ejection times, Profile, Seed, Zone and ZonePricePerGb.
struct DispatcherOptions {
  /// Maximum number of outstanding grants per backend server beyond its slots.
  /// With a mean service time of 10 ms and a one-way delay of 1.5 ms between
  /// zones, a margin of 1 saturates at 90% load, because a slot idles for four
  /// one-way delays between two calls, and a margin of 2 misses the p99 bound
  /// of the simulation with 3 slots per server.
  std::uint32_t Margin = 3;
  /// Maximum expected wait at the server, in mean service times, for a grant
  /// beyond the server's slots.
  double MaxExtraWait = 5;
  /// Time that the busy slots of a backend server have spent in total since its
  /// last response, in mean service times, above which it becomes suspect. With
  /// 5, so many healthy servers become suspect that p99 latency at 90% load
  /// rises by a sixth.
  double SuspectBusyTime = 12;
  /// Time that a call must have waited, in mean service times, before a suspect
  /// server may get it.
  double MinSuspectWait = 5;
  /// Initial value of the moving average of the group's service time.
  std::chrono::microseconds InitialServiceTime{10000};
  /// Calls with a longer expected wait are rejected at once. A queue of a
  /// quarter of a second drains within one second at 75% load. Calls that have
  /// waited for twice this time are rejected as well.
  std::chrono::milliseconds MaxExpectedWait{250};
  /// Maximum number of waiting calls. Beyond it, a GroupDispatcher rejects a
  /// call of the lowest waiting priority, an ObjectiveDispatcher rejects calls
  /// that will miss their latency objective.
  std::size_t MaxQueued = 4096;
  /// Duration of the slow start of new and recovered backend servers, during
  /// which their limit of outstanding grants rises linearly from 1; 0 disables
  /// it.
  std::chrono::milliseconds RampTime{2000};
  /// Time from an ejection to the first trial request. It doubles with each
  /// failed trial request, and with an ejection soon after the last one, up to
  /// MaxEjectionTime; jitter of 20% is applied.
  std::chrono::milliseconds MinEjectionTime{200};
  std::chrono::milliseconds MaxEjectionTime{10000};
  /// This group's share of the service's budget for health probes, in probes
  /// per second. The dispatcher uses at most half of it, because two VMs may
  /// both act as dispatcher for a while. No probes are sent if this is below 2.
  std::uint32_t ProbesPerS = 10;
  /// Selects the dispatcher; Cost lowers the probe rate of a GroupDispatcher.
  core::PolicyProfile Profile = core::PolicyProfile::Tail;
  /// Seed of the random numbers for jitter and the first grant id.
  std::uint64_t Seed = 1;
  /// Availability zone of this VM; empty if unknown.
  std::string Zone;
  /// Price of a gigabyte between zones, in calls that meet their objective.
  /// Without one, each call to another zone has the same price.
  std::optional<double> ZonePricePerGb;
};

/// @brief Derives the options that apply to each dispatch group of a service.
/// @param Service The service; its probe budget is divided evenly between its
/// groups, rounded down.
/// @param Seed Copied to DispatcherOptions::Seed.
[[nodiscard]] DispatcherOptions
dispatcherOptions(const core::ServiceConfig &Service, std::uint64_t Seed);

} // namespace jujubecart::decision

#endif
