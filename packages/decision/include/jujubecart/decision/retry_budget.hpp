#ifndef JUJUBECART_DECISION_RETRY_BUDGET_HPP
#define JUJUBECART_DECISION_RETRY_BUDGET_HPP

#include <atomic>
#include <cstdint>

namespace jujubecart::decision {

/// @brief Limits retries to a tenth of the first attempts; thread-safe.
class RetryBudget {
public:
  /// @brief Adds a tenth of a token.
  void recordFirstAttempt() noexcept;

  /// @brief Takes a token for one more attempt.
  /// @return Whether the attempt may be made.
  [[nodiscard]] bool tryTake() noexcept;

private:
  std::atomic<std::int32_t> Tenths{0};
};

} // namespace jujubecart::decision

#endif
