#ifndef JUJUBECART_CORE_CLOCK_HPP
#define JUJUBECART_CORE_CLOCK_HPP

#include <chrono>

namespace jujubecart::core {

/// @brief Monotonic instant; deadlines are stored as this type.
using TimePoint = std::chrono::steady_clock::time_point;

/// @brief Instant of the wall clock, used on the wire and in logs.
using WallTime = std::chrono::system_clock::time_point;

/// @brief Source of time, replaced by a fake in tests.
class Clock {
public:
  virtual ~Clock() = default;

  /// @brief Current monotonic time.
  [[nodiscard]] virtual TimePoint now() const noexcept = 0;

  /// @brief Current wall clock time.
  [[nodiscard]] virtual WallTime wallNow() const noexcept = 0;
};

/// @brief Clock of the operating system.
class SystemClock final : public Clock {
public:
  [[nodiscard]] TimePoint now() const noexcept override;
  [[nodiscard]] WallTime wallNow() const noexcept override;
};

/// @brief Converts a wall clock deadline to the monotonic clock.
/// @param Source Clock that relates the two.
/// @param Wall Wall clock instant.
/// @return The same instant on the monotonic clock.
[[nodiscard]] TimePoint toMonotonic(const Clock &Source,
                                    WallTime Wall) noexcept;

/// @brief Converts a monotonic deadline to the wall clock.
/// @param Source Clock that relates the two.
/// @param Instant Monotonic instant.
/// @return The same instant on the wall clock.
[[nodiscard]] WallTime toWall(const Clock &Source, TimePoint Instant) noexcept;

} // namespace jujubecart::core

#endif
