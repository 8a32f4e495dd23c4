#include <jujubecart/core/hash.hpp>

#include <xxhash.h>

namespace jujubecart::core {

std::uint64_t hash64(std::string_view Bytes, std::uint64_t Seed) noexcept {
  return XXH64(Bytes.data(), Bytes.size(), Seed);
}

OrderKey orderKey(std::string_view Service, std::string_view Key) noexcept {
  const XXH128_hash_t Hash =
      XXH3_128bits_withSeed(Key.data(), Key.size(), hash64(Service));
  return OrderKey{.High = Hash.high64, .Low = Hash.low64};
}

} // namespace jujubecart::core
