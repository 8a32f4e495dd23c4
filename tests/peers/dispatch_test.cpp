#include "fleet.hpp"
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <criterion/criterion.h>
#include <jujubecart/decision/rendezvous.hpp>
#include <jujubecart/peers/peer_node.hpp>
#include <map>

using namespace jujubecart;
using namespace jujubecart::peers;
using namespace jujubecart::peers::test;
using namespace std::chrono_literals;

namespace {

/// @brief Claims shared by all VMs, like the claim log in the store.
class SharedClaims final : public core::OrderClaims {
public:
  [[nodiscard]] core::Awaitable<core::Result<void>>
  claim(std::string /*Service*/, core::OrderKey Key, core::RequestId Request,
        core::TimePoint /*Deadline*/) override {
    ++Asked;
    if (Delay > 0ms) {
      boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor,
                                      Delay);
      co_await Timer.async_wait(boost::asio::use_awaitable);
    }
    if (Down)
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
  std::atomic<bool> Down{false};
  std::atomic<int> Asked{0};

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

  // Closes the sockets like the end of a process.
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

  Loop Context;
  core::SystemClock Clock;
  Recorder Events;
  core::ConfigTable Config;
  decision::LocalBroker Local;
  PeerNode Node;
};

/// @brief Three VMs that all know each other and one service.
class Cluster {
public:
  explicit Cluster(std::size_t Servers = 4, std::size_t Size = 3) {
    for (std::size_t At = 0; At < Size; ++At) {
      PeerOptions Options = fleetOptions(At);
      // The machine that runs the tests is not idle.
      Options.SilenceLimit = 100ms;
      Options.DialPatience = 500ms;
      Options.SuspectAfter = 20s;
      Options.RemoveAfter = 60s;
      Vms.push_back(std::make_unique<Vm>(At, Claims, Options));
      const std::string Problem = Vms.back()->Node.start();
      cr_assert(Problem.empty(), "%s", Problem.c_str());
      cr_assert(Vms.back()->Config.apply(snapshot(1, Servers)));
    }
    std::vector<core::Member> Listed;
    Listed.reserve(Vms.size());
    for (const auto &Item : Vms)
      Listed.push_back(Item->Node.members().self());
    for (const auto &Item : Vms)
      Item->Node.members().update(Listed);
    cr_assert(eventually([&] {
      for (const auto &Item : Vms)
        if (Item->Node.members().members().size() != Size)
          return false;
      return true;
    }));
    const auto Rank = decision::rankMembers("tags/r1/0", "r1",
                                            Vms[0]->Node.members().members());
    for (const std::string &Id : Rank)
      for (const auto &Item : Vms)
        if (Item->Node.members().self().Id == Id)
          Order.push_back(Item.get());
    cr_assert_eq(Order.size(), Size);
  }

  [[nodiscard]] static core::SlotRequest
  request(std::chrono::milliseconds Patience = 3000ms) {
    core::SlotRequest Item;
    Item.Service = "tags";
    Item.Request = core::newRequestId();
    Item.Deadline = std::chrono::steady_clock::now() + Patience;
    return Item;
  }
  [[nodiscard]] static core::SlotRequest order(std::uint64_t Key) {
    core::SlotRequest Item = request();
    Item.Key = core::OrderKey{.High = 1, .Low = Key};
    return Item;
  }

  /// @brief Takes slots until the next call would wait.
  std::vector<core::SlotGrant> fill(Vm &By, std::size_t Slots) {
    std::vector<core::SlotGrant> Held;
    while (Held.size() < Slots) {
      auto Given = By.acquire(request());
      cr_assert(Given.has_value(), "%s", Given.error().message().c_str());
      Held.push_back(*Given);
    }
    return Held;
  }

  Vm &dispatcher() { return *Order[0]; }
  Vm &second() { return *Order[1]; }
  Vm &third() { return *Order[2]; }

