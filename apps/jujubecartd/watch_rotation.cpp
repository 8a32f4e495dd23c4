#include "watch_rotation.hpp"

#include <jujubecart/decision/rendezvous.hpp>

#include <algorithm>

namespace jujubecart::daemon {

bool shouldWatchStore(const std::vector<core::Member> &Members,
                      const std::string &Self, core::WallTime Now) {
  const auto Minute =
      std::chrono::duration_cast<std::chrono::minutes>(Now.time_since_epoch())
          .count();
  // Without a preferred region all VMs compute the same ranking.
  const std::vector<std::string> Ranked = decision::rankMembers(
      "config/watch/" + std::to_string(Minute), "", Members);
  const auto Found = std::find(Ranked.begin(), Ranked.end(), Self);
  return static_cast<std::size_t>(Found - Ranked.begin()) < StoreWatcherCount;
}

} // namespace jujubecart::daemon
