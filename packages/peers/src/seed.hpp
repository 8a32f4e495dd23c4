#ifndef JUJUBECART_PEERS_SRC_SEED_HPP
#define JUJUBECART_PEERS_SRC_SEED_HPP

#include <string>
#include <string_view>

namespace jujubecart::peers::internal {

/// @brief Marks the key of a dial to an address whose VM is not known yet.
constexpr std::string_view SeedPrefix = "seed:";

[[nodiscard]] inline bool isSeed(const std::string &Vm) noexcept {
  return Vm.compare(0, SeedPrefix.size(), SeedPrefix) == 0;
}

} // namespace jujubecart::peers::internal

#endif
