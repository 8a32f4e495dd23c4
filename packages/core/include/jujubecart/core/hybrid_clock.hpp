#ifndef JUJUBECART_CORE_HYBRID_CLOCK_HPP
#define JUJUBECART_CORE_HYBRID_CLOCK_HPP

#include <jujubecart/core/clock.hpp>

#include <atomic>
#include <cstdint>

namespace jujubecart::core {

/// @brief Hybrid logical clock: wall time in microseconds with a counter in
/// the low 8 bits; an effect is always later than its cause.
class HybridClock {
public:
  /// @brief Number of counter bits below the microseconds.
  static constexpr unsigned CounterBits = 8;

  /// @brief Wraps a clock, which must outlive this object.
  explicit HybridClock(const Clock &Source) noexcept : Source(Source) {}

  /// @brief Next logical time of this process.
  [[nodiscard]] std::uint64_t next() noexcept;

  /// @brief Moves this clock past a received logical time.
  /// @param Remote Logical time; values more than 1 h ahead are ignored.
  void observe(std::uint64_t Remote) noexcept;

  /// @brief Microseconds since the Unix epoch of a logical time.
  [[nodiscard]] static constexpr std::uint64_t
  microseconds(std::uint64_t Logical) noexcept {
    return Logical >> CounterBits;
  }

private:
  [[nodiscard]] std::uint64_t wall() const noexcept;

  const Clock &Source;
  std::atomic<std::uint64_t> Last{0};
};

} // namespace jujubecart::core

#endif
