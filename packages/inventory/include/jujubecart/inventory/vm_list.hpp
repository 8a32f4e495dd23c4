#ifndef JUJUBECART_INVENTORY_VM_LIST_HPP
#define JUJUBECART_INVENTORY_VM_LIST_HPP

#include <jujubecart/core/findings.hpp>
#include <jujubecart/core/member.hpp>

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecart::inventory {

/// @brief The platform's list of VMs; it lags behind the truth.
struct VmList {
  /// Entry VMs, incarnation 0, live or leaving.
  std::vector<core::Member> Entries;
  /// Whether each backend server is leaving, by its id.
  std::map<std::string, bool> Leaving;

  friend auto operator<=>(const VmList &, const VmList &) = default;
};

/// @brief Reads the response of `GET /vms`; invalid items are left out.
/// @param Text JSON text.
/// @param Report Collects the diagnostics.
/// @return The list, or nothing if the text has no list.
[[nodiscard]] std::optional<VmList> parseVmList(std::string_view Text,
                                                core::Findings &Report);

} // namespace jujubecart::inventory

#endif
