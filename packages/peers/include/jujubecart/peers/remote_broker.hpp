#ifndef JUJUBECART_PEERS_REMOTE_BROKER_HPP
#define JUJUBECART_PEERS_REMOTE_BROKER_HPP

#include <jujubecart/core/slot_broker.hpp>
#include <jujubecart/decision/group_choice.hpp>
#include <jujubecart/decision/local_broker.hpp>
#include <jujubecart/peers/dispatch_plan.hpp>
#include <jujubecart/peers/dispatch_service.hpp>

#include <deque>
#include <memory>
#include <random>

namespace jujubecart::peers {

namespace internal {
class ServerStatements;
} // namespace internal

/// @brief Acquires slots from the dispatcher of a group. If the dispatcher is
/// unreachable or unresponsive, the next one or this VM decides. Thread-safe.
class RemoteBroker : public core::SlotBroker, public LinkListener {
public:
  /// @brief Objects that the broker uses; each must outlive it.
  struct Environment {
    LinkTable &Links;
    DispatchService &Dispatch;
    const core::MemberSource &Members;
    GroupDirectory &Groups;
    decision::LocalBroker &Fallback;
    core::OrderClaims &Claims;
    const core::Clock &Time;
    core::EventSink &Events;
  };

  RemoteBroker(const boost::asio::any_io_executor &Executor,
               const Environment &Dependencies);
  RemoteBroker(const RemoteBroker &) = delete;
  RemoteBroker &operator=(const RemoteBroker &) = delete;
  ~RemoteBroker() override;

  /// @brief Dispatchers on other VMs that a request asks before this VM
  /// decides.
  static constexpr std::size_t MaxRemoteDispatchers = 3;

  /// @brief Starts the timer loop that ends calls whose dispatcher is
  /// unresponsive or whose deadline has passed.
  void start();

  /// @brief Stops the timer loop; waiting calls return Cancelled.
  void stop();

  [[nodiscard]] core::Awaitable<core::Result<core::SlotGrant>>
  acquire(core::SlotRequest Request) override;
  void cancel(core::RequestId Request) noexcept override;
  [[nodiscard]] bool
  permits(const core::SlotGrant &Grant) const noexcept override;
  void release(const core::SlotGrant &Grant,
               const core::CallReport &Report) noexcept override;
  void releaseClaim(const std::string &Service, core::OrderKey Key,
                    core::RequestId Request) noexcept override;

  /// @brief Where a slot request would go, without sending it: the groups that
  /// may be chosen, the most probable first. Empty for an unknown service or
  /// group.
  [[nodiscard]] std::vector<GroupPlan>
  plan(const PlannedRequest &Request) const;

  void onFrame(const LinkPtr &Source, const Frame &Item) override;
  void onClose(const LinkPtr &Source) override;

private:
  struct AcquireResult;
  struct PendingCall;
  struct HeldGrant;
  struct MemberView;
  using View = std::shared_ptr<const MemberView>;
  using Ranking = std::shared_ptr<const std::vector<std::string>>;
  using ResultPromise = std::shared_ptr<internal::OneShot<AcquireResult>>;

  core::Awaitable<core::Result<core::SlotGrant>>
  acquireOnce(core::SlotRequest Request);
  core::Awaitable<core::Result<core::SlotGrant>>
  acquireInGroup(GroupPtr Entry, core::SlotRequest Request);
  core::Awaitable<AcquireResult> askDispatcher(GroupPtr Entry, std::string Vm,
                                               core::SlotRequest Request);
  core::Awaitable<AcquireResult> askLocalDispatcher(GroupPtr Entry,
                                                    core::SlotRequest Request);
  core::Awaitable<LinkPtr> findOrConnect(std::string Vm, std::string Address);
  [[nodiscard]] core::Result<core::SlotGrant>
  acquireFromFallback(const GroupEntry &Entry, const core::SlotRequest &Request,
                      std::string_view Dispatcher, std::string_view Reason);
  [[nodiscard]] std::error_code toError(const core::SlotRequest &Request,
                                        const AcquireResult &Result) const;
  void releaseFailedOrder(const core::SlotRequest &Request,
                          std::error_code Error);

