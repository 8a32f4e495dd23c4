#ifndef JUJUBECART_DECISION_DISPATCH_GROUP_HPP
#define JUJUBECART_DECISION_DISPATCH_GROUP_HPP

#include <jujubecart/core/config.hpp>

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

namespace jujubecart::decision {

/// @brief Most backend servers that dispatchGroups puts in one group.
inline constexpr std::size_t MaxGroupServers = 32;

/// @brief Backend servers of one service in one region with one dispatcher.
struct DispatchGroup {
  /// `<service>/<region>/<index>`.
  std::string Name;
  std::string Service;
  std::string Region;
  std::vector<core::BackendServer> Servers;

  friend auto operator<=>(const DispatchGroup &,
                          const DispatchGroup &) = default;
};

/// @brief Divides a service's backend servers into dispatch groups.
/// @param Service The service; zones without a region form a region of
/// their own name.
/// @return The groups in order of their names' region and index; the same on
/// every VM.
[[nodiscard]] std::vector<DispatchGroup>
dispatchGroups(const core::ServiceConfig &Service);

} // namespace jujubecart::decision

#endif
