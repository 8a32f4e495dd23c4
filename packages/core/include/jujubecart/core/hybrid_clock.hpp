#ifndef JUJUBECART_CORE_HYBRID_CLOCK_HPP
#define JUJUBECART_CORE_HYBRID_CLOCK_HPP

#include <jujubecart/core/clock.hpp>

#include <atomic>
#include <cstdint>

namespace jujubecart::core {

/// @brief Hybrid logical clock: wall clock time in microseconds, with a counter
/// in the low 8 bits. An event always has a later time than the events that
/// caused it, on this VM or on others. Safe to use from any thread.
class HybridClock {
public:
  /// @brief Number of low bits that hold the counter.
  static constexpr unsigned CounterBits = 8;

  /// @param Source Clock; must outlive this object.
  explicit HybridClock(const Clock &Source) noexcept : Source(Source) {}

  /// @brief Advances the clock.
  /// @return Logical time later than all that were returned or observed.
  [[nodiscard]] std::uint64_t next() noexcept;

  /// @brief Advances the clock so that next() is later than a received time.
  /// @param Remote Logical time of a message; ignored if it is more than 1 h
  /// ahead of the wall clock.
  void observe(std::uint64_t Remote) noexcept;

  /// @brief Converts a logical time to microseconds since the Unix epoch.
  [[nodiscard]] static constexpr std::uint64_t
  microseconds(std::uint64_t Logical) noexcept {
    return Logical >> CounterBits;
  }

private:
  /// @brief Wall clock time as a logical time with counter 0.
  [[nodiscard]] std::uint64_t wallLogical() const noexcept;

  const Clock &Source;
  std::atomic<std::uint64_t> Last{0};
};

} // namespace jujubecart::core

#endif
