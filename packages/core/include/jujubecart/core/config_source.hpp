#ifndef JUJUBECART_CORE_CONFIG_SOURCE_HPP
#define JUJUBECART_CORE_CONFIG_SOURCE_HPP

#include <jujubecart/core/config_snapshot.hpp>

#include <functional>
#include <memory>

namespace jujubecart::core {

/// @brief Read access to the configuration in force.
class ConfigSource {
public:
  using Snapshot = std::shared_ptr<const ConfigSnapshot>;
  using Listener = std::function<void(const Snapshot &)>;

  virtual ~ConfigSource() = default;

  /// @brief Configuration in force; never null, revision 0 if there is none.
  [[nodiscard]] virtual Snapshot current() const = 0;

  /// @brief Calls a listener after each change, in revision order.
  /// @param Notify Called without locks held; must outlive the source.
  virtual void subscribe(Listener Notify) = 0;
};

} // namespace jujubecart::core

#endif
