#ifndef JUJUBECART_PEERS_SRC_SEED_HPP
#define JUJUBECART_PEERS_SRC_SEED_HPP

#include <string>
#include <string_view>

namespace jujubecart::peers::internal {

/// @brief Prefix of the key under which LinkTable stores the dial state of an
/// address whose VM id is not known yet.
constexpr std::string_view SeedPrefix = "seed:";

/// @brief Whether a key stands for an address instead of a VM id.
[[nodiscard]] inline bool isSeed(const std::string &DialKey) noexcept {
  return DialKey.compare(0, SeedPrefix.size(), SeedPrefix) == 0;
}

} // namespace jujubecart::peers::internal

#endif
