#ifndef JUJUBECART_DECISION_TOKEN_BUCKET_HPP
#define JUJUBECART_DECISION_TOKEN_BUCKET_HPP

#include <jujubecart/core/clock.hpp>

namespace jujubecart::decision {

/// @brief Token bucket rate limiter; not thread-safe, the user passes the time.
class TokenBucket {
public:
  /// @brief Creates a full bucket.
  /// @param RatePerS Tokens added per second.
  /// @param Burst Maximum number of tokens held; below 1, tryTake always fails.
  /// @param Now Current time.
  TokenBucket(double RatePerS, double Burst, core::TimePoint Now) noexcept
      : RatePerS(RatePerS), Burst(Burst), Tokens(Burst), LastRefill(Now) {}

  /// @brief Takes one token. If Now is before an earlier call's, no tokens are
  /// added.
  /// @return Whether a token was available.
  [[nodiscard]] bool tryTake(core::TimePoint Now) noexcept;

private:
  double RatePerS;
  double Burst;
  double Tokens;
  core::TimePoint LastRefill;
};

} // namespace jujubecart::decision

#endif