  SharedClaims Claims;
  std::vector<std::unique_ptr<Vm>> Vms;
  std::vector<Vm *> Order;
};

/// Outstanding grants that one server with two slots may have.
const std::size_t MostGrants = 2 + decision::DispatcherOptions{}.Margin;

const core::CallReport Done{.Outcome = core::CallOutcome::Completed,
                            .Elapsed = 1ms};

std::string idOf(Vm &Item) { return Item.Node.members().self().Id; }

} // namespace

// Guards against a VM that decides by itself although the dispatcher lives,
// and against more grants than its server may have.
Test(Dispatch, grants_of_all_vms_come_from_one_dispatcher) {
  Cluster Fleet(1);
  std::vector<std::pair<Vm *, core::SlotGrant>> Held;
  for (Vm *Item : {&Fleet.dispatcher(), &Fleet.second(), &Fleet.third()}) {
    auto Given = Item->acquire(Fleet.request());
    cr_assert(Given.has_value(), "%s", Given.error().message().c_str());
    cr_assert_eq(Given->Dispatcher, idOf(Fleet.dispatcher()));
    Held.emplace_back(Item, *Given);
  }
  for (auto &Item : Fleet.fill(Fleet.third(), MostGrants - 3))
    Held.emplace_back(&Fleet.third(), std::move(Item));
  auto Waiting = Fleet.third().acquireLater(Fleet.request());
  cr_assert(Waiting.wait_for(200ms) == std::future_status::timeout);
  Held[1].first->Node.broker().release(Held[1].second, Done);
  cr_assert(Waiting.wait_for(2s) == std::future_status::ready);
  cr_assert(Waiting.get().has_value());
  cr_assert_eq(Fleet.third().Node.links().counters().Fallbacks, 0);
  cr_assert_geq(Fleet.dispatcher().Events.count("dispatch.granted"), 4);
  cr_assert_geq(Fleet.dispatcher().Events.count("dispatch.queued"), 1);
}

// Guards against callers that wait for a dead dispatcher.
Test(Dispatch, dead_dispatcher_pending_lookup_falls_back) {
  Cluster Fleet(1);
  const auto Held = Fleet.fill(Fleet.second(), MostGrants);
  auto Waiting = Fleet.second().acquireLater(Fleet.request());
  cr_assert(Waiting.wait_for(100ms) == std::future_status::timeout);
  Fleet.dispatcher().kill();
  cr_assert(Waiting.wait_for(500ms) == std::future_status::ready);
  const auto Given = Waiting.get();
  cr_assert(Given.has_value());
  cr_assert(Given->Dispatcher.empty());
  cr_assert_eq(Fleet.second().Events.count("dispatch.fallback"), 1);
}

// Guards against a new dispatcher that overloads servers because it does not
// know the calls that its predecessor granted.
Test(Dispatch, new_dispatcher_counts_calls_of_dead_one) {
  Cluster Fleet(1);
  const auto Held = Fleet.fill(Fleet.third(), MostGrants);
  Fleet.dispatcher().kill();
  cr_assert(eventually([&] {
    return !Fleet.third().Node.links().find(idOf(Fleet.dispatcher()));
  }));
  // The first call finds the dispatcher dead and falls back.
  const auto First = Fleet.third().acquire(Fleet.request());
  cr_assert(First.has_value());
  auto Waiting = Fleet.third().acquireLater(Fleet.request());
  cr_assert(Waiting.wait_for(300ms) == std::future_status::timeout);
  Fleet.third().Node.broker().release(*First, Done);
  for (const core::SlotGrant &Item : Held)
    Fleet.third().Node.broker().release(Item, Done);
  cr_assert(Waiting.wait_for(2s) == std::future_status::ready);
  const auto Given = Waiting.get();
  cr_assert(Given.has_value());
  cr_assert_eq(Given->Dispatcher, idOf(Fleet.second()));
}

