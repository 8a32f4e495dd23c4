#ifndef JUJUBECART_PEERS_REMOTE_BROKER_HPP
#define JUJUBECART_PEERS_REMOTE_BROKER_HPP

#include <jujubecart/core/slot_broker.hpp>
#include <jujubecart/decision/local_broker.hpp>
#include <jujubecart/peers/dispatch_service.hpp>

#include <deque>
#include <random>

namespace jujubecart::peers {

/// @brief Asks the dispatcher of a group for slots and falls back to local
/// decisions if it is unreachable.
class RemoteBroker : public core::SlotBroker, public LinkListener {
public:
  /// @brief What the broker works with; everything must outlive it.
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
               const Environment &Surroundings);
  RemoteBroker(const RemoteBroker &) = delete;
  RemoteBroker &operator=(const RemoteBroker &) = delete;
  ~RemoteBroker() override;

  /// @brief Starts watching for silent dispatchers.
  void start();

  /// @brief Ends it; waiting calls return Cancelled.
  void stop();

  [[nodiscard]] core::Awaitable<core::Result<core::SlotGrant>>
  acquire(core::SlotRequest Request) override;
  void cancel(core::RequestId Request) noexcept override;
  void release(const core::SlotGrant &Grant,
               const core::CallReport &Report) noexcept override;
  void releaseClaim(const std::string &Service, core::OrderKey Key,
                    core::RequestId Request) noexcept override;

  void onFrame(const LinkPtr &Source, const Frame &Item) override;
  void onClose(const LinkPtr &Source) override;

private:
  struct Answer;
  struct Pending;
  struct Held;
  struct MemberView;
  using View = std::shared_ptr<const MemberView>;
  using Ranking = std::shared_ptr<const std::vector<std::string>>;
  using Wait = std::shared_ptr<internal::OneShot<Answer>>;

  core::Awaitable<core::Result<core::SlotGrant>>
  acquireFrom(GroupPtr Entry, core::SlotRequest Request);
  core::Awaitable<Answer> ask(GroupPtr Entry, std::string Vm,
                              core::SlotRequest Request);
  core::Awaitable<Answer> askLocal(GroupPtr Entry, core::SlotRequest Request);
  core::Awaitable<LinkPtr> reach(std::string Vm, std::string Address);
  [[nodiscard]] core::Result<core::SlotGrant>
  fallBack(const GroupEntry &Entry, const core::SlotRequest &Request,
           std::string_view Dispatcher, std::string_view Why);
  [[nodiscard]] std::error_code refused(const core::SlotRequest &Request,
                                        const Answer &Why) const;
  void endOrder(const core::SlotRequest &Request, std::error_code Why);

  [[nodiscard]] GroupPtr choose(const core::SlotRequest &Request);
  [[nodiscard]] View view();
  [[nodiscard]] Ranking rank(const GroupEntry &Entry);
  [[nodiscard]] bool suspected(const std::string &Vm);
  void suspect(const std::string &Vm);
  void introduce(const GroupPtr &Entry, const LinkPtr &Dispatcher);
  [[nodiscard]] core::SlotGrant hold(Held Item, core::SlotGrant Grant);
  void onGrant(const LinkPtr &Source, const Grant &Item);
  void finish(CallId Call, Answer Outcome);
  core::Awaitable<void> watch();
  [[nodiscard]] bool checkSilence(core::TimePoint Resumed);
  void wake();

  const boost::asio::any_io_executor Executor;
  const Environment Env;
  boost::asio::steady_timer Timer;
  std::atomic<bool> Stopped{false};
  std::atomic<bool> Sleeping{false};
  std::atomic<CallId> Calls{0};

  std::mutex Mutex;
  std::unordered_map<CallId, Pending> Waiting;
  std::unordered_multimap<std::uint64_t, CallId> ByRequest;
  std::unordered_map<std::uint64_t, Held> Grants;
  std::uint64_t NextGrant = 0;
  std::map<std::string, core::TimePoint, std::less<>> Suspects;
  /// Groups whose calls in flight were reported on a link; 0 is this VM.
  std::set<std::pair<std::uint64_t, std::uint64_t>> Introduced;
  /// Dispatcher that recorded the claim of an order; the oldest are dropped.
  std::unordered_map<std::uint64_t, std::string> Claimed;
  std::deque<std::uint64_t> ClaimedOrder;
  View CurrentView;
  std::minstd_rand Random;
};

} // namespace jujubecart::peers

#endif
