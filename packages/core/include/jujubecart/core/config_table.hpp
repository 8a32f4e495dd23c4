#ifndef JUJUBECART_CORE_CONFIG_TABLE_HPP
#define JUJUBECART_CORE_CONFIG_TABLE_HPP

#include <jujubecart/core/config_source.hpp>

#include <mutex>
#include <vector>

namespace jujubecart::core {

/// @brief Holds the current configuration; its revision never decreases.
class ConfigTable final : public ConfigSource {
public:
  ConfigTable();

  [[nodiscard]] Snapshot current() const override;
  void subscribe(Listener Notify) override;

  /// @brief Replaces the current configuration with a newer one.
  /// @return False if the candidate is not newer; it is ignored then.
  bool apply(const Snapshot &Candidate);

  /// @brief Applies a delta if no change before its base is missing here.
  /// @param Base Revision that the delta starts from; must not be above the
  /// current revision.
  /// @param Target Revision after the delta.
  /// @param Changed All services changed after Base, tombstones included.
  /// @return Whether the delta was applied.
  bool applyDelta(Revision Base, Revision Target,
                  const ConfigSnapshot::ServiceMap &Changed);

private:
  // Held during a change and its notifications, so that listeners see the
  // revisions in order. Lock order: ApplyMutex, then Mutex.
  std::mutex ApplyMutex;
  mutable std::mutex Mutex;
  Snapshot Current;
  std::vector<Listener> Listeners;

  bool applyLocked(const Snapshot &Candidate);
};

} // namespace jujubecart::core

#endif
