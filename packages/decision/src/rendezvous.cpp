#include <jujubecart/decision/rendezvous.hpp>

#include <jujubecart/core/hash.hpp>

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace jujubecart::decision {

std::vector<std::string> rankMembers(std::string_view Group,
                                     std::string_view Region,
                                     std::span<const core::Member> Members) {
  // (other region, inverted hash, id): ascending order is best first.
  std::vector<std::tuple<bool, std::uint64_t, std::string>> Ranked;
  const std::uint64_t GroupHash = core::hash64(Group);
  for (const core::Member &Item : Members) {
    if (Item.State == core::MemberState::Live)
      Ranked.emplace_back(Item.Region != Region,
                          ~core::hash64(Item.Id, GroupHash), Item.Id);
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<std::string> Ids;
  Ids.reserve(Ranked.size());
  for (auto &Entry : Ranked)
    Ids.push_back(std::move(std::get<2>(Entry)));
  return Ids;
}

} // namespace jujubecart::decision
