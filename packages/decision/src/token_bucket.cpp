#include <jujubecart/decision/token_bucket.hpp>

#include <algorithm>

namespace jujubecart::decision {

bool TokenBucket::tryTake(core::TimePoint Now) noexcept {
  if (Now > LastRefill) {
    const std::chrono::duration<double> Elapsed = Now - LastRefill;
    Tokens = std::min(Burst, Tokens + RatePerS * Elapsed.count());
    LastRefill = Now;
  }
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

} // namespace jujubecart::decision
