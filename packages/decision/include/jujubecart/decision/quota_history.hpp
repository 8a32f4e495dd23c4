#ifndef JUJUBECART_DECISION_QUOTA_HISTORY_HPP
#define JUJUBECART_DECISION_QUOTA_HISTORY_HPP

#include <compare>
#include <cstdint>
#include <vector>

namespace jujubecart::decision {

/// @brief Requests of one workspace that all VMs admitted in a short time.
struct PastUse {
  /// core::Workspace::hash().
  std::uint64_t Workspace = 0;
  /// Age of the newest of them in milliseconds.
  std::uint32_t AgeMs = 0;
  /// Number of requests in thousandths.
  std::uint32_t MilliRequests = 0;

  friend auto operator<=>(const PastUse &, const PastUse &) = default;
};

/// @brief What one VM knows of the requests admitted in the last window.
struct QuotaHistory {
  /// Whether the VM knows of all of them; otherwise there may be more.
  bool Complete = false;
  /// Newest first for each workspace.
  std::vector<PastUse> Uses;

  friend auto operator<=>(const QuotaHistory &, const QuotaHistory &) = default;
};

} // namespace jujubecart::decision

#endif
