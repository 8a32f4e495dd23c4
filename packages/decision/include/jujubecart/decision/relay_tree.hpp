#ifndef JUJUBECART_DECISION_RELAY_TREE_HPP
#define JUJUBECART_DECISION_RELAY_TREE_HPP

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecart::decision {

/// @brief VMs through which one VM reaches all others of a large fleet, so that
/// the messages of each VM grow with the square root of the fleet. Immutable.
class RelayTree {
public:
  /// @brief Tree of a fleet whose VMs send to all others themselves.
  RelayTree() = default;

  /// @param Ranked Ids of the live VMs, the best candidates first.
  /// @param Eligible Number of the first ones that are large enough to relay.
  RelayTree(std::span<const std::string> Ranked, std::size_t Eligible);

  /// @brief VMs that pass messages on; empty in a small fleet.
  [[nodiscard]] const std::vector<std::string> &relays() const noexcept {
    return Relays;
  }

  [[nodiscard]] bool isRelay(std::string_view Vm) const noexcept;

  friend bool operator==(const RelayTree &, const RelayTree &) = default;

private:
  std::vector<std::string> Relays;
};

/// @brief Selects the relay that passes messages on to a VM. When one relay
/// leaves, the VMs of the others stay with theirs.
/// @param Relays Hashes of the ids of all relays; must not be empty.
[[nodiscard]] std::uint64_t relayOf(std::string_view Vm,
                                    std::span<const std::uint64_t> Relays);

} // namespace jujubecart::decision

#endif
