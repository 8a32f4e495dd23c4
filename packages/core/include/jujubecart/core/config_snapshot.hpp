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

/// @brief One service and the revision that last changed it.
struct ServiceEntry {
  Revision Changed = 0;
  /// Absent if that revision removed the service (tombstone).
  std::optional<ServiceConfig> Service;

  friend bool operator==(const ServiceEntry &, const ServiceEntry &) = default;
};

/// @brief Immutable configuration of one revision.
class ConfigSnapshot {
public:
  using ServiceMap =
      std::map<std::string, std::shared_ptr<const ServiceEntry>, std::less<>>;

  ConfigSnapshot() = default;

  /// @brief Creates a snapshot.
  /// @param Number Its revision.
  /// @param Entries All services, tombstones included.
  /// @param Routing Routes that replace the rules of the services, or nullptr.
  ConfigSnapshot(Revision Number, ServiceMap Entries,
                 std::shared_ptr<const RoutingTable> Routing = nullptr);

  [[nodiscard]] Revision revision() const noexcept { return Number; }

  /// @brief All services, tombstones included.
  [[nodiscard]] const ServiceMap &entries() const noexcept { return Entries; }

  /// @brief Routes that replace the rules of the services, or nullptr.
  [[nodiscard]] const RoutingTable *routing() const noexcept {
    return Routing.get();
  }

  /// @brief Finds a service that exists at this revision.
  /// @param Name Name of the service.
  /// @return The service or nullptr.
  [[nodiscard]] const ServiceConfig *find(std::string_view Name) const noexcept;

  /// @brief Finds the service whose rule matches; the longest prefix wins.
  /// @param Host Host without port; rules without host match any.
  /// @param Path Path of the request target.
  /// @return The service or nullptr.
  [[nodiscard]] const ServiceConfig *
  route(std::string_view Host, std::string_view Path) const noexcept;

  /// @brief Services changed after a revision, tombstones included.
  /// @param Since Revision that the receiver has.
  /// @return The changed entries.
  [[nodiscard]] ServiceMap changedSince(Revision Since) const;

  friend bool operator==(const ConfigSnapshot &Left,
                         const ConfigSnapshot &Right) noexcept;

private:
  Revision Number = 0;
  ServiceMap Entries;
  std::shared_ptr<const RoutingTable> Routing;
};

} // namespace jujubecart::core

#endif