// Guards against callers that wait for a dispatcher that does not read, and
// against a VM that stays away from it after it woke.
Test(Dispatch, paused_dispatcher_is_avoided_until_it_wakes) {
  Cluster Fleet(4);
  cr_assert(Fleet.second().acquire(Fleet.request()).has_value());
  Fleet.dispatcher().Context.pause(1500ms);
  std::this_thread::sleep_for(20ms);
  const auto Start = std::chrono::steady_clock::now();
  const auto Given = Fleet.second().acquire(Fleet.request());
  cr_assert(Given.has_value());
  cr_assert(Given->Dispatcher.empty());
  cr_assert(std::chrono::steady_clock::now() - Start < 700ms);
  // Further calls go to the next in rank, which is the asking VM itself.
  const auto Next = Fleet.second().acquire(Fleet.request());
  cr_assert(Next.has_value());
  cr_assert_eq(Next->Dispatcher, idOf(Fleet.second()));
  cr_assert(eventually([&] {
    const auto Later = Fleet.second().acquire(Fleet.request());
    return Later.has_value() && Later->Dispatcher == idOf(Fleet.dispatcher());
  }));
}

// Guards against an order that runs without its claim, or is refused although
// another dispatcher can claim it, when its dispatcher dies.
Test(Dispatch, order_moves_to_next_dispatcher_with_its_claim) {
  Cluster Fleet(1);
  const auto Held = Fleet.fill(Fleet.third(), MostGrants);
  const core::SlotRequest Order = Fleet.order(7);
  auto Waiting = Fleet.third().acquireLater(Order);
  cr_assert(
      eventually([&] { return Fleet.Claims.owner(*Order.Key).has_value(); }));
  Fleet.dispatcher().kill();
  // Its successor learns of the calls in flight, so the order waits for them.
  cr_assert(Waiting.wait_for(300ms) == std::future_status::timeout);
  for (const core::SlotGrant &Item : Held)
    Fleet.third().Node.broker().release(Item, Done);
  cr_assert(Waiting.wait_for(2s) == std::future_status::ready);
  const auto Given = Waiting.get();
  cr_assert(Given.has_value(), "%s", Given.error().message().c_str());
  cr_assert_eq(Given->Dispatcher, idOf(Fleet.second()));
  cr_assert(*Fleet.Claims.owner(*Order.Key) == Order.Request);
}

// Guards against an order key that two dispatchers grant to two requests.
Test(Dispatch, two_dispatchers_grant_order_key_once) {
  Cluster Fleet(4);
  Fleet.Claims.Delay = 5ms;
  // The second VM believes that it is the dispatcher.
  Fleet.dispatcher().Node.members().leave();
  cr_assert(Fleet.dispatcher().acquire(Fleet.order(1)).has_value());
  int Granted = 0;
  for (std::uint64_t Key = 100; Key < 120; ++Key) {
    auto Left = Fleet.dispatcher().acquireLater(Fleet.order(Key));
    auto Right = Fleet.third().acquireLater(Fleet.order(Key));
    for (auto *Outcome : {&Left, &Right}) {
      const auto Given = Outcome->get();
      Granted += Given.has_value() ? 1 : 0;
      if (!Given)
        cr_assert(Given.error() == core::Error::OrderRepeated, "%s",
                  Given.error().message().c_str());
      else
        (Outcome == &Left ? Fleet.dispatcher() : Fleet.third())
            .Node.broker()
            .release(*Given, Done);
    }
  }
  cr_assert_eq(Granted, 20);
}

// Guards against an order that is granted while its claim fails, and against
// a slot that such an order keeps.
Test(Dispatch, order_without_claim_is_refused_and_keeps_no_slot) {
  Cluster Fleet(1);
  Fleet.Claims.Down = true;
  for (std::uint64_t Key = 0; Key < 8; ++Key) {
    const auto Given = Fleet.second().acquire(Fleet.order(Key));
    cr_assert(Given.has_error());
    cr_assert(Given.error() == core::Error::Unavailable);
  }
  (void)Fleet.fill(Fleet.second(), MostGrants);
}

