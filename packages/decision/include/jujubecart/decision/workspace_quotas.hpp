#ifndef JUJUBECART_DECISION_WORKSPACE_QUOTAS_HPP
#define JUJUBECART_DECISION_WORKSPACE_QUOTAS_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/workspace.hpp>
#include <jujubecart/decision/decayed_rate.hpp>
#include <jujubecart/decision/quota_history.hpp>
#include <jujubecart/decision/quota_rule.hpp>
#include <jujubecart/decision/sliding_use.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jujubecart::decision {

/// @brief Requests of one workspace at one VM since the VM's last report.
struct WorkspaceUse {
  /// core::Workspace::hash().
  std::uint64_t Workspace = 0;
  /// Requests that counted against the quota, whether admitted or not.
  std::uint32_t Demanded = 0;
  /// Requests admitted, less those given back; negative if more were given
  /// back.
  std::int32_t Admitted = 0;

  friend auto operator<=>(const WorkspaceUse &, const WorkspaceUse &) = default;
};

/// @brief VMs among which quotas are divided.
struct QuotaFleet {
  /// Ids of the VMs that dispatch a group or replace its dispatcher first; they
  /// send each other reports.
  std::set<std::string, std::less<>> Reporters;
  /// VMs taken for live, this one included.
  std::size_t Live = 1;
  /// Live VMs and those that may be cut off, see KnownVms.
  std::size_t Known = 1;

  friend bool operator==(const QuotaFleet &, const QuotaFleet &) = default;
};

/// @brief Whether a request is within its workspace's quota, with the facts
/// for the log.
struct QuotaDecision {
  bool Admitted = true;
  /// When the workspace has room again; set if the request is refused.
  std::chrono::milliseconds RetryAfter{0};
  /// Part of the quota that this VM may use now, in thousandths.
  std::uint32_t ShareMilli = 0;
  /// Requests per second of the workspace at all VMs, as last reported.
  std::uint32_t DemandPerS = 0;
  /// Age of the newest report of another VM; empty if there is none.
  std::optional<std::chrono::milliseconds> ReportAge;
  /// Whether nextReport() is earlier since this request.
  bool AdvancesReport = false;
  /// Whether the request is refused only because this VM has not heard yet what
  /// was used before; another reporter should decide.
  bool AwaitsHistory = false;
};

/// @brief What request() would decide, and the quota as this VM knows it.
struct QuotaPreview {
  core::WorkspaceQuota Quota;
  QuotaDecision Decision;
  /// In which the quota holds.
  std::chrono::milliseconds Window{0};
  /// Whether this VM hears what the others admit.
  bool Shared = false;
  /// Requests left in the window: of the VMs in reach if Shared is set,
  /// otherwise of this VM. Negative after more was used than there was; 0
  /// without a limit.
  double Left = 0;
};

/// @brief Keeps the requests of each workspace within its quota together with
/// the same object on other VMs. Does no I/O. Thread-safe.
///
/// Each VM counts what all VMs admitted in the last window: its own requests at
/// once and those of other VMs when they are reported. Between two reports a VM
/// uses only its share of what is left, so that the VMs together stay within
/// the quota.
class WorkspaceQuotas {
public:
  /// @brief Quota in force; one without limit for an unknown workspace.
  using QuotaSource = std::function<core::WorkspaceQuota(std::uint64_t)>;

  /// @param Self Id of this VM.
  /// @param Source Called with the mutex held; must not call this object.
  WorkspaceQuotas(std::string Self, QuotaSource Source, core::TimePoint Now,
                  QuotaRule Rule = {});

  /// @brief Replaces the VMs among which quotas are divided.
  void setFleet(QuotaFleet Fleet, core::TimePoint Now);

  /// @brief Notes that an earlier process of this VM was part of the fleet. As
  /// long as no VM says what was used, all of the last window counts as used.
  void noteRestart();

  /// @brief Whether this VM may decide on requests of other VMs: it knows what
  /// the others admit, or the workspace has no limit.
  [[nodiscard]] bool decidesForOthers(std::uint64_t Workspace) const;

  /// @brief Counts a request that has had no slot yet.
  /// @param Alone Whether this VM decides without a dispatcher; it then has a
  /// fixed share.
  [[nodiscard]] QuotaDecision request(std::uint64_t Workspace,
                                      core::TimePoint Now, bool Alone = false);

  /// @brief What request() would decide now; counts nothing.
  [[nodiscard]] QuotaPreview preview(std::uint64_t Workspace,
                                     core::TimePoint Now) const;

  /// @brief Gives back an admitted request that got no slot.
  /// @param CountedAt When request() counted it.
  void giveBack(std::uint64_t Workspace, core::TimePoint CountedAt,
                core::TimePoint Now);

  /// @brief Adds the report of another VM.
  void recordReport(std::string_view Sender,
                    const std::vector<WorkspaceUse> &Items,
                    core::TimePoint Now);

  /// @brief Takes the reporters that are to be asked for their history now.
  [[nodiscard]] std::vector<std::string>
  takeHistoryRequests(core::TimePoint Now);

  /// @brief What this VM knows of the last window, for a reporter that asks.
  [[nodiscard]] QuotaHistory history(core::TimePoint Now);

  /// @brief Adds what another reporter knows of the last window.
  void recordHistory(std::string_view Sender, const QuotaHistory &Told,
                     core::TimePoint Now);

