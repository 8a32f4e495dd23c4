#ifndef JUJUBECART_CORE_CONFIG_SOURCE_HPP
#define JUJUBECART_CORE_CONFIG_SOURCE_HPP

#include <jujubecart/core/config_snapshot.hpp>

#include <functional>
#include <memory>

namespace jujubecart::core {

/// @brief Read access to the current configuration and its changes.
class ConfigSource {
public:
  using Snapshot = std::shared_ptr<const ConfigSnapshot>;
  using Listener = std::function<void(const Snapshot &)>;

  virtual ~ConfigSource() = default;

  /// @brief Current configuration; never null, revision 0 before the first.
  [[nodiscard]] virtual Snapshot current() const = 0;

  /// @brief Registers a listener for changes; it sees them in revision order.
  /// @param Notify Called on the thread that applies the change, and free to
  /// call current(); what it refers to must outlive the source.
  virtual void subscribe(Listener Notify) = 0;
};

} // namespace jujubecart::core

#endif
