#ifndef JUJUBECART_PEERS_DISPATCH_SERVICE_HPP
#define JUJUBECART_PEERS_DISPATCH_SERVICE_HPP

#include <jujubecart/core/member.hpp>
#include <jujubecart/core/order_claims.hpp>
#include <jujubecart/decision/decision.hpp>
#include <jujubecart/decision/known_vms.hpp>
#include <jujubecart/decision/pending_call.hpp>
#include <jujubecart/decision/server_status.hpp>
#include <jujubecart/decision/workspace_quotas.hpp>
#include <jujubecart/peers/group_directory.hpp>
#include <jujubecart/peers/health_prober.hpp>
#include <jujubecart/peers/link_table.hpp>

#include <functional>
#include <map>
#include <set>

namespace jujubecart::peers {

namespace internal {
class UnsentReports;
} // namespace internal

/// @brief A request as it was counted against the quota of its workspace.
struct QuotaUse {
  std::uint64_t Workspace = 0;
  core::TimePoint CountedAt;

  friend auto operator<=>(const QuotaUse &, const QuotaUse &) = default;
};

/// @brief Decision of a dispatcher on one call.
struct DispatchResult {
  /// Server to which the call may be sent; empty if the call was refused.
  std::optional<core::BackendServer> Server;
  /// Why the call was refused; meaningless if Server is set.
  core::Error Reason = core::Error::Unavailable;
  /// Delay after which a refused call should be retried; 0 if unknown.
  std::chrono::milliseconds RetryAfter{0};
  /// Opportunity cost of a slot of the group in percent of a call; 0 if
  /// unknown.
  std::uint8_t SlotPricePercent = 0;
  /// As in core::SlotGrant.
  core::TimePoint HedgeAt = core::TimePoint::max();
};

/// @brief A call of this VM to its own dispatcher. The fields that are not
/// described here have the meaning of core::SlotRequest.
struct DispatchCall {
  /// From DispatchService::newToken().
  decision::CallToken Token = 0;
  core::RequestId Request;
  core::TimePoint Deadline;
  std::uint8_t Priority = 5;
  std::uint64_t CallerHash = 0;
  std::optional<core::OrderKey> Key;
  std::vector<std::string> Excluded;
  core::TimePoint Objective = core::TimePoint::max();
  std::uint64_t WorkClass = 0;
  /// Rate limits that servers of the group have stated to this VM.
  std::vector<decision::StatedLimit> Limits;
  std::uint64_t Workspace = 0;
  bool CountsAgainstQuota = false;
};

/// @brief Runs the dispatchers of this VM, one per dispatch group, and serves
/// local calls and the calls of other VMs. Thread-safe.
class DispatchService : public LinkListener {
public:
  using CompletionHandler = std::function<void(const DispatchResult &)>;

  /// @brief Objects that the service uses; each must outlive it.
  struct Environment {
    LinkTable &Links;
    const core::MemberSource &Members;
    GroupDirectory &Groups;
    core::ConfigSource &Config;
    core::OrderClaims &Claims;
    const core::Clock &Time;
    core::EventSink &Events;
    /// Nullptr disables health probes.
    HealthProber *Prober = nullptr;
    decision::QuotaRule Quotas{};
  };

  DispatchService(const boost::asio::any_io_executor &Executor,
                  const Environment &Dependencies);
  DispatchService(const DispatchService &) = delete;
  DispatchService &operator=(const DispatchService &) = delete;
  ~DispatchService() override;

  /// @brief Starts the timer loop that ticks the dispatchers and sends
  /// heartbeats and health probes.
  void start();

  /// @brief Stops the timer loop; waiting calls are not completed.
  void stop();

  /// @brief Creates a token that is unique among the calls of this service.
  [[nodiscard]] decision::CallToken newToken() noexcept { return ++LastToken; }

  /// @brief Queues a call of this VM.
  /// @param OnComplete Called once unless the call is withdrawn, possibly
  /// before submit returns and with the mutex of the group locked.
  void submit(const GroupPtr &Group, DispatchCall Call,
              CompletionHandler OnComplete);

