#ifndef JUJUBECART_DECISION_QUOTA_RULE_HPP
#define JUJUBECART_DECISION_QUOTA_RULE_HPP

#include <chrono>
#include <compare>

namespace jujubecart::decision {

/// @brief The agreement on quotas: in each window a workspace sends at most
/// (rate x Window + burst) x (1 + Excess) + Slack requests.
struct QuotaRule {
  std::chrono::milliseconds Window{5000};
  double Excess = 0.1;
  double Slack = 20;

  friend auto operator<=>(const QuotaRule &, const QuotaRule &) = default;
};

} // namespace jujubecart::decision

#endif
