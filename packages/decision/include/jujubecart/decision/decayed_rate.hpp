#ifndef JUJUBECART_DECISION_DECAYED_RATE_HPP
#define JUJUBECART_DECISION_DECAYED_RATE_HPP

#include <jujubecart/core/clock.hpp>

#include <chrono>
#include <cmath>

namespace jujubecart::decision {

/// @brief Events per second, forgotten exponentially.
class DecayedRate {
public:
  using Seconds = std::chrono::duration<double>;

  /// @param Memory Time constant.
  explicit DecayedRate(Seconds Memory) : Memory(Memory) {}

  void add(double Events, core::TimePoint Now) {
    PerS = at(Now) + Events / Memory.count();
    At = Now;
  }

  [[nodiscard]] double at(core::TimePoint Now) const {
    return PerS == 0 ? 0 : PerS * std::exp(-Seconds(Now - At) / Memory);
  }

private:
  Seconds Memory;
  double PerS = 0;
  core::TimePoint At;
};

} // namespace jujubecart::decision

#endif