  /// @brief Withdraws a waiting call of this VM without calling its handler;
  /// a call that was granted already returns its grant.
  void withdraw(std::uint64_t Group, decision::CallToken Token);

  /// @brief Returns the grant of a call of this VM.
  void release(std::uint64_t Group, decision::CallToken Token,
               const core::CallReport &Report);

  /// @brief Sets the number of calls of this VM that another dispatcher granted
  /// and that are still in flight on a server.
  void adopt(const GroupPtr &Group, const std::string &ServerId,
             std::uint32_t Calls);

  /// @brief Ends one of the calls that adopt() reported.
  void releaseAdopted(std::uint64_t Group, const std::string &ServerId,
                      const core::CallReport &Report);

  /// @brief Releases the claim of an order key. If a claim operation for the
  /// same key and request is in progress, the release follows it.
  void releaseClaim(const std::string &Service, core::OrderKey Key,
                    core::RequestId Request);

  /// @brief Counts a request that this VM decides without a dispatcher against
  /// the quota of its workspace.
  /// @return Whether it is within the quota.
  [[nodiscard]] decision::QuotaDecision countAlone(const QuotaUse &Use,
                                                   core::RequestId Request);
  /// @brief Gives back a request that countAlone() admitted and that got no
  /// slot.
  void giveBackAlone(const QuotaUse &Use);

  /// @brief Notes that an earlier process of this VM was part of the fleet, so
  /// that it may have admitted requests.
  void noteRestart() { Quotas.noteRestart(); }

  /// @brief Workspaces whose quotas this VM keeps.
  [[nodiscard]] std::size_t quotaWorkspaces() const { return Quotas.size(); }

  /// @brief A call of another VM or of this one, as a dispatcher here gets it.
  /// @param Vm Id of the VM that received the call; empty for this one.
  [[nodiscard]] decision::PendingCall pendingCall(const core::SlotRequest &Slot,
                                                  const std::string &Vm) const;

  /// @brief What the dispatcher of a group on this VM would do with a call,
  /// computed without changing it. Locks the group while its state is copied
  /// and the decision made on the copy.
  /// @return Also whether this VM has a dispatcher of the group; if not, a new
  /// one decides.
  [[nodiscard]] std::pair<bool, decision::CallPreview>
  preview(const GroupPtr &Entry, decision::PendingCall Call) const;

  /// @brief Whether a request of a workspace is within its quota now.
  [[nodiscard]] decision::QuotaPreview
  previewQuota(std::uint64_t Workspace) const;

  /// @brief Server states by group name, for the groups in which this VM ranks
  /// first or has calls.
  [[nodiscard]] std::map<std::string, std::vector<decision::ServerStatus>>
  status() const;

  void onFrame(const LinkPtr &Source, const Frame &Item) override;
  void onClose(const LinkPtr &Source) override;

private:
  struct Group;
  struct Client;
  /// @brief What a dispatcher needs of a call only until it is queued.
  struct QueueingFacts {
    std::vector<std::string> Excluded;
    std::uint64_t CallerHash = 0;
    std::vector<decision::StatedLimit> Limits;
    bool CountsAgainstQuota = false;
  };
  struct Call;
  using GroupState = std::shared_ptr<Group>;
  using ClientPtr = std::shared_ptr<Client>;

  void onAcquire(const LinkPtr &Source, const Acquire &Item);
  void onRelease(const LinkPtr &Source, const Release &Item, bool Sent = true);
  void onCancel(const LinkPtr &Source, const Cancel &Item);
  void onInFlight(const LinkPtr &Source, const InFlight &Item);

