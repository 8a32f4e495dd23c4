#include <jujubecart/decision/rendezvous.hpp>

#include <jujubecart/core/hash.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <tuple>

namespace jujubecart::decision {

namespace {

// A dispatcher that falls behind delays all calls of its group, so a VM with
// half of the processor gets an eighth of the groups.
constexpr double CapacityExponent = 3;
constexpr double MilliPerCore = 1000;

// Weighted rendezvous hashing: lower is better.
double rankOf(const core::Member &Item, std::uint64_t GroupHash) {
  const double Hash =
      std::ldexp(double(core::hash64(Item.Id, GroupHash)) + 1.0, -64);
  const double Weight = std::pow(
      std::max(1U, Item.ProcessorMilli) / MilliPerCore, CapacityExponent);
  return -std::log(Hash) / Weight;
}

} // namespace

std::vector<std::string> rankMembers(std::string_view Group,
                                     std::string_view Region,
                                     std::span<const core::Member> Members) {
  // (other region, rank, id): ascending order is best first.
  std::vector<std::tuple<bool, double, std::string>> Ranked;
  const std::uint64_t GroupHash = core::hash64(Group);
  for (const core::Member &Item : Members) {
    if (Item.State == core::MemberState::Live)
      Ranked.emplace_back(Item.Region != Region, rankOf(Item, GroupHash),
                          Item.Id);
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<std::string> Ids;
  Ids.reserve(Ranked.size());
  for (auto &Entry : Ranked)
    Ids.push_back(std::move(std::get<2>(Entry)));
  return Ids;
}

} // namespace jujubecart::decision
