#include <jujubecart/decision/internal/server_rate_limiter.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace jujubecart::decision::internal {

namespace {

using namespace std::chrono_literals;

constexpr double MilliPerUnit = 1000;
// Lower limits are raised to this rate: only a response shows that a limit has
// ended, so even a server with a limit of zero gets a call now and then.
constexpr double MinRatePerS = 0.25;
// Calls that may be sent at once, in seconds of the rate; at least one.
constexpr double BurstS = 0.25;
// Responses of calls that run at the same time may be reported in another order
// than they were sent. One without a limit ends it only this long after the
// last one with a limit.
constexpr auto MinLimitDuration = 500ms;
// A limited server that could get a call is checked after this time without
// one, even if other servers are better.
constexpr auto CheckInterval = 1s;
// A server that was cold gets its full load only this long after the end of its
// cold start. Until then its limit doubles ColdRampDoublings times, which takes
// it from a few calls per second to more than its slots can run.
constexpr auto ColdRamp = 2s;
constexpr double ColdRampDoublings = 4;

} // namespace

void ServerRateLimiter::record(std::optional<core::RateLimit> NewLimit,
                               core::TimePoint NewStatedAt,
                               core::TimePoint Now) noexcept {
  if (NewStatedAt < StatedAt)
    return;
  StatedAt = NewStatedAt;
  if (!NewLimit) {
    if (StatedAt - LimitStatedAt >= MinLimitDuration)
      Limit.reset();
    return;
  }
  LimitStatedAt = StatedAt;
  // A server that has just stated a limit still runs the calls from before.
  Tokens = limited(Now) ? tokensAt(Now) : 0;
  RefilledAt = Now;
  Limit = NewLimit;
}

void ServerRateLimiter::setShare(double NewShare,
                                 core::TimePoint Now) noexcept {
  Tokens = limited(Now) ? tokensAt(Now) : Tokens;
  RefilledAt = Now;
  Share = NewShare;
}

void ServerRateLimiter::setCold(core::RateLimit NewLimit, core::TimePoint Until,
                                core::TimePoint Now) noexcept {
  const bool WasLimited = limited(Now);
  ColdLimit = NewLimit;
  // The configuration is applied again for reasons other than a cold start, and
  // must not undo what the server stated to a probe meanwhile.
  if (NewLimit.MilliPerS != 0 && Until != ConfiguredColdUntil) {
    if (Until > ColdUntil || ColdUntil == ConfiguredColdUntil)
      moveColdEnd(Until, Now);
    ConfiguredColdUntil = Until;
  }
  startColdLimit(WasLimited, Now);
}

void ServerRateLimiter::recordCold(core::TimePoint Until,
                                   core::TimePoint Now) noexcept {
  if (ColdLimit.MilliPerS == 0)
    return;
  const bool WasLimited = limited(Now);
  moveColdEnd(Until, Now);
  startColdLimit(WasLimited, Now);
}

// An end in the past is moved to now, so that the limit rises from now on. One
// that has passed already stays where it is.
void ServerRateLimiter::moveColdEnd(core::TimePoint Until,
                                    core::TimePoint Now) noexcept {
  if (Until > ColdUntil)
    ColdUntil = Until;
  else if (Now < ColdUntil)
    ColdUntil = std::max(Until, Now);
}

// Dispatchers on many VMs may learn of the cold server at the same time. If
// each of them could send a call at once, it would get all of these calls.
void ServerRateLimiter::startColdLimit(bool WasLimited,
                                       core::TimePoint Now) noexcept {
  if (WasLimited || !limited(Now))
    return;
  Tokens = 0;
  RefilledAt = Now;
}

bool ServerRateLimiter::coldLimited(core::TimePoint Now) const noexcept {
  return ColdLimit.MilliPerS != 0 && ColdUntil != core::TimePoint::min() &&
         Now - ColdRamp < ColdUntil;
}

double ServerRateLimiter::ratePerS(core::TimePoint Now) const noexcept {
  double Rate = std::numeric_limits<double>::max();
  if (Limit)
    Rate = Limit->MilliPerS / MilliPerUnit;
  if (coldLimited(Now)) {
    const std::chrono::duration<double> SinceEnd =
        std::max(Now - ColdUntil, core::TimePoint::duration::zero());
    const double Doublings =
        ColdRampDoublings *
        (SinceEnd / std::chrono::duration<double>(ColdRamp));
    Rate = std::min(Rate,
                    ColdLimit.MilliPerS / MilliPerUnit * std::exp2(Doublings));
  }
  return std::max(Rate, MinRatePerS) * Share;
}

double ServerRateLimiter::tokensAt(core::TimePoint Now) const noexcept {
  const std::chrono::duration<double> Elapsed =
      std::max(Now - RefilledAt, core::TimePoint::duration::zero());
  const double Rate = ratePerS(Now);
  return std::min(std::max(1.0, Rate * BurstS),
                  Tokens + Rate * Elapsed.count());
}

bool ServerRateLimiter::allows(core::TimePoint Now) const noexcept {
  return !limited(Now) || tokensAt(Now) >= 1;
}

bool ServerRateLimiter::checkDue(core::TimePoint Now) const noexcept {
  return Limit && allows(Now) && Now - LastCall >= CheckInterval;
}

void ServerRateLimiter::take(core::TimePoint Now) noexcept {
  LastCall = Now;
  if (!limited(Now))
    return;
  Tokens = tokensAt(Now) - 1;
  RefilledAt = Now;
}

} // namespace jujubecart::decision::internal
