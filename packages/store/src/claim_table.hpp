#ifndef JUJUBECART_STORE_SRC_CLAIM_TABLE_HPP
#define JUJUBECART_STORE_SRC_CLAIM_TABLE_HPP

#include "claim_segment.hpp"

#include <optional>
#include <unordered_map>

namespace jujubecart::store::internal {

/// @brief In-memory table of the claims of one service.
class ClaimTable {
public:
  /// @brief Creates an empty table.
  /// @param MaxEntries Number of claims from which on @ref sweepAndCheckFull
  /// reports a full table; @ref apply does not enforce it.
  explicit ClaimTable(std::size_t MaxEntries) : MaxEntries(MaxEntries) {}

  /// @brief Applies the next record of the log. A release by a request that
  /// does not hold the key has no effect.
  void apply(const ClaimRecord &Record);

  /// @brief Returns the request that holds a key, or nothing if there is no
  /// unexpired claim.
  /// @param NowS Current time in Unix seconds.
  [[nodiscard]] std::optional<core::RequestId> holder(core::OrderKey Key,
                                                      std::uint64_t NowS) const;

  /// @brief Removes expired claims if the table has grown enough, then checks
  /// whether there is no room for another claim.
  /// @param NowS Current time in Unix seconds.
  [[nodiscard]] bool sweepAndCheckFull(std::uint64_t NowS);

  [[nodiscard]] std::size_t size() const noexcept { return Entries.size(); }

  void clear() noexcept { Entries.clear(); }

private:
  struct Entry {
    core::RequestId Request;
    std::uint64_t ExpiresS = 0;
  };

  std::size_t MaxEntries;
  std::unordered_map<core::OrderKey, Entry> Entries;
  /// Number of entries at which the next sweep is due.
  std::size_t SweepThreshold = 1024;
  /// Unix seconds of the last sweep.
  std::uint64_t LastSweepS = 0;

  void sweep(std::uint64_t NowS);
};

/// @brief Whether a claim is past its expiry on every VM's clock, including the
/// allowed clock difference.
[[nodiscard]] bool isExpired(std::uint64_t ExpiresS,
                             std::uint64_t NowS) noexcept;

} // namespace jujubecart::store::internal

#endif
