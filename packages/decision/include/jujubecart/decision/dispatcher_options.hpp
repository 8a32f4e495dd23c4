#ifndef JUJUBECART_DECISION_DISPATCHER_OPTIONS_HPP
#define JUJUBECART_DECISION_DISPATCHER_OPTIONS_HPP

#include <jujubecart/core/config.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace jujubecart::decision {

/// @brief Settings of a GroupDispatcher.
struct DispatcherOptions {
  /// Outstanding grants per backend server above its slots. With 10 ms of
  /// service and 1.5 ms between zones, 1 saturates at 90% load, because a slot
  /// idles for four one-way delays, and 2 misses the bound with 3 slots.
  std::uint32_t Margin = 3;
  /// A grant above the slots is made only if the expected wait at the server,
  /// in mean service times, is at most this.
  double ExtraWait = 5;
  /// Busy slot time without a response, in mean service times, that makes a
  /// backend server suspect. 5 suspects so many healthy servers that p99 at
  /// 90% load rises by a sixth.
  double SuspectWork = 12;
  /// A suspect server gets a call only if that call has waited this many mean
  /// service times.
  double SuspectWait = 5;
  /// Service time assumed before the first measurement.
  std::chrono::microseconds InitialServiceTime{10000};
  /// Calls whose expected wait is longer are rejected at once. A quarter of a
  /// second of queue drains within one second at 75% load.
  std::chrono::milliseconds MaxExpectedWait{250};
  std::size_t MaxQueued = 4096;
  /// Slow start of new and recovered backend servers.
  std::chrono::milliseconds RampTime{2000};
  /// First and longest time between ejection and trial request.
  std::chrono::milliseconds EjectMin{200};
  std::chrono::milliseconds EjectMax{10000};
  /// This group's share of the service's budget for health probes; the
  /// dispatcher uses half of it.
  std::uint32_t MeasurePerS = 10;
  core::PolicyProfile Profile = core::PolicyProfile::Tail;
  /// Seed of jitter and tie-breaking.
  std::uint64_t Seed = 1;
};

/// @brief Options for each dispatch group of a service.
/// @param Service The service; its measurement budget is divided evenly
/// between its groups.
/// @param Seed Seed of jitter and tie-breaking.
/// @return The options.
[[nodiscard]] DispatcherOptions
dispatcherOptions(const core::ServiceConfig &Service, std::uint64_t Seed);

} // namespace jujubecart::decision

#endif
