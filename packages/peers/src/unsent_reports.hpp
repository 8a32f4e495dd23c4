#ifndef JUJUBECART_PEERS_UNSENT_REPORTS_HPP
#define JUJUBECART_PEERS_UNSENT_REPORTS_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/decision/workspace_quotas.hpp>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jujubecart::peers::internal {

/// @brief Quota reports that could not be sent to a VM because no link to it
/// was open. They are added to the next report to it. Not thread-safe.
class UnsentReports {
public:
  using Items = std::vector<decision::WorkspaceUse>;

  /// A receiver that hears nothing for 300 ms already counts the use of the
  /// sender as a part of its own, so older reports would count twice.
  static constexpr std::chrono::milliseconds MaxAge{1000};

  /// @brief Keeps a report that was not sent.
  void add(const std::string &Vm, Items Report, core::TimePoint Now);

  /// @brief Adds what was kept for a VM to a report, one item a workspace.
  [[nodiscard]] Items merge(const std::string &Vm, const Items &Report,
                            core::TimePoint Now) const;

  /// @brief Forgets what was kept for a VM, because it was sent.
  void erase(const std::string &Vm) { Kept.erase(Vm); }

  /// @brief Forgets what was kept for all VMs but these.
  void retain(const std::set<std::string> &Vms);

private:
  struct Entry {
    core::TimePoint At;
    Items Report;
  };

  std::map<std::string, std::vector<Entry>> Kept;
};

} // namespace jujubecart::peers::internal

#endif
