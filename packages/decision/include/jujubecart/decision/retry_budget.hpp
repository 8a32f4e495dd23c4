#ifndef JUJUBECART_DECISION_RETRY_BUDGET_HPP
#define JUJUBECART_DECISION_RETRY_BUDGET_HPP

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace jujubecart::decision {

/// @brief Limits of a RetryBudget.
struct RetryBudgetOptions {
  /// Retries that each first attempt allows.
  double Ratio = 0.1;
  /// Retries that can be saved up per service, so that after a long healthy
  /// period no burst of retries hits a service that begins to fail.
  double MaxSaved = 10;
};

/// @brief Limits the retries to each service to a share of its first attempts.
/// The limit of a fleet holds without agreement between its VMs, if each has
/// its share of the saved retries. Thread-safe.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions Options = {}) : Options(Options) {}

  /// @brief Adds the allowance of one first attempt.
  void recordFirstAttempt(std::string_view Service);

  /// @brief Takes a token for a retry; called before each one.
  /// @return Whether the retry may be made.
  [[nodiscard]] bool tryTake(std::string_view Service);

  /// @brief Whether less than half of the retries that can be saved are left;
  /// also true before the first attempt at a service.
  [[nodiscard]] bool nearlyUsed(std::string_view Service);

  /// @brief Changes RetryBudgetOptions::MaxSaved.
  void setMaxSaved(double Retries);

private:
  std::mutex Mutex;
  RetryBudgetOptions Options;
  /// Tokens held, by service.
  std::map<std::string, double, std::less<>> Tokens;
};

} // namespace jujubecart::decision

#endif
