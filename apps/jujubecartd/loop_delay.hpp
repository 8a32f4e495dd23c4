#ifndef JUJUBECART_APPS_JUJUBECARTD_LOOP_DELAY_HPP
#define JUJUBECART_APPS_JUJUBECARTD_LOOP_DELAY_HPP

#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/metrics.hpp>
#include <jujubecart/core/sleeper.hpp>

#include <atomic>
#include <chrono>

namespace jujubecart::daemon {

/// @brief Measures how late the event loop runs what is due, and logs long
/// delays.
class LoopDelayMonitor {
public:
  /// @param Delays Gets one sample in milliseconds for each check.
  LoopDelayMonitor(const core::Clock &Time, core::Sleeper &Sleeper,
                   core::Summary &Delays) noexcept
      : Time(Time), Sleeper(Sleeper), Delays(Delays) {}

  /// @brief Measures until a stop.
  [[nodiscard]] core::Awaitable<void> run(const std::atomic<bool> &Stopping);

private:
  void record(std::chrono::milliseconds Delay);

  const core::Clock &Time;
  core::Sleeper &Sleeper;
  core::Summary &Delays;
};

} // namespace jujubecart::daemon

#endif
