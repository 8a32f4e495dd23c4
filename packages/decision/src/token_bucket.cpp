#include <jujubecart/decision/token_bucket.hpp>

#include <algorithm>

namespace jujubecart::decision {

bool TokenBucket::tryTake(core::TimePoint Now) noexcept {
  if (Now > Updated) {
    const std::chrono::duration<double> Elapsed = Now - Updated;
    Tokens = std::min(Burst, Tokens + Rate * Elapsed.count());
    Updated = Now;
  }
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

} // namespace jujubecart::decision
