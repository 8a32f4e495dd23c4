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

/// @brief Snapshot of the platform's VM list; it may be out of date.
struct VmList {
  /// Entry VMs, live or leaving; their incarnation is 0, since the list does
  /// not contain it.
  std::vector<core::Member> EntryVms;
  /// Whether a backend server is leaving, by the id of the server.
  std::map<std::string, bool> BackendLeaving;

  friend auto operator<=>(const VmList &, const VmList &) = default;
};

/// @brief Parses the response of `GET /vms`; invalid items are reported and
/// skipped.
/// @param Text JSON text.
/// @param Report Collects every problem found.
/// @return The list, or nothing if the text is not an object with `vms`.
[[nodiscard]] std::optional<VmList> parseVmList(std::string_view Text,
                                                core::Findings &Report);

} // namespace jujubecart::inventory

#endif
