#include <jujubecart/decision/retry_budget.hpp>

#include <algorithm>

namespace jujubecart::decision {

namespace {

// Ten allowances of a tenth are a whole token, although their sum is a little
// less in floating point.
constexpr double WholeToken = 1 - 1e-9;

} // namespace

void RetryBudget::recordFirstAttempt(std::string_view Service) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Tokens.find(Service);
  double &Held =
      Found != Tokens.end() ? Found->second : Tokens[std::string(Service)];
  Held = std::min(Held + Options.Ratio, Options.MaxSaved);
}

bool RetryBudget::tryTake(std::string_view Service) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Tokens.find(Service);
  if (Found == Tokens.end() || Found->second < WholeToken)
    return false;
  Found->second = std::max(Found->second - 1, 0.0);
  return true;
}

bool RetryBudget::nearlyUsed(std::string_view Service) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Tokens.find(Service);
  return Found == Tokens.end() || Found->second < Options.MaxSaved / 2;
}

void RetryBudget::setMaxSaved(double Retries) {
  const std::lock_guard Lock(Mutex);
  Options.MaxSaved = Retries;
  for (auto &[Service, Held] : Tokens)
    Held = std::min(Held, Retries);
}

} // namespace jujubecart::decision
