#include "claim_table.hpp"

#include <algorithm>

namespace jujubecart::store::internal {

namespace {

// Allowed difference between the wall clocks of two VMs. A claim is kept this
// much longer, so that a VM whose clock is ahead does not drop it too early.
constexpr std::uint64_t ClockMarginS = 10;

// Smaller tables are not swept until they are full.
constexpr std::size_t MinSweepThreshold = 1024;

} // namespace

bool isExpired(std::uint64_t ExpiresS, std::uint64_t NowS) noexcept {
  return ExpiresS + ClockMarginS < NowS;
}

void ClaimTable::apply(const ClaimRecord &Record) {
  if (!Record.Released) {
    Entries[Record.Key] =
        Entry{.Request = Record.Request, .ExpiresS = Record.ExpiresS};
    return;
  }
  const auto Found = Entries.find(Record.Key);
  if (Found != Entries.end() && Found->second.Request == Record.Request)
    Entries.erase(Found);
}

std::optional<core::RequestId> ClaimTable::holder(core::OrderKey Key,
                                                  std::uint64_t NowS) const {
  const auto Found = Entries.find(Key);
  if (Found == Entries.end() || isExpired(Found->second.ExpiresS, NowS))
    return std::nullopt;
  return Found->second.Request;
}

bool ClaimTable::sweepAndCheckFull(std::uint64_t NowS) {
  // Sweeping when the table has doubled since the last sweep costs amortized
  // constant time per claim. A full table is swept at most once per second.
  if (Entries.size() >= SweepThreshold ||
      (Entries.size() >= MaxEntries && NowS != LastSweepS))
    sweep(NowS);
  return Entries.size() >= MaxEntries;
}

void ClaimTable::sweep(std::uint64_t NowS) {
  std::erase_if(Entries, [NowS](const auto &Item) {
    return isExpired(Item.second.ExpiresS, NowS);
  });
  SweepThreshold = std::max(MinSweepThreshold, 2 * Entries.size());
  LastSweepS = NowS;
}

} // namespace jujubecart::store::internal
