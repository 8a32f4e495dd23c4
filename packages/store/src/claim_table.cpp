#include "claim_table.hpp"

#include <algorithm>

namespace jujubecart::store::internal {

namespace {

// Allowed difference between the wall clocks of two VMs. A claim is kept this
// much longer, so that a VM whose clock is ahead forgets nothing too early.
constexpr std::uint64_t ClockMarginS = 10;

constexpr std::size_t MinSweep = 1024;

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

bool ClaimTable::full(std::uint64_t NowS) {
  // Sweeping at twice the remaining size costs constant time per claim; at the
  // limit, once per second.
  if (Entries.size() >= SweepAt ||
      (Entries.size() >= MaxEntries && NowS != LastSweepS))
    sweep(NowS);
  return Entries.size() >= MaxEntries;
}

void ClaimTable::sweep(std::uint64_t NowS) {
  std::erase_if(Entries, [NowS](const auto &Item) {
    return isExpired(Item.second.ExpiresS, NowS);
  });
  SweepAt = std::max(MinSweep, 2 * Entries.size());
  LastSweepS = NowS;
}

} // namespace jujubecart::store::internal
