#ifndef JUJUBECART_DECISION_DISPATCH_GROUP_HPP
#define JUJUBECART_DECISION_DISPATCH_GROUP_HPP

#include <jujubecart/core/config.hpp>

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

namespace jujubecart::decision {

/// @brief Maximum number of backend servers per group; a region with more
/// servers is split into several groups.
inline constexpr std::size_t MaxGroupServers = 32;

/// @brief Backend servers of one service in one region that share a dispatcher.
struct DispatchGroup {
  /// `<service>/<region>/<index>`; the index counts from 0 in each region.
  std::string Name;
  std::string Service;
  /// The zone's name if the service assigns the zone to no region.
  std::string Region;
  /// Sorted by id if dispatchGroups made the group.
  std::vector<core::BackendServer> Servers;

  friend auto operator<=>(const DispatchGroup &,
                          const DispatchGroup &) = default;
};

/// @brief Divides a service's backend servers into dispatch groups, keeping
/// most servers in their group when others join or leave.
/// @param Service The service; a zone that is assigned to no region forms a
/// region with the zone's name.
/// @return The groups ordered by region and index. They depend on Service
/// only, not on the order of its servers, so all VMs compute the same groups.
[[nodiscard]] std::vector<DispatchGroup>
dispatchGroups(const core::ServiceConfig &Service);

} // namespace jujubecart::decision

#endif
