#ifndef JUJUBECART_PEERS_DISPATCH_PLAN_HPP
#define JUJUBECART_PEERS_DISPATCH_PLAN_HPP

#include <jujubecart/core/slot_broker.hpp>
#include <jujubecart/decision/call_preview.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jujubecart::peers {

/// @brief A request whose dispatch is explained.
struct PlannedRequest {
  core::SlotRequest Slot;
  /// Only this dispatch group; empty for all that may be chosen.
  std::string Group;
  /// Id of the VM that received the request; empty for this one.
  std::string Vm;
};

/// @brief Where the slot request of a call would go in one dispatch group, as
/// this VM knows it.
struct GroupPlan {
  std::string Group;
  std::string Region;
  /// Probability that this group is chosen, in percent.
  double SharePercent = 0;
  /// Ids of the VMs that would be asked, in order.
  std::vector<std::string> Dispatchers;
  /// Those that would be skipped because they did not answer lately.
  std::vector<std::string> Suspected;
  /// Ids of the servers that the receiving VM excludes: they leave or want no
  /// requests now.
  std::vector<std::string> Excluded;
  /// Whether this VM has a table of the group's servers. If not, the preview is
  /// that of a new dispatcher.
  bool Known = false;
  decision::CallPreview Preview;

  /// @brief VM that would decide; empty if no VM is known.
  [[nodiscard]] std::string dispatcher() const {
    return Dispatchers.empty() ? std::string() : Dispatchers.front();
  }
};

} // namespace jujubecart::peers

#endif
