#ifndef JUJUBECART_CORE_WORKSPACE_HPP
#define JUJUBECART_CORE_WORKSPACE_HPP

#include <jujubecart/core/hash.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace jujubecart::core {

/// @brief Requests that a workspace may send through all VMs together.
struct WorkspaceQuota {
  /// Thousandths of a request per second; 0 if there is no limit.
  std::uint64_t MilliPerS = 0;
  /// Requests that may exceed the rate at once.
  std::uint64_t Burst = 0;

  [[nodiscard]] bool limited() const noexcept { return MilliPerS != 0; }

  friend auto operator<=>(const WorkspaceQuota &,
                          const WorkspaceQuota &) = default;
};

/// @brief A customer of the operators whose requests carry an API key.
struct Workspace {
  std::string Name;
  /// Replaces the priority of the route; lower values are served first.
  std::optional<std::uint8_t> Priority;
  WorkspaceQuota Quota;

  /// @brief Identifies the workspace in messages between VMs; never 0.
  [[nodiscard]] std::uint64_t hash() const noexcept { return hash64(Name) | 1; }

  friend auto operator<=>(const Workspace &, const Workspace &) = default;
};

} // namespace jujubecart::core

#endif
