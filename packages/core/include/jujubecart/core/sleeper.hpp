#ifndef JUJUBECART_CORE_SLEEPER_HPP
#define JUJUBECART_CORE_SLEEPER_HPP

#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/clock.hpp>

namespace jujubecart::core {

/// @brief Suspends coroutines; tests replace it with simulated time.
class Sleeper {
public:
  virtual ~Sleeper() = default;

  /// @brief Suspends the calling coroutine; returns early if it is cancelled.
  [[nodiscard]] virtual Awaitable<void> sleepUntil(TimePoint Instant) = 0;
};

/// @brief Sleeps on the monotonic clock of the operating system.
class SystemSleeper final : public Sleeper {
public:
  [[nodiscard]] Awaitable<void> sleepUntil(TimePoint Instant) override;
};

} // namespace jujubecart::core

#endif
