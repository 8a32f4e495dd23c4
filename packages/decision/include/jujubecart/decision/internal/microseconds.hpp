#ifndef JUJUBECART_DECISION_INTERNAL_MICROSECONDS_HPP
#define JUJUBECART_DECISION_INTERNAL_MICROSECONDS_HPP

#include <jujubecart/core/clock.hpp>

#include <chrono>

namespace jujubecart::decision::internal {

inline constexpr double MicrosecondsPerSecond = 1e6;

/// @brief Converts a duration to fractional microseconds.
[[nodiscard]] inline double
microseconds(core::TimePoint::duration Time) noexcept {
  return std::chrono::duration<double, std::micro>(Time).count();
}

} // namespace jujubecart::decision::internal

#endif
