#ifndef JUJUBECART_CORE_CLOCK_HPP
#define JUJUBECART_CORE_CLOCK_HPP

#include <chrono>

namespace jujubecart::core {

/// @brief Time on the monotonic clock; the type of all deadlines in memory.
using TimePoint = std::chrono::steady_clock::time_point;

/// @brief Time on the wall clock, used in messages and logs.
using WallTime = std::chrono::system_clock::time_point;

/// @brief Source of the current time; tests replace it with a fake clock.
class Clock {
public:
  virtual ~Clock() = default;

  [[nodiscard]] virtual TimePoint now() const noexcept = 0;

  [[nodiscard]] virtual WallTime wallNow() const noexcept = 0;

  /// @brief Time since an instant before the start of this process. Never set
  /// and, unlike now(), not stopped while the machine is suspended.
  [[nodiscard]] virtual std::chrono::milliseconds uptime() const noexcept {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        now().time_since_epoch());
  }
};

/// @brief Reads the clocks of the operating system.
class SystemClock final : public Clock {
public:
  [[nodiscard]] TimePoint now() const noexcept override;
  [[nodiscard]] WallTime wallNow() const noexcept override;
  [[nodiscard]] std::chrono::milliseconds uptime() const noexcept override;
};

/// @brief Converts a time on the wall clock to the monotonic clock.
/// @param Source Clock whose current readings give the offset of the two.
[[nodiscard]] TimePoint toMonotonic(const Clock &Source,
                                    WallTime Wall) noexcept;

/// @brief Converts a time on the monotonic clock to the wall clock.
/// @param Source Clock whose current readings give the offset of the two.
[[nodiscard]] WallTime toWall(const Clock &Source, TimePoint Instant) noexcept;

} // namespace jujubecart::core

#endif
