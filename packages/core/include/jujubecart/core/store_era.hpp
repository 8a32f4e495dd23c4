#ifndef JUJUBECART_CORE_STORE_ERA_HPP
#define JUJUBECART_CORE_STORE_ERA_HPP

#include <jujubecart/core/config.hpp>

#include <algorithm>
#include <cstdint>

namespace jujubecart::core {

/// Low bits of a Revision that hold the number that the store gave out. A store
/// that accepts 1,200 writes per second needs centuries for more.
inline constexpr unsigned StoreRevisionBits = 44;
inline constexpr Revision MaxStoreRevision =
    (Revision{1} << StoreRevisionBits) - 1;
inline constexpr std::uint64_t MaxStoreEra = UINT64_MAX >> StoreRevisionBits;

/// @brief Era of the store in which a revision was given out: how often the
/// store had come back from a copy. A store gives out revisions again after
/// that, so the era is the high part of a Revision, which orders all revisions
/// of an era after those of earlier ones.
[[nodiscard]] constexpr std::uint64_t eraOf(Revision Full) noexcept {
  return Full >> StoreRevisionBits;
}

/// @brief Number that the store gave out for a revision.
[[nodiscard]] constexpr std::uint64_t withoutEra(Revision Full) noexcept {
  return Full & MaxStoreRevision;
}

/// @brief Combines a number that the store gave out with its era. Numbers that
/// are too large are cut to the largest possible ones.
[[nodiscard]] constexpr Revision makeRevision(std::uint64_t Era,
                                              std::uint64_t Number) noexcept {
  return (std::min(Era, MaxStoreEra) << StoreRevisionBits) |
         std::min(Number, MaxStoreRevision);
}

} // namespace jujubecart::core

#endif
