#ifndef JUJUBECART_DECISION_INTERNAL_HEDGE_TIMING_HPP
#define JUJUBECART_DECISION_INTERNAL_HEDGE_TIMING_HPP

#include <jujubecart/core/clock.hpp>

#include <compare>

namespace jujubecart::decision::internal {

/// @brief What is known of a call and its server when it starts.
struct CallEstimate {
  /// Expected service time at the normal pace of its server, in microseconds.
  double ExpectedUs = 0;
  /// Probability that the server is in a slow period.
  double SlowProbability = 0;
  /// Factor by which the call takes longer then.
  double SlowFactor = 1;
  /// Share of its recent calls that the server has failed.
  double FailureRate = 0;

  friend auto operator<=>(const CallEstimate &, const CallEstimate &) = default;
};

/// @brief When a second attempt of a running call is worth its cost (hedged
/// request): nearly every call that gets a response has ended by then, so the
/// server most likely hangs. The more of its recent calls a server has failed,
/// the sooner.
[[nodiscard]] core::TimePoint hedgeTime(core::TimePoint Start,
                                        const CallEstimate &Estimate);

} // namespace jujubecart::decision::internal

#endif
