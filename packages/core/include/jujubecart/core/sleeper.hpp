#ifndef JUJUBECART_CORE_SLEEPER_HPP
#define JUJUBECART_CORE_SLEEPER_HPP

#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/clock.hpp>

namespace jujubecart::core {

/// @brief Suspends coroutines, replaced by a simulated one in tests.
class Sleeper {
public:
  virtual ~Sleeper() = default;

  /// @brief Suspends the caller until an instant; returns early if cancelled.
  [[nodiscard]] virtual Awaitable<void> sleepUntil(TimePoint Instant) = 0;
};

/// @brief Sleeps by the clock of the operating system.
class SystemSleeper final : public Sleeper {
public:
  [[nodiscard]] Awaitable<void> sleepUntil(TimePoint Instant) override;
};

} // namespace jujubecart::core

#endif