  /// @brief Takes the report that is due, for all other reporters.
  /// @return Nothing if none is due. An empty report says only that this VM is
  /// in reach.
  [[nodiscard]] std::optional<std::vector<WorkspaceUse>>
  takeReport(core::TimePoint Now);

  /// @brief When the next report is due; max if there is nothing to report.
  [[nodiscard]] core::TimePoint nextReport() const;

  /// @brief Workspaces that are remembered.
  [[nodiscard]] std::size_t size() const;

private:
  /// Demand moves between dispatchers within a second, and a workspace has a
  /// few requests a second.
  static constexpr std::chrono::milliseconds DemandMemory{1500};

  struct Entry {
    explicit Entry(std::chrono::milliseconds Window) : Use(Window) {}

    core::WorkspaceQuota Quota;
    /// Requests admitted in the last window, scaled up to the whole fleet.
    SlidingUse Use;
    /// Requests that the whole fleet may admit at once; they come back evenly
    /// over the window.
    double AtOnce = 0;
    /// This VM's part of what has expired, as far as it has not used it, in
    /// requests.
    double Refill = 0;
    /// When Use, AtOnce and Refill were computed.
    core::TimePoint At;
    /// Reported demand of all VMs and of this one.
    DecayedRate Demand{DemandMemory};
    DecayedRate OwnDemand{DemandMemory};
    /// Not yet reported.
    std::uint32_t Demanded = 0;
    std::int32_t Admitted = 0;
    /// Until when room is promised to refused requests by RetryAfter.
    core::TimePoint PromisedUntil;
    core::TimePoint LastUsed;
  };

  [[nodiscard]] bool reports() const;
  /// @brief Begins to find out what was used before.
  void join(core::TimePoint Now);
  /// @brief Whether what was used in the last window is known.
  [[nodiscard]] bool knowsWindow(core::TimePoint Now) const;
  [[nodiscard]] bool awaitsHistory(core::TimePoint Now) const;
  [[nodiscard]] double reachablePart(core::TimePoint Now) const;
  [[nodiscard]] Entry &entry(std::uint64_t Workspace, core::TimePoint Now);
  /// @brief Sets the quota in force, and the first refill of a new entry.
  void applyQuota(Entry &Item, bool New, const core::WorkspaceQuota &Quota,
                  core::TimePoint Now) const;
  [[nodiscard]] static double perS(const core::WorkspaceQuota &Quota);
  [[nodiscard]] double perWindow(const core::WorkspaceQuota &Quota) const;
  /// @brief Whether more is demanded than the quota.
  [[nodiscard]] bool exceeded(const Entry &Item, core::TimePoint Now) const;
  [[nodiscard]] double maxAtOnce(const Entry &Item, core::TimePoint Now) const;
  [[nodiscard]] double lent(const core::WorkspaceQuota &Quota) const;
  /// @brief Requests that the whole fleet may still admit in this window.
  [[nodiscard]] double room(const Entry &Item, core::TimePoint Now) const;
  [[nodiscard]] double level(const Entry &Item, double Part,
                             core::TimePoint Now) const;
  [[nodiscard]] double unknownUse(const Entry &Item, core::TimePoint Now) const;
  [[nodiscard]] double share(const Entry &Item, core::TimePoint Now) const;
  void advance(Entry &Item, core::TimePoint Now) const;
  [[nodiscard]] bool admit(Entry &Item, double Share,
                           core::TimePoint Now) const;
  [[nodiscard]] std::chrono::milliseconds promise(Entry &Item, double Share,
                                                  core::TimePoint Now) const;
  [[nodiscard]] QuotaDecision decide(Entry &Item, core::TimePoint Now,
                                     bool Alone) const;
  void recordDemand(core::TimePoint Now);
  /// @brief When a report is due, whether or not this VM reports; max if there
  /// was no demand lately.
  [[nodiscard]] core::TimePoint dueAt() const;
  void forgetIdle(core::TimePoint Now);

  const std::string Self;
  const QuotaSource Source;
  const QuotaRule Rule;

  mutable std::mutex Mutex;
  QuotaFleet Fleet;
  /// When this VM began to receive the reports of most others.
  core::TimePoint JoinedAt;
  /// Whether a reporter that knew it has said what was used before JoinedAt.
  bool HistoryKnown = false;
  /// Whether an earlier process of this VM may have admitted requests.
  bool Restarted = false;
  /// Reporters that have not said yet what was used before, and when each was
  /// asked.
  std::map<std::string, core::TimePoint, std::less<>> Awaited;
  /// When takeReport() was last called.
  core::TimePoint TickedAt;
  /// When each other reporter was last heard or became a reporter.
  std::map<std::string, core::TimePoint, std::less<>> HeardAt;
  std::optional<core::TimePoint> LastHeard;
  std::unordered_map<std::uint64_t, Entry> Entries;
  /// Workspaces with something to report.
  std::set<std::uint64_t> Unreported;
  /// Whether a report should not wait for the regular interval.
  bool Urgent = false;
  core::TimePoint ReportedAt;
  /// When any VM last had demand.
  core::TimePoint ActiveAt;
  /// When demand began, after a time in which nobody had to report.
  core::TimePoint ActiveSince;
  core::TimePoint ForgottenAt;
};

} // namespace jujubecart::decision

#endif
