#ifndef JUJUBECART_STORE_SRC_CLAIM_TABLE_HPP
#define JUJUBECART_STORE_SRC_CLAIM_TABLE_HPP

#include "claim_segment.hpp"

#include <optional>
#include <unordered_map>

namespace jujubecart::store::internal {

/// @brief Claims of one service in memory.
class ClaimTable {
public:
  /// @brief Creates an empty table.
  /// @param MaxEntries Bound for @ref full.
  explicit ClaimTable(std::size_t MaxEntries) : MaxEntries(MaxEntries) {}

  /// @brief Applies the next record of the log.
  void apply(const ClaimRecord &Record);

  /// @brief Request that holds a key, if its claim has not expired.
  [[nodiscard]] std::optional<core::RequestId> holder(core::OrderKey Key,
                                                      std::uint64_t NowS) const;

  /// @brief Whether there is no room for another claim; forgets expired ones.
  [[nodiscard]] bool full(std::uint64_t NowS);

  [[nodiscard]] std::size_t size() const noexcept { return Entries.size(); }

  void clear() noexcept { Entries.clear(); }

private:
  struct Entry {
    core::RequestId Request;
    std::uint64_t ExpiresS = 0;
  };

  std::size_t MaxEntries;
  std::unordered_map<core::OrderKey, Entry> Entries;
  std::size_t SweepAt = 1024;
  std::uint64_t LastSweepS = 0;

  void sweep(std::uint64_t NowS);
};

/// @brief Whether a claim is past its expiry on every VM's clock.
[[nodiscard]] bool isExpired(std::uint64_t ExpiresS,
                             std::uint64_t NowS) noexcept;

} // namespace jujubecart::store::internal

#endif