// Guards against slots that a dead VM keeps.
Test(Dispatch, grants_of_dead_vm_are_freed) {
  Cluster Fleet(1);
  (void)Fleet.fill(Fleet.third(), MostGrants);
  auto Waiting = Fleet.second().acquireLater(Fleet.request());
  cr_assert(Waiting.wait_for(100ms) == std::future_status::timeout);
  Fleet.third().kill();
  cr_assert(Waiting.wait_for(2s) == std::future_status::ready);
  cr_assert(Waiting.get().has_value());
}

// Guards against a withdrawn call that still takes a slot.
Test(Dispatch, cancelled_call_returns_and_frees_its_place) {
  Cluster Fleet(1);
  const auto Held = Fleet.fill(Fleet.second(), MostGrants);
  const core::SlotRequest Request = Fleet.request();
  auto Waiting = Fleet.second().acquireLater(Request);
  cr_assert(Waiting.wait_for(50ms) == std::future_status::timeout);
  Fleet.second().Node.broker().cancel(Request.Request);
  const auto Given = Waiting.get();
  cr_assert(Given.has_error());
  cr_assert(Given.error() == core::Error::Cancelled);
  for (const core::SlotGrant &Item : Held)
    Fleet.second().Node.broker().release(Item, Done);
  (void)Fleet.fill(Fleet.second(), MostGrants);
}

// Guards against a call that outlives its deadline in a queue.
Test(Dispatch, waiting_call_ends_at_its_deadline) {
  Cluster Fleet(1);
  const auto Held = Fleet.fill(Fleet.second(), MostGrants);
  const auto Given = Fleet.second().acquire(Fleet.request(200ms));
  cr_assert(Given.has_error());
}

// Guards against slots that are lost or granted twice under load from all VMs.
Test(Dispatch, concurrent_calls_never_exceed_slots_and_all_end) {
  Cluster Fleet(4);
  std::mutex Mutex;
  std::map<std::string, int> Running;
  int Highest = 0;
  std::atomic<int> Finished{0};
  std::vector<std::thread> Callers;
  for (const auto &Item : Fleet.Vms)
    for (int At = 0; At < 6; ++At)
      Callers.emplace_back([&, By = Item.get()] {
        for (int Call = 0; Call < 100; ++Call) {
          const auto Given = By->acquire(Fleet.request(20000ms));
          if (!Given)
            continue;
          {
            const std::lock_guard Lock(Mutex);
            Highest = std::max(Highest, ++Running[Given->Server.Id]);
          }
          std::this_thread::sleep_for(1ms);
          {
            const std::lock_guard Lock(Mutex);
            --Running[Given->Server.Id];
          }
          By->Node.broker().release(*Given, Done);
          ++Finished;
        }
      });
  for (std::thread &Caller : Callers)
    Caller.join();
  std::uint64_t Fallbacks = 0;
  for (const auto &Item : Fleet.Vms)
    Fallbacks += Item->Node.links().counters().Fallbacks;
  cr_assert_eq(Finished, 1800);
  cr_assert_eq(Fallbacks, 0);
  cr_assert_leq(Highest, static_cast<int>(MostGrants));
}

// Guards against a request to a server that this VM knows to be leaving, by a
// dispatcher that is cut off from the store.
Test(Dispatch, grant_of_a_server_known_to_be_draining_is_not_used) {
  Cluster Fleet(1);
  Vm &Asker = Fleet.second();
  core::ConfigSnapshot::ServiceMap Entries;
  core::ServiceConfig Service = *Asker.Config.current()->find("tags");
  Service.Servers.front().State = core::ServerState::Draining;
  Entries.emplace("tags", std::make_shared<core::ServiceEntry>(
                              core::ServiceEntry{2, Service}));
  // The dispatcher stays at the older configuration: nothing is passed on to
  // it, because its link to the asker is not used for that here.
  cr_assert(Asker.Config.apply(
      std::make_shared<core::ConfigSnapshot>(2, std::move(Entries))));
  const auto Given = Asker.acquire(Cluster::request(500ms));
  cr_assert_not(Given.has_value());
}
