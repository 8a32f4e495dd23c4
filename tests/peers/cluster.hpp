#ifndef JUJUBECART_TESTS_PEERS_CLUSTER_HPP
#define JUJUBECART_TESTS_PEERS_CLUSTER_HPP

#include "fleet.hpp"

#include <jujubecart/decision/rendezvous.hpp>
#include <jujubecart/peers/peer_node.hpp>

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <criterion/criterion.h>
#include <future>
#include <map>
#include <mutex>
#include <thread>

namespace jujubecart::peers::test {

using namespace std::chrono_literals;

/// @brief In-memory order claims shared by all VMs, like the claim log in the
/// store, with an optional delay and outage.
class SharedClaims final : public core::OrderClaims {
public:
  [[nodiscard]] core::Awaitable<core::Result<void>>
  claim(std::string /*Service*/, core::OrderKey Key, core::RequestId Request,
        core::TimePoint /*Deadline*/) override {
    ++ClaimCount;
    if (Delay > 0ms) {
      boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor,
                                      Delay);
      co_await Timer.async_wait(boost::asio::use_awaitable);
    }
    if (Unavailable)
      co_return core::make_error_code(core::Error::Unavailable);
    const std::lock_guard Lock(Mutex);
    const auto [Entry, New] = Owners.emplace(Key, Request);
    if (!New && Entry->second != Request)
      co_return core::make_error_code(core::Error::OrderRepeated);
    co_return core::Result<void>();
  }
  void release(const std::string & /*Service*/, core::OrderKey Key,
               core::RequestId Request) noexcept override {
    const std::lock_guard Lock(Mutex);
    const auto Found = Owners.find(Key);
    if (Found != Owners.end() && Found->second == Request)
      Owners.erase(Found);
  }
  [[nodiscard]] std::optional<core::RequestId> owner(core::OrderKey Key) {
    const std::lock_guard Lock(Mutex);
    const auto Found = Owners.find(Key);
    return Found == Owners.end() ? std::nullopt : std::optional(Found->second);
  }

  std::chrono::milliseconds Delay{0};
  std::atomic<bool> Unavailable{false};
  std::atomic<int> ClaimCount{0};

private:
  std::mutex Mutex;
  std::map<core::OrderKey, core::RequestId> Owners;
};

/// @brief One VM with its own threads, so that it can be paused or killed.
struct Vm {
  Vm(std::size_t At, SharedClaims &Claims, const PeerOptions &Options)
      : Context(2), Local(Config, Clock, "power-of-two-choices", At, &Claims),
        Node(Context.executor(), Options,
             PeerNode::Environment{.Time = Clock,
                                   .Events = Events,
                                   .Config = Config,
                                   .Claims = Claims,
                                   .Fallback = Local}) {}
  ~Vm() { kill(); }

  // Closes the sockets, like a process that exits.
  void kill() {
    Node.stop();
    std::this_thread::sleep_for(20ms);
    Context.stop();
  }

  core::Result<core::SlotGrant> acquire(core::SlotRequest Request) {
    return Context.run(Node.broker().acquire(std::move(Request)));
  }
  std::future<core::Result<core::SlotGrant>>
  acquireLater(core::SlotRequest Request) {
    return boost::asio::co_spawn(Context.executor(),
                                 Node.broker().acquire(std::move(Request)),
                                 boost::asio::use_future);
  }

  IoThreads Context;
  core::SystemClock Clock;
  EventRecorder Events;
  core::ConfigTable Config;
  decision::LocalBroker Local;
  PeerNode Node;
};

/// @brief VMs that know each other as members and have one service configured,
/// "tags", with two slots per server.
class Cluster {
public:
  explicit Cluster(
      std::size_t Servers = 4, std::size_t Size = 3,
      core::PolicyProfile Profile = core::ServiceConfig{}.Profile) {
    for (std::size_t At = 0; At < Size; ++At) {
      PeerOptions Options = fleetOptions(At);
      // Longer than the defaults, because the test machine may be busy.
      Options.DispatcherTimeout = 100ms;
      Options.LinkWaitTimeout = 500ms;
      Options.SuspectAfter = 20s;
      Options.RemoveAfter = 60s;
      Vms.push_back(std::make_unique<Vm>(At, Claims, Options));
      const std::string Problem = Vms.back()->Node.start();
      cr_assert(Problem.empty(), "%s", Problem.c_str());
      cr_assert(Vms.back()->Config.apply(
          snapshot(1, Servers, core::ServiceKind::Lookup, Profile)));
    }
    std::vector<core::Member> AllMembers;
    AllMembers.reserve(Vms.size());
    for (const auto &Item : Vms)
      AllMembers.push_back(Item->Node.members().self());
    for (const auto &Item : Vms)
      Item->Node.members().update(AllMembers);
    cr_assert(eventually([&] {
      for (const auto &Item : Vms)
        if (Item->Node.members().members().size() != Size)
          return false;
      return true;
    }));
    const auto RankedIds = decision::rankMembers(
        "tags/r1/0", "r1", Vms[0]->Node.members().members());
    for (const std::string &Id : RankedIds)
      for (const auto &Item : Vms)
        if (Item->Node.members().self().Id == Id)
          Ranked.push_back(Item.get());
    cr_assert_eq(Ranked.size(), Size);
  }

  [[nodiscard]] static core::SlotRequest
  request(std::chrono::milliseconds Timeout = 3000ms) {
    core::SlotRequest Item;
    Item.Service = "tags";
    Item.Request = core::newRequestId();
    Item.Deadline = std::chrono::steady_clock::now() + Timeout;
    return Item;
  }
  [[nodiscard]] static core::SlotRequest orderRequest(std::uint64_t Key) {
    core::SlotRequest Item = request();
    Item.Key = core::OrderKey{.High = 1, .Low = Key};
    return Item;
  }

  /// @brief Acquires a number of slots; fails the test if one is refused.
  std::vector<core::SlotGrant> acquireSlots(Vm &Requester, std::size_t Slots) {
    std::vector<core::SlotGrant> Held;
    while (Held.size() < Slots) {
      auto Granted = Requester.acquire(request());
      cr_assert(Granted.has_value(), "%s", Granted.error().message().c_str());
      Held.push_back(*Granted);
    }
    return Held;
  }

  Vm &dispatcher() { return *Ranked[0]; }
  Vm &second() { return *Ranked[1]; }
  Vm &third() { return *Ranked[2]; }

  SharedClaims Claims;
  std::vector<std::unique_ptr<Vm>> Vms;
  /// The VMs in dispatcher rank of the only group.
  std::vector<Vm *> Ranked;
};

/// Limit on outstanding grants of one server with two slots.
inline const std::size_t MaxGrants = 2 + decision::DispatcherOptions{}.Margin;

inline const core::CallReport CompletedReport{
    .Outcome = core::CallOutcome::Completed, .Elapsed = 1ms};

inline std::string idOf(Vm &Item) { return Item.Node.members().self().Id; }

} // namespace jujubecart::peers::test

#endif
