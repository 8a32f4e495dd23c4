#include <jujubecart/decision/internal/idle_connections.hpp>

#include <algorithm>

namespace jujubecart::decision::internal {

namespace {

// Backend servers close idle connections after ten seconds or more, and the
// connection pools of the VMs a little earlier.
constexpr std::chrono::seconds IdleTimeout{7};

} // namespace

bool IdleConnections::expired(const Entry &Item, core::TimePoint Now) noexcept {
  return Now - Item.LastUsed > IdleTimeout;
}

void IdleConnections::take(std::uint64_t Holder) noexcept {
  for (Entry &Item : Entries)
    if (Item.Holder == Holder && Item.Count > 0)
      --Item.Count;
}

void IdleConnections::put(std::uint64_t Holder, core::TimePoint Now) {
  std::erase_if(Entries, [&](const Entry &Item) {
    return Item.Holder != Holder && expired(Item, Now);
  });
  for (Entry &Item : Entries) {
    if (Item.Holder != Holder)
      continue;
    Item.Count = expired(Item, Now) ? 1 : Item.Count + 1;
    Item.LastUsed = Now;
    return;
  }
  Entries.push_back({.Holder = Holder, .Count = 1, .LastUsed = Now});
}

bool IdleConnections::has(std::uint64_t Holder,
                          core::TimePoint Now) const noexcept {
  return std::any_of(Entries.begin(), Entries.end(), [&](const Entry &Item) {
    return Item.Holder == Holder && Item.Count > 0 && !expired(Item, Now);
  });
}

} // namespace jujubecart::decision::internal
