#ifndef JUJUBECART_DECISION_DISPATCHER_OPTIONS_HPP
#define JUJUBECART_DECISION_DISPATCHER_OPTIONS_HPP

#include <jujubecart/core/config.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace jujubecart::decision {

/// @brief Settings of a GroupDispatcher.
struct DispatcherOptions {
  /// Outstanding grants per backend server above its slots.
  std::uint32_t Margin = 1;
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
