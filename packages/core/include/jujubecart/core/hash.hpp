#ifndef JUJUBECART_CORE_HASH_HPP
#define JUJUBECART_CORE_HASH_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <string_view>

namespace jujubecart::core {

/// @brief Hashes bytes with xxHash64; the result is the same on every VM.
[[nodiscard]] std::uint64_t hash64(std::string_view Bytes,
                                   std::uint64_t Seed = 0) noexcept;

/// @brief 128-bit hash of a service name and an `Idempotency-Key`.
struct OrderKey {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  friend auto operator<=>(const OrderKey &, const OrderKey &) = default;
};

/// @brief Hashes an idempotency key; equal keys of different services give
/// different results.
/// @param Service Name of the service.
/// @param Key Value of the `Idempotency-Key` header as received.
[[nodiscard]] OrderKey orderKey(std::string_view Service,
                                std::string_view Key) noexcept;

} // namespace jujubecart::core

template <> struct std::hash<jujubecart::core::OrderKey> {
  std::size_t operator()(const jujubecart::core::OrderKey &Key) const noexcept {
    return Key.Low;
  }
};

#endif