  /// @brief Groups from which a request may get a server.
  struct EligibleGroups {
    std::vector<GroupPtr> Groups;
    /// For each of them.
    std::vector<decision::GroupCandidate> Candidates;
  };
  /// @brief Groups of a region with a server that is not excluded; those of
  /// other regions if there is none.
  [[nodiscard]] static EligibleGroups
  eligibleGroups(const std::vector<GroupPtr> &All, const std::string &Region,
                 const std::vector<std::string> &Excluded);
  [[nodiscard]] GroupPlan planGroup(const GroupPtr &Entry,
                                    const PlannedRequest &Request) const;
  void planDispatchers(const GroupEntry &Entry, GroupPlan &Out) const;
  [[nodiscard]] GroupPtr chooseGroup(const core::SlotRequest &Request);
  [[nodiscard]] View memberView();
  [[nodiscard]] Ranking rankDispatchers(const GroupEntry &Entry);
  [[nodiscard]] bool isSuspected(const std::string &Vm);
  void markSuspect(const std::string &Vm);
  void reportInFlight(const GroupPtr &Entry, const LinkPtr &Dispatcher);
  /// @return Whether a dispatcher that answers counts the call; call with Mutex
  /// held.
  [[nodiscard]] bool isTracked(const HeldGrant &Item) const;
  /// @brief Excludes servers that leave or want no requests now.
  void excludeAvoidedServers(core::SlotRequest &Request);
  /// @brief Excludes the servers that are cold and accept few requests.
  void excludeColdServers(core::SlotRequest &Request) const;
  /// @brief Whether a server has left or drains in the configuration of this
  /// VM.
  [[nodiscard]] bool isLeaving(const core::SlotGrant &Grant) const;
  [[nodiscard]] std::vector<decision::StatedLimit>
  statedLimits(const GroupEntry &Entry);
  [[nodiscard]] core::SlotGrant recordGrant(HeldGrant Item,
                                            core::SlotGrant Grant);
  /// @brief Remembers that the request of a grant counted against a quota.
  void markCounted(std::uint64_t GrantId);
  void onGrant(const LinkPtr &Source, const Grant &Item);
  void recordPrice(CallId Call, std::uint32_t SlotPricePercent);
  void complete(CallId Call, AcquireResult Result);
  core::Awaitable<void> watchLoop();
  /// @return Whether calls were waiting.
  [[nodiscard]] bool expireCalls(core::TimePoint ResumedAt);
  void wake();

  const boost::asio::any_io_executor Executor;
  const Environment Env;
  boost::asio::steady_timer Timer;
  std::atomic<bool> Stopped{false};
  std::atomic<bool> Sleeping{false};
  std::atomic<CallId> LastCall{0};

  mutable std::mutex Mutex;
  std::unordered_map<CallId, PendingCall> PendingCalls;
  /// Waiting calls by request id.
  std::unordered_multimap<std::uint64_t, CallId> CallsByRequest;
  /// Grants in use by SlotGrant::Id.
  std::unordered_map<std::uint64_t, HeldGrant> Grants;
  std::uint64_t LastGrantId = 0;
  /// When the suspicion of a dispatcher ends, by VM id.
  std::map<std::string, core::TimePoint, std::less<>> SuspectedUntil;
  /// Link number (0 for the dispatcher of this VM) and hash of the group whose
  /// calls in flight were reported to it.
  std::set<std::pair<std::uint64_t, std::uint64_t>> ReportedInFlight;
  /// VM id of the dispatcher that claimed the key of an order, by request id;
  /// the oldest entries are evicted.
  std::unordered_map<std::uint64_t, std::string> ClaimDispatchers;
  std::deque<std::uint64_t> ClaimEvictionOrder;
  View CurrentView;
  decision::GroupChoice Choice;
  /// Guarded by Mutex.
  const std::unique_ptr<internal::ServerStatements> Statements;
};

} // namespace jujubecart::peers

#endif
