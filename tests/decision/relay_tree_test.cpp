#include <jujubecart/core/hash.hpp>
#include <jujubecart/decision/relay_tree.hpp>

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <map>

using namespace jujubecart;
using namespace jujubecart::decision;

namespace {

std::vector<std::string> fleet(std::size_t Size) {
  std::vector<std::string> Ids;
  for (std::size_t At = 0; At < Size; ++At)
    Ids.push_back("vm" + std::to_string(At));
  return Ids;
}

std::vector<std::uint64_t> hashes(const std::vector<std::string> &Ids) {
  std::vector<std::uint64_t> Result;
  Result.reserve(Ids.size());
  for (const std::string &Id : Ids)
    Result.push_back(core::hash64(Id));
  return Result;
}

/// @brief Relay of each VM that is none itself.
std::map<std::string, std::uint64_t>
parts(const std::vector<std::string> &Vms,
      const std::vector<std::string> &Relays) {
  std::map<std::string, std::uint64_t> Result;
  for (const std::string &Vm : Vms)
    if (std::find(Relays.begin(), Relays.end(), Vm) == Relays.end())
      Result[Vm] = relayOf(Vm, hashes(Relays));
  return Result;
}

} // namespace

// Guards against a second hop where one is enough.
Test(RelayTree, small_fleet_has_no_relays) {
  cr_assert(RelayTree(fleet(16), 16).relays().empty());
  cr_assert(RelayTree().relays().empty());
}

// Guards against a relay, or a sender, with too many receivers.
Test(RelayTree, receivers_of_a_vm_grow_with_the_square_root_of_the_fleet) {
  for (const std::size_t Size : {24U, 100U, 300U, 900U}) {
    const auto Vms = fleet(Size);
    const RelayTree Tree(Vms, Size);
    const double Root = std::sqrt(static_cast<double>(Size));
    cr_assert_leq(static_cast<double>(Tree.relays().size()), Root + 1);
    std::map<std::uint64_t, std::size_t> Sizes;
    for (const auto &[Vm, Relay] : parts(Vms, Tree.relays()))
      ++Sizes[Relay];
    for (const auto &[Relay, Count] : Sizes)
      cr_assert_leq(static_cast<double>(Count), 2.5 * Root, "%zu of %zu VMs",
                    Count, Size);
  }
}

// Guards against a VM that relays although it is too small to.
Test(RelayTree, only_vms_that_are_large_enough_relay) {
  const RelayTree Tree(fleet(300), 5);
  cr_assert_eq(Tree.relays().size(), 5);
  cr_assert(Tree.isRelay("vm4"));
  cr_assert_not(Tree.isRelay("vm5"));
}

// Guards against new links of the whole fleet when one relay is lost.
Test(RelayTree, loss_of_a_relay_moves_only_its_own_part) {
  const auto Vms = fleet(300);
  auto Relays = RelayTree(Vms, 300).relays();
  const auto Before = parts(Vms, Relays);
  const std::uint64_t Lost = core::hash64(Relays.back());
  Relays.pop_back();
  const auto After = parts(Vms, Relays);
  for (const auto &[Vm, Relay] : Before)
    if (Relay != Lost)
      cr_assert_eq(After.at(Vm), Relay, "%s", Vm.c_str());
}
