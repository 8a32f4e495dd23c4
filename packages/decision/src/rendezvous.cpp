#include <jujubecart/decision/rendezvous.hpp>

#include <jujubecart/core/hash.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <tuple>

namespace jujubecart::decision {

namespace {

// The weight of a VM is the cube of its processor capacity: a VM with half the
// capacity gets an eighth of the groups, because an overloaded dispatcher
// delays all calls of its group.
constexpr double CapacityExponent = 3;
constexpr double MilliPerCore = 1000;

// Rank of a member by weighted rendezvous hashing; the lowest one wins.
double rankOf(const core::Member &Candidate, std::uint64_t GroupHash) {
  const double Hash =
      std::ldexp(double(core::hash64(Candidate.Id, GroupHash)) + 1.0, -64);
  const double Weight = std::pow(
      std::max(1U, Candidate.ProcessorMilli) / MilliPerCore, CapacityExponent);
  return -std::log(Hash) / Weight;
}

} // namespace

std::vector<std::string> rankMembers(std::string_view Group,
                                     std::string_view Region,
                                     std::span<const core::Member> Members) {
  // (in another region, rank, id); ascending order puts the best first.
  std::vector<std::tuple<bool, double, std::string>> Ranked;
  const std::uint64_t GroupHash = core::hash64(Group);
  for (const core::Member &Candidate : Members) {
    if (Candidate.State == core::MemberState::Live)
      Ranked.emplace_back(Candidate.Region != Region,
                          rankOf(Candidate, GroupHash), Candidate.Id);
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<std::string> Ids;
  Ids.reserve(Ranked.size());
  for (auto &Entry : Ranked)
    Ids.push_back(std::move(std::get<2>(Entry)));
  return Ids;
}

} // namespace jujubecart::decision
