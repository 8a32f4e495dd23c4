#ifndef JUJUBECART_DEV_FAKES_STORE_MODEL_HPP
#define JUJUBECART_DEV_FAKES_STORE_MODEL_HPP

#include <jujubecart/core/key_value_store.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace jujubecart::dev {

/// @brief Versioned keys with compare-and-swap, without any I/O.
class StoreModel {
public:
  /// @brief Outcome of a write.
  struct Written {
    bool Accepted = false;
    /// Version of the key after the write or the refusal.
    std::uint64_t Version = 0;
  };

  /// @brief Reads a key.
  [[nodiscard]] std::optional<core::VersionedValue>
  get(const std::string &Key) const;

  /// @brief Replaces a value of the expected version; 0 creates the key.
  [[nodiscard]] Written put(const std::string &Key, std::string Value,
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
