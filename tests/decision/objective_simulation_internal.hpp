#ifndef JUJUBECART_TESTS_DECISION_OBJECTIVE_SIMULATION_INTERNAL_HPP
#define JUJUBECART_TESTS_DECISION_OBJECTIVE_SIMULATION_INTERNAL_HPP

#include "objective_simulation.hpp"

namespace objective_simulation::internal {

using namespace std::chrono_literals;

inline constexpr TimePoint Start{1h};
// Attempts beyond the first that the retry budget allows for each call.
inline constexpr double RetryRatio = 0.2;
inline constexpr double MaxRetryTokens = 60;

inline microseconds fromSeconds(double Seconds) {
  return microseconds(static_cast<std::int64_t>(Seconds * 1e6));
}

} // namespace objective_simulation::internal

#endif
