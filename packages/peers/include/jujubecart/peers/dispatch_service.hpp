#ifndef JUJUBECART_PEERS_DISPATCH_SERVICE_HPP
#define JUJUBECART_PEERS_DISPATCH_SERVICE_HPP

#include <jujubecart/core/member.hpp>
#include <jujubecart/core/order_claims.hpp>
#include <jujubecart/decision/decision.hpp>
#include <jujubecart/decision/server_status.hpp>
#include <jujubecart/peers/group_directory.hpp>
#include <jujubecart/peers/health_prober.hpp>
#include <jujubecart/peers/link_table.hpp>

#include <functional>
#include <map>
#include <set>

namespace jujubecart::peers {

/// @brief Answer of a dispatcher to one call.
struct DispatchAnswer {
  /// Set if the call was granted.
  std::optional<core::BackendServer> Server;
  core::Error Reason = core::Error::Unavailable;
  /// Advice to a call that is refused; 0 if there is none.
  std::chrono::milliseconds RetryAfter{0};
};

/// @brief One call that asks this VM's dispatcher.
struct DispatchCall {
  decision::CallToken Token = 0;
  core::RequestId Request;
  core::TimePoint Deadline;
  std::uint8_t Priority = 5;
  std::uint64_t CallerHash = 0;
  std::optional<core::OrderKey> Key;
  std::vector<std::string> Excluded;
  core::TimePoint Objective = core::TimePoint::max();
  std::uint64_t WorkClass = 0;
};

/// @brief Dispatchers of this VM and their service to the other VMs.
class DispatchService : public LinkListener {
public:
  using Reply = std::function<void(const DispatchAnswer &)>;

  /// @brief What the service works with; everything must outlive it.
  struct Environment {
    LinkTable &Links;
    const core::MemberSource &Members;
    GroupDirectory &Groups;
    core::OrderClaims &Claims;
    const core::Clock &Time;
    core::EventSink &Events;
    /// May be nullptr: no probes.
    HealthProber *Prober = nullptr;
  };

  DispatchService(const boost::asio::any_io_executor &Executor,
                  const Environment &Surroundings);
  DispatchService(const DispatchService &) = delete;
  DispatchService &operator=(const DispatchService &) = delete;
  ~DispatchService() override;

  /// @brief Starts ticks, heartbeats and probes.
  void start();

  /// @brief Ends them; waiting calls get no answer.
  void stop();

  /// @brief Unique token for a local call.
  [[nodiscard]] decision::CallToken newToken() noexcept { return ++Tokens; }

  /// @brief Adds a call of this VM.
  /// @param Then Called once, possibly before submit returns.
  void submit(const GroupPtr &Group, DispatchCall Call, Reply Then);

  /// @brief Withdraws a waiting call of this VM; it gets no answer then.
  void withdraw(std::uint64_t Group, decision::CallToken Token);

  /// @brief Returns a grant of a call of this VM.
  void release(std::uint64_t Group, decision::CallToken Token,
               const core::CallReport &Report);

  /// @brief Takes over calls of this VM that others granted.
  void adopt(const GroupPtr &Group, const std::string &ServerId,
             std::uint32_t Calls);

  /// @brief Returns one call that was taken over.
  void releaseAdopted(std::uint64_t Group, const std::string &ServerId,
                      const core::CallReport &Report);

  /// @brief Frees an order key, after a claim that still runs.
  void releaseClaim(const std::string &Service, core::OrderKey Key,
                    core::RequestId Request);

  /// @brief Server states by group, of groups that this VM dispatches.
  [[nodiscard]] std::map<std::string, std::vector<decision::ServerStatus>>
  status() const;

  void onFrame(const LinkPtr &Source, const Frame &Item) override;
  void onClose(const LinkPtr &Source) override;

private:
  struct Group;
  struct Client;
  struct Call;
  using GroupState = std::shared_ptr<Group>;
  using ClientPtr = std::shared_ptr<Client>;

  void onAcquire(const LinkPtr &Source, const Acquire &Item);
  void onRelease(const LinkPtr &Source, const Release &Item);
  void onCancel(const LinkPtr &Source, const Cancel &Item);
  void onInFlight(const LinkPtr &Source, const InFlight &Item);

  [[nodiscard]] GroupState group(const GroupPtr &Entry);
  [[nodiscard]] GroupState findGroup(std::uint64_t Hash) const;
  [[nodiscard]] ClientPtr client(const LinkPtr &Source);
  void enqueue(const GroupState &Target, Call Item,
               std::vector<std::string> Excluded, std::uint64_t CallerHash);
  void end(const GroupState &Target, decision::CallToken Token,
           const core::CallReport &Report);
  core::Awaitable<void> claim(GroupState Target, decision::CallToken Token,
                              core::OrderKey Key, core::RequestId Request,
                              core::TimePoint Deadline);
  void onClaimed(const GroupState &Target, decision::CallToken Token,
                 const core::Result<void> &Outcome);
  void apply(Group &Target, const decision::Decisions &Out);
  void grant(Group &Target, Call &Item, const decision::Granted &Given);
  void refuse(Group &Target, decision::CallToken Token, core::Error Reason,
              std::chrono::milliseconds RetryAfter);
  void configure(const GroupDirectory::Index &Index);

  core::Awaitable<void> loop();
  [[nodiscard]] core::TimePoint round(core::TimePoint Now);
  void updateRanks();
  [[nodiscard]] bool heartbeat(core::TimePoint Now);
  core::Awaitable<void> probe(GroupState Target, core::BackendServer Server);
  void startProbes(const GroupState &Target);
  void wake();

  const boost::asio::any_io_executor Executor;
  const Environment Env;
  boost::asio::steady_timer Timer;
  std::atomic<bool> Stopped{false};
  std::atomic<bool> Sleeping{false};
  std::atomic<decision::CallToken> Tokens{0};
  std::uint64_t RankedVersion = 0;
  core::Revision RankedRevision = 0;

  // Held only for look-ups, never while a group's mutex is taken.
  mutable std::mutex Mutex;
  std::unordered_map<std::uint64_t, GroupState> Groups;
  std::unordered_map<std::uint64_t, ClientPtr> Clients;

  struct ClaimFlight {
    int Running = 0;
    bool ReleaseAfter = false;
  };
  std::mutex ClaimMutex;
  std::map<std::pair<core::OrderKey, core::RequestId>, ClaimFlight> Flights;
};

} // namespace jujubecart::peers

#endif
