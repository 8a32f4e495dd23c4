#ifndef JUJUBECART_CORE_CONFIG_TABLE_HPP
#define JUJUBECART_CORE_CONFIG_TABLE_HPP

#include <jujubecart/core/config_source.hpp>

#include <mutex>
#include <vector>

namespace jujubecart::core {

/// @brief Holds the configuration in force; its revision never decreases.
class ConfigTable final : public ConfigSource {
public:
  ConfigTable();

  [[nodiscard]] Snapshot current() const override;
  void subscribe(Listener Notify) override;

  /// @brief Puts a newer configuration in force.
  /// @param Candidate The snapshot.
  /// @return Whether it was newer than the one in force.
  bool apply(const Snapshot &Candidate);

  /// @brief Puts a delta in force if it is based on what is known here.
  /// @param Base Revision that the delta starts from; must not be above the
  /// revision in force.
  /// @param Target Revision after the delta.
  /// @param Changed All services changed after Base, tombstones included.
  /// @return Whether the delta was applied.
  bool applyDelta(Revision Base, Revision Target,
                  const ConfigSnapshot::ServiceMap &Changed);

private:
  // Serializes changes and their notifications, so that listeners see
  // revisions in order. Taken before Mutex.
  std::mutex ApplyMutex;
  mutable std::mutex Mutex;
  Snapshot Current;
  std::vector<Listener> Listeners;

  bool applyLocked(const Snapshot &Candidate);
};

} // namespace jujubecart::core

#endif
