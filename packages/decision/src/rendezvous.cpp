#include <jujubecart/decision/rendezvous.hpp>

#include <jujubecart/core/hash.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <numeric>
#include <tuple>

namespace jujubecart::decision {

namespace {

// The weight of a VM is the cube of its processor capacity: a VM with half the
// capacity gets an eighth of the groups, because an overloaded dispatcher
// delays all calls of its group.
constexpr double CapacityExponent = 3;
constexpr double MilliPerCore = 1000;
// The work for others takes about 3% of the processor time of a fleet, so VMs
// with this share of its capacity can do all of it.
constexpr double EligibleShare = 0.125;
// A VM that has less than this part of the capacity of the smallest of them
// ranks behind.
constexpr double MinEligibleCapacity = 0.5;

// Capacity below which a VM ranks behind the others. The work of a group cannot
// be divided: on a VM that is too small for it, every call of the group waits,
// however few groups fall to such VMs.
double minCapacity(std::vector<std::uint32_t> Capacities) {
  std::sort(Capacities.begin(), Capacities.end(), std::greater<>());
  const double Enough = EligibleShare * std::accumulate(Capacities.begin(),
                                                        Capacities.end(), 0.0);
  double Sum = 0;
  for (const std::uint32_t Capacity : Capacities) {
    Sum += Capacity;
    if (Sum >= Enough)
      return MinEligibleCapacity * Capacity;
  }
  return 0;
}

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
  std::vector<std::uint32_t> Here;
  std::vector<std::uint32_t> Elsewhere;
  for (const core::Member &Candidate : Members)
    if (Candidate.State == core::MemberState::Live)
      (Candidate.Region == Region ? Here : Elsewhere)
          .push_back(Candidate.ProcessorMilli);
  const double MinHere = minCapacity(std::move(Here));
  const double MinElsewhere = minCapacity(std::move(Elsewhere));
  // (in another region, too small, rank, id); ascending order puts the best
  // first.
  std::vector<std::tuple<bool, bool, double, std::string>> Ranked;
  const std::uint64_t GroupHash = core::hash64(Group);
  for (const core::Member &Candidate : Members) {
    if (Candidate.State != core::MemberState::Live)
      continue;
    const bool IsElsewhere = Candidate.Region != Region;
    const bool IsTooSmall =
        Candidate.ProcessorMilli < (IsElsewhere ? MinElsewhere : MinHere);
    Ranked.emplace_back(IsElsewhere, IsTooSmall, rankOf(Candidate, GroupHash),
                        Candidate.Id);
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<std::string> Ids;
  Ids.reserve(Ranked.size());
  for (auto &Entry : Ranked)
    Ids.push_back(std::move(std::get<3>(Entry)));
  return Ids;
}

std::size_t countEligible(std::span<const core::Member> Members) {
  std::vector<std::uint32_t> Capacities;
  for (const core::Member &Candidate : Members)
    if (Candidate.State == core::MemberState::Live)
      Capacities.push_back(Candidate.ProcessorMilli);
  const double Min = minCapacity(Capacities);
  return static_cast<std::size_t>(
      std::count_if(Capacities.begin(), Capacities.end(),
                    [&](std::uint32_t Capacity) { return Capacity >= Min; }));
}

} // namespace jujubecart::decision
