#ifndef JUJUBECART_CORE_KEY_VALUE_STORE_HPP
#define JUJUBECART_CORE_KEY_VALUE_STORE_HPP

#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/error.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace jujubecart::core {

/// @brief A stored value and the version of its last write.
struct VersionedValue {
  std::uint64_t Version = 0;
  std::string Value;

  friend auto operator<=>(const VersionedValue &,
                          const VersionedValue &) = default;
};

/// @brief Key-value service of the platform, with a version for each key.
class KeyValueStore {
public:
  virtual ~KeyValueStore() = default;

  /// @brief Reads the value of a key.
  /// @return The value, or NotFound, Unavailable or DeadlineExceeded.
  [[nodiscard]] virtual Awaitable<Result<VersionedValue>>
  get(std::string Key, TimePoint Deadline) = 0;

  /// @brief Writes a value if the key has the expected version (compare and
  /// swap).
  /// @param Expected Version to replace; 0 creates the key.
  /// @return The new version, Conflict, Unavailable (certainly not written),
  /// or OutcomeUnknown.
  [[nodiscard]] virtual Awaitable<Result<std::uint64_t>>
  put(std::string Key, std::string Value, std::uint64_t Expected,
      TimePoint Deadline) = 0;

  /// @brief Waits until the version of a key is above the given one.
  /// @return The new value, DeadlineExceeded or Unavailable.
  [[nodiscard]] virtual Awaitable<Result<VersionedValue>>
  watch(std::string Key, std::uint64_t After, TimePoint Deadline) = 0;
};

} // namespace jujubecart::core

#endif
