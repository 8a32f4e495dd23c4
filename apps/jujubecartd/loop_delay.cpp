#include "loop_delay.hpp"

#include <jujubecart/core/log.hpp>

namespace jujubecart::daemon {

namespace internal {

constexpr std::chrono::milliseconds DelayCheckInterval{250};
constexpr std::chrono::milliseconds LoggedDelay{250};

} // namespace internal

core::Awaitable<void> LoopDelayMonitor::run(const std::atomic<bool> &Stopping) {
  while (!Stopping) {
    const core::TimePoint Due = Time.now() + internal::DelayCheckInterval;
    co_await Sleeper.sleepUntil(Due);
    record(std::chrono::duration_cast<std::chrono::milliseconds>(Time.now() -
                                                                 Due));
  }
}

void LoopDelayMonitor::record(std::chrono::milliseconds Delay) {
  Delays.add(static_cast<double>(Delay.count()));
  if (Delay >= internal::LoggedDelay)
    core::LogLine(core::LogLevel::Warning, "vm.delayed")
        .field("delay_ms", Delay.count());
}

} // namespace jujubecart::daemon
