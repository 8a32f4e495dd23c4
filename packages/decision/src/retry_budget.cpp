#include <jujubecart/decision/retry_budget.hpp>

namespace jujubecart::decision {

namespace {

constexpr std::int32_t TenthsPerRetry = 10;
// At most ten retries can be saved up, so that after a long healthy period no
// burst of retries hits a service that begins to fail.
constexpr std::int32_t MaxTenths = 10 * TenthsPerRetry;

} // namespace

void RetryBudget::recordFirstAttempt() noexcept {
  std::int32_t Current = Tenths.load(std::memory_order_relaxed);
  while (Current < MaxTenths &&
         !Tenths.compare_exchange_weak(Current, Current + 1,
                                       std::memory_order_relaxed)) {
  }
}

bool RetryBudget::tryTake() noexcept {
  std::int32_t Current = Tenths.load(std::memory_order_relaxed);
  while (Current >= TenthsPerRetry) {
    if (Tenths.compare_exchange_weak(Current, Current - TenthsPerRetry,
                                     std::memory_order_relaxed))
      return true;
  }
  return false;
}

} // namespace jujubecart::decision
