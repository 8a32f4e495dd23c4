#ifndef JUJUBECART_DECISION_TOKEN_BUCKET_HPP
#define JUJUBECART_DECISION_TOKEN_BUCKET_HPP

#include <jujubecart/core/clock.hpp>

namespace jujubecart::decision {

/// @brief Token bucket; not thread-safe, the user passes the time.
class TokenBucket {
public:
  /// @brief Creates a full bucket.
  /// @param Rate Tokens added per second.
  /// @param Burst Most tokens held, at least 1 to ever succeed.
  /// @param Now Current time.
  TokenBucket(double Rate, double Burst, core::TimePoint Now) noexcept
      : Rate(Rate), Burst(Burst), Tokens(Burst), Updated(Now) {}

  /// @brief Takes one token; a time before the last one adds nothing.
  /// @return Whether a token was there.
  [[nodiscard]] bool tryTake(core::TimePoint Now) noexcept;

private:
  double Rate;
  double Burst;
  double Tokens;
  core::TimePoint Updated;
};

} // namespace jujubecart::decision

#endif
