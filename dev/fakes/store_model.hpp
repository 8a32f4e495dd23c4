#ifndef JUJUBECART_DEV_FAKES_STORE_MODEL_HPP
#define JUJUBECART_DEV_FAKES_STORE_MODEL_HPP

#include <jujubecart/core/key_value_store.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace jujubecart::dev {

/// @brief In-memory key-value store with versions and compare-and-swap; does no
/// I/O.
class StoreModel {
public:
  /// @brief Result of a compare-and-swap write.
  struct WriteResult {
    /// False if the key does not have the expected version.
    bool Accepted = false;
    /// Current version of the key, after the write if it was accepted.
    std::uint64_t Version = 0;
  };

  /// @brief Value and version of a key; empty if the key does not exist.
  [[nodiscard]] std::optional<core::VersionedValue>
  get(const std::string &Key) const;

  /// @brief Writes a value if the key still has the expected version.
  /// @param Expected Version to replace; 0 creates the key.
  [[nodiscard]] WriteResult put(const std::string &Key, std::string Value,
                                std::uint64_t Expected);

  [[nodiscard]] const std::map<std::string, core::VersionedValue> &
  values() const noexcept {
    return Values;
  }

private:
  std::map<std::string, core::VersionedValue> Values;
};

} // namespace jujubecart::dev

#endif
