#ifndef JUJUBECART_CORE_CONFIG_SNAPSHOT_HPP
#define JUJUBECART_CORE_CONFIG_SNAPSHOT_HPP

#include <jujubecart/core/config.hpp>
#include <jujubecart/core/routing_table.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace jujubecart::core {

/// @brief A service with the revision that last changed it.
struct ServiceEntry {
  Revision Changed = 0;
  /// Absent if that revision removed the service (tombstone).
  std::optional<ServiceConfig> Service;

  friend bool operator==(const ServiceEntry &, const ServiceEntry &) = default;
};

/// @brief Immutable configuration at one revision.
class ConfigSnapshot {
public:
  using ServiceMap =
      std::map<std::string, std::shared_ptr<const ServiceEntry>, std::less<>>;

  ConfigSnapshot() = default;

  /// @brief Creates a snapshot of one revision.
  /// @param Entries All services, tombstones included.
  /// @param Routing Routes that replace the rules of the services, or nullptr.
  ConfigSnapshot(Revision SnapshotRevision, ServiceMap Entries,
                 std::shared_ptr<const RoutingTable> Routing = nullptr);

  [[nodiscard]] Revision revision() const noexcept { return SnapshotRevision; }

  /// @brief All services, tombstones included.
  [[nodiscard]] const ServiceMap &entries() const noexcept { return Entries; }

  /// @brief Routes that replace the rules of the services, or nullptr.
  [[nodiscard]] const RoutingTable *routing() const noexcept {
    return Routing.get();
  }

  /// @brief Finds a service by name.
  /// @return The service, or nullptr if it does not exist at this revision.
  [[nodiscard]] const ServiceConfig *find(std::string_view Name) const noexcept;

  /// @brief Finds the service whose rule matches; the longest path prefix wins,
  /// then a rule with a host.
  /// @param Host Host without port; rules without a host match any.
  /// @param Path Path of the request target.
  /// @return The service, or nullptr if no rule matches.
  [[nodiscard]] const ServiceConfig *
  route(std::string_view Host, std::string_view Path) const noexcept;

  /// @brief Services changed after a revision, tombstones included.
  /// @param Since Revision that the receiver already has.
  [[nodiscard]] ServiceMap changedSince(Revision Since) const;

  friend bool operator==(const ConfigSnapshot &Left,
                         const ConfigSnapshot &Right) noexcept;

private:
  Revision SnapshotRevision = 0;
  ServiceMap Entries;
  std::shared_ptr<const RoutingTable> Routing;
};

} // namespace jujubecart::core

#endif
