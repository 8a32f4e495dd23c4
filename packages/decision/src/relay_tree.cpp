#include <jujubecart/decision/relay_tree.hpp>

#include <jujubecart/core/hash.hpp>

#include <algorithm>
#include <cmath>

namespace jujubecart::decision {

namespace {

// A VM of a smaller fleet sends to all others itself: one hop is faster than
// two, and costs it little more.
constexpr std::size_t MinRelayedFleet = 24;

} // namespace

RelayTree::RelayTree(std::span<const std::string> Ranked,
                     std::size_t Eligible) {
  if (Ranked.size() < MinRelayedFleet)
    return;
  const auto Root = static_cast<std::size_t>(
      std::ceil(std::sqrt(static_cast<double>(Ranked.size()))));
  const std::size_t Count = std::max<std::size_t>(1, std::min(Root, Eligible));
  const auto Chosen = Ranked.first(Count);
  Relays.assign(Chosen.begin(), Chosen.end());
}

bool RelayTree::isRelay(std::string_view Vm) const noexcept {
  return std::find(Relays.begin(), Relays.end(), Vm) != Relays.end();
}

std::uint64_t relayOf(std::string_view Vm,
                      std::span<const std::uint64_t> Relays) {
  return *std::min_element(Relays.begin(), Relays.end(),
                           [&](std::uint64_t Left, std::uint64_t Right) {
                             return core::hash64(Vm, Left) <
                                    core::hash64(Vm, Right);
                           });
}

} // namespace jujubecart::decision