  [[nodiscard]] GroupState findOrCreateGroup(const GroupPtr &Entry);
  [[nodiscard]] GroupState findGroup(std::uint64_t Hash) const;
  [[nodiscard]] ClientPtr findOrCreateClient(const LinkPtr &Source);
  void enqueue(const GroupState &Target, Call Item, QueueingFacts Facts);
  /// @param Sent Whether the call was sent if it was granted a slot.
  void finishCall(const GroupState &Target, decision::CallToken Token,
                  const core::CallReport &Report, bool Sent);
  core::Awaitable<void> claimOrderKey(GroupState Target,
                                      decision::CallToken Token,
                                      core::OrderKey Key,
                                      core::RequestId Request,
                                      core::TimePoint Deadline);
  void onClaimed(const GroupState &Target, decision::CallToken Token,
                 const core::Result<void> &Outcome);
  void applyDecisions(Group &Target, const decision::Decisions &Out);
  void grant(Group &Target, Call &Item, const decision::Granted &Decision);
  void refuse(Group &Target, decision::CallToken Token, core::Error Reason,
              std::chrono::milliseconds RetryAfter,
              std::uint8_t SlotPricePercent);
  void onGroupsChanged(const GroupDirectory::Index &Index);

  /// @brief Whether this VM may count a request of another VM. Updates the
  /// ranks first if it does not; call it without locks held.
  [[nodiscard]] bool countsForOthers(std::uint64_t Workspace);
  /// @brief Whether the workspace's priority replaces that of routes.
  [[nodiscard]] bool hasOwnPriority(std::uint64_t Workspace) const;
  [[nodiscard]] decision::QuotaDecision countRequest(std::uint64_t Workspace,
                                                     core::RequestId Request,
                                                     core::TimePoint Now,
                                                     bool Alone);
  /// @brief Gives the token of a call that got no slot back to its workspace.
  /// Called once for a call, when it is removed.
  void giveBackQuota(const Call &Item);
  void onQuotaReport(const LinkPtr &Source, const QuotaReport &Item);
  void onQuotaHistory(const LinkPtr &Source, const QuotaHistoryMessage &Item);
  void updateQuotaFleet(std::set<std::string, std::less<>> Reporters,
                        const std::vector<core::Member> &Members);
  void sendQuotaReport(core::TimePoint Now);
  void askForQuotaHistory(core::TimePoint Now);

  core::Awaitable<void> runLoop();
  /// @return When the next tick is due.
  [[nodiscard]] core::TimePoint tickGroups(core::TimePoint Now);
  void updateRanks();
  /// @return Whether calls of another VM wait.
  [[nodiscard]] bool sendHeartbeats(core::TimePoint Now);
  core::Awaitable<void> probe(GroupState Target, core::BackendServer Server);
  void startRequestedProbes(const GroupState &Target);
  void wake();

  const boost::asio::any_io_executor Executor;
  const Environment Env;
  boost::asio::steady_timer Timer;
  std::atomic<bool> Stopped{false};
  std::atomic<bool> Sleeping{false};
  std::atomic<decision::CallToken> LastToken{0};
  /// Guards the ranks. Locked before the mutex of a group.
  std::mutex RankMutex;
  // Member version and configuration revision of the last updateRanks().
  std::uint64_t RankedMemberVersion = 0;
  core::Revision RankedConfigRevision = 0;

  /// Locked after the mutex of a group.
  decision::WorkspaceQuotas Quotas;
  /// VMs among which quotas are divided; guarded by RankMutex.
  decision::KnownVms QuotaVms;
  /// VMs to which quota reports are sent; guarded by RankMutex.
  std::vector<core::Member> QuotaReceivers;
  /// Used by runLoop() only.
  const std::unique_ptr<internal::UnsentReports> Unsent;

  // Guards Groups and Clients. Held only for lookups; never held while the
  // mutex of a group is being locked.
  mutable std::mutex Mutex;
  /// By hash of the group name.
  std::unordered_map<std::uint64_t, GroupState> Groups;
  /// By link number.
  std::unordered_map<std::uint64_t, ClientPtr> Clients;

  /// Claim operations in progress for one order key and request.
  struct RunningClaim {
    int Operations = 0;
    /// Whether the claim is to be released after the last of them.
    bool ReleaseWhenDone = false;
  };
  std::mutex ClaimMutex;
  std::map<std::pair<core::OrderKey, core::RequestId>, RunningClaim>
      RunningClaims;
};

} // namespace jujubecart::peers

#endif
