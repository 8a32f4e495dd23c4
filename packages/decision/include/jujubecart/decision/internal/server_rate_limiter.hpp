#ifndef JUJUBECART_DECISION_INTERNAL_SERVER_RATE_LIMITER_HPP
#define JUJUBECART_DECISION_INTERNAL_SERVER_RATE_LIMITER_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/rate_limit.hpp>

#include <optional>

namespace jujubecart::decision::internal {

/// Part of a rate limit that a dispatcher other than the regular one of its
/// group uses. A few of them may be in use beside the regular one, and together
/// they must stay near the limit.
constexpr double BackupLimitShare = 0.2;

/// @brief Keeps the calls that a dispatcher sends to a backend server within
/// the rate limit that the server states, and within the one that holds while
/// it is cold; the lower one if both hold. Does nothing for a server without a
/// limit.
class ServerRateLimiter {
public:
  /// @brief Applies what the server stated in a response.
  /// @param Limit Empty if the response stated none.
  /// @param StatedAt When the response arrived; an older statement than the
  /// latest one is ignored.
  void record(std::optional<core::RateLimit> Limit, core::TimePoint StatedAt,
              core::TimePoint Now) noexcept;

  /// @brief Sets the part of the limit that this dispatcher may use.
  void setShare(double NewShare, core::TimePoint Now) noexcept;

  /// @brief Applies the limit of a cold server, and the end of its cold start
  /// if that differs from the one configured before. After the end the limit
  /// rises for a short time before it is lifted.
  /// @param NewLimit MilliPerS is 0 if a cold server has no limit; then it
  /// counts as warm.
  void setCold(core::RateLimit NewLimit, core::TimePoint Until,
               core::TimePoint Now) noexcept;

  /// @brief Applies the end of the cold start that the server stated in answer
  /// to a probe, which may be earlier or later than the known one.
  void recordCold(core::TimePoint Until, core::TimePoint Now) noexcept;

  /// @brief Whether the server is cold and has a limit for that time.
  [[nodiscard]] bool cold(core::TimePoint Now) const noexcept {
    return ColdLimit.MilliPerS != 0 && Now < ColdUntil;
  }

  [[nodiscard]] bool limited(core::TimePoint Now) const noexcept {
    return Limit.has_value() || coldLimited(Now);
  }

  /// @brief Calls per second that this dispatcher may send to a limited server.
  [[nodiscard]] double ratePerS(core::TimePoint Now) const noexcept;

  /// @brief Whether a call may be sent now.
  [[nodiscard]] bool allows(core::TimePoint Now) const noexcept;

  /// @brief Whether a call should be sent now to learn whether the limit is
  /// still in force.
  [[nodiscard]] bool checkDue(core::TimePoint Now) const noexcept;

  /// @brief Counts a call that is sent now.
  void take(core::TimePoint Now) noexcept;

private:
  /// @brief Whether the server is cold, or its limit still rises after that.
  [[nodiscard]] bool coldLimited(core::TimePoint Now) const noexcept;
  [[nodiscard]] double tokensAt(core::TimePoint Now) const noexcept;
  void moveColdEnd(core::TimePoint Until, core::TimePoint Now) noexcept;
  void startColdLimit(bool WasLimited, core::TimePoint Now) noexcept;

  std::optional<core::RateLimit> Limit;
  double Share = 1;
  /// Calls that could be sent at RefilledAt.
  double Tokens = 0;
  core::TimePoint RefilledAt;
  /// When the server last stated a limit, and when it last stated anything.
  core::TimePoint LimitStatedAt;
  core::TimePoint StatedAt;
  core::TimePoint LastCall;
  core::RateLimit ColdLimit;
  core::TimePoint ColdUntil = core::TimePoint::min();
  /// The end that setCold() applied last.
  core::TimePoint ConfiguredColdUntil = core::TimePoint::min();
};

} // namespace jujubecart::decision::internal

#endif
