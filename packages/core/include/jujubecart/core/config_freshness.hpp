#ifndef JUJUBECART_CORE_CONFIG_FRESHNESS_HPP
#define JUJUBECART_CORE_CONFIG_FRESHNESS_HPP

#include <chrono>
#include <optional>

namespace jujubecart::core {

/// @brief Tells up to which instant the configuration of this VM is complete.
class ConfigFreshness {
public:
  virtual ~ConfigFreshness() = default;

  /// @brief Instant on Clock::uptime() before which every accepted change is
  /// included in the configuration. Thread-safe.
  ///
  /// The configuration must be read after this, since both advance.
  /// @return Nothing if no such instant is known.
  [[nodiscard]] virtual std::optional<std::chrono::milliseconds>
  completeUntil() const noexcept = 0;
};

} // namespace jujubecart::core

#endif
