#ifndef JUJUBECART_DECISION_RETRY_BUDGET_HPP
#define JUJUBECART_DECISION_RETRY_BUDGET_HPP

#include <atomic>
#include <cstdint>

namespace jujubecart::decision {

/// @brief Limits retries to one tenth of the first attempts; thread-safe.
class RetryBudget {
public:
  /// @brief Adds a tenth of a token; called once for each request.
  void recordFirstAttempt() noexcept;

  /// @brief Takes a token for a retry; called before each one.
  /// @return Whether the retry may be made.
  [[nodiscard]] bool tryTake() noexcept;

private:
  /// Tokens held, in tenths.
  std::atomic<std::int32_t> Tenths{0};
};

} // namespace jujubecart::decision

#endif
