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
  explicit Cluster(std::size_t Servers = 4, std::size_t Size = 3) {
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
      cr_assert(Vms.back()->Config.apply(snapshot(1, Servers)));
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
const std::size_t MaxGrants = 2 + decision::DispatcherOptions{}.Margin;

const core::CallReport CompletedReport{.Outcome = core::CallOutcome::Completed,
                                       .Elapsed = 1ms};

std::string idOf(Vm &Item) { return Item.Node.members().self().Id; }

} // namespace

// Guards against a VM that decides locally although the dispatcher is alive:
// two deciders together would grant a server more calls than its limit.
Test(Dispatch, grants_of_all_vms_come_from_one_dispatcher) {
  Cluster Fleet(1);
  std::vector<std::pair<Vm *, core::SlotGrant>> Held;
  for (Vm *Item : {&Fleet.dispatcher(), &Fleet.second(), &Fleet.third()}) {
    auto Granted = Item->acquire(Fleet.request());
    cr_assert(Granted.has_value(), "%s", Granted.error().message().c_str());
    cr_assert_eq(Granted->Dispatcher, idOf(Fleet.dispatcher()));
    Held.emplace_back(Item, *Granted);
  }
  for (auto &Item : Fleet.acquireSlots(Fleet.third(), MaxGrants - 3))
    Held.emplace_back(&Fleet.third(), std::move(Item));
  auto Waiting = Fleet.third().acquireLater(Fleet.request());
  cr_assert(Waiting.wait_for(200ms) == std::future_status::timeout);
  Held[1].first->Node.broker().release(Held[1].second, CompletedReport);
  cr_assert(Waiting.wait_for(2s) == std::future_status::ready);
  cr_assert(Waiting.get().has_value());
  cr_assert_eq(Fleet.third().Node.links().counters().Fallbacks, 0);
  cr_assert_geq(Fleet.dispatcher().Events.count("dispatch.granted"), 4);
  cr_assert_geq(Fleet.dispatcher().Events.count("dispatch.queued"), 1);
}

// Guards against a lookup that hangs until its deadline because its dispatcher
// died while the lookup was queued there.
Test(Dispatch, dead_dispatcher_pending_lookup_falls_back) {
  Cluster Fleet(1);
  const auto Held = Fleet.acquireSlots(Fleet.second(), MaxGrants);
  auto Waiting = Fleet.second().acquireLater(Fleet.request());
  cr_assert(Waiting.wait_for(100ms) == std::future_status::timeout);
  Fleet.dispatcher().kill();
  cr_assert(Waiting.wait_for(500ms) == std::future_status::ready);
  const auto Granted = Waiting.get();
  cr_assert(Granted.has_value());
  cr_assert(Granted->Dispatcher.empty());
  cr_assert_eq(Fleet.second().Events.count("dispatch.fallback"), 1);
}

// Guards against a new dispatcher that overloads servers because it does not
// count the calls in flight that its predecessor granted.
Test(Dispatch, new_dispatcher_counts_calls_of_dead_one) {
  Cluster Fleet(1);
  const auto Held = Fleet.acquireSlots(Fleet.third(), MaxGrants);
  Fleet.dispatcher().kill();
  cr_assert(eventually([&] {
    return !Fleet.third().Node.links().find(idOf(Fleet.dispatcher()));
  }));
  // The first call finds the dispatcher dead and falls back.
  const auto First = Fleet.third().acquire(Fleet.request());
  cr_assert(First.has_value());
  auto Waiting = Fleet.third().acquireLater(Fleet.request());
  cr_assert(Waiting.wait_for(300ms) == std::future_status::timeout);
  Fleet.third().Node.broker().release(*First, CompletedReport);
  for (const core::SlotGrant &Item : Held)
    Fleet.third().Node.broker().release(Item, CompletedReport);
  cr_assert(Waiting.wait_for(2s) == std::future_status::ready);
  const auto Granted = Waiting.get();
  cr_assert(Granted.has_value());
  cr_assert_eq(Granted->Dispatcher, idOf(Fleet.second()));
}

// Guards against calls that hang because their dispatcher is paused with its
// link open, and against a VM that never asks it again after it resumed.
Test(Dispatch, paused_dispatcher_is_avoided_until_it_resumes) {
  Cluster Fleet(4);
  cr_assert(Fleet.second().acquire(Fleet.request()).has_value());
  Fleet.dispatcher().Context.pause(1500ms);
  std::this_thread::sleep_for(20ms);
  const auto Start = std::chrono::steady_clock::now();
  const auto Granted = Fleet.second().acquire(Fleet.request());
  cr_assert(Granted.has_value());
  cr_assert(Granted->Dispatcher.empty());
  cr_assert(std::chrono::steady_clock::now() - Start < 700ms);
  // Further calls go to the next VM in rank, which is the requester itself.
  const auto Next = Fleet.second().acquire(Fleet.request());
  cr_assert(Next.has_value());
  cr_assert_eq(Next->Dispatcher, idOf(Fleet.second()));
  cr_assert(eventually([&] {
    const auto Later = Fleet.second().acquire(Fleet.request());
    return Later.has_value() && Later->Dispatcher == idOf(Fleet.dispatcher());
  }));
}

// Guards against an order that, when its dispatcher dies, is granted without
// its claim or refused although the next dispatcher can claim its key.
Test(Dispatch, order_moves_to_next_dispatcher_with_its_claim) {
  Cluster Fleet(1);
  const auto Held = Fleet.acquireSlots(Fleet.third(), MaxGrants);
  const core::SlotRequest Request = Fleet.orderRequest(7);
  auto Waiting = Fleet.third().acquireLater(Request);
  cr_assert(
      eventually([&] { return Fleet.Claims.owner(*Request.Key).has_value(); }));
  Fleet.dispatcher().kill();
  // The next dispatcher counts the calls in flight, so the order waits.
  cr_assert(Waiting.wait_for(300ms) == std::future_status::timeout);
  for (const core::SlotGrant &Item : Held)
    Fleet.third().Node.broker().release(Item, CompletedReport);
  cr_assert(Waiting.wait_for(2s) == std::future_status::ready);
  const auto Granted = Waiting.get();
  cr_assert(Granted.has_value(), "%s", Granted.error().message().c_str());
  cr_assert_eq(Granted->Dispatcher, idOf(Fleet.second()));
  cr_assert(*Fleet.Claims.owner(*Request.Key) == Request.Request);
}

// Guards against a next dispatcher that does not count the calls in flight of
// one that is paused with its link open, and so overloads their servers.
Test(Dispatch, calls_of_paused_dispatcher_are_counted_by_the_next_one) {
  Cluster Fleet(1);
  const auto Held = Fleet.acquireSlots(Fleet.third(), MaxGrants);
  const core::SlotRequest Request = Fleet.orderRequest(7);
  Fleet.dispatcher().Context.pause(2000ms);
  std::this_thread::sleep_for(20ms);
  auto Waiting = Fleet.third().acquireLater(Request);
  cr_assert(Waiting.wait_for(300ms) == std::future_status::timeout);
  Fleet.third().Node.broker().release(Held.front(), CompletedReport);
  cr_assert(Waiting.wait_for(1s) == std::future_status::ready);
  const auto Granted = Waiting.get();
  cr_assert(Granted.has_value(), "%s", Granted.error().message().c_str());
  cr_assert_eq(Granted->Dispatcher, idOf(Fleet.second()));
}

// Guards against a dispatcher that takes over, and a VM that decides itself,
// without knowing the rate limit that a server has stated.
Test(Dispatch, stated_rate_limit_outlives_the_dispatcher) {
  Cluster Fleet(2);
  Vm &Requester = Fleet.third();
  std::vector<core::SlotGrant> Held = Fleet.acquireSlots(Requester, 2);
  const std::string Limited = Held.front().Server.Id;
  core::CallReport Report = CompletedReport;
  Report.Limit = core::RateLimit{.MilliPerS = 300};
  Requester.Node.broker().release(Held.front(), Report);
  Fleet.dispatcher().kill();
  for (std::uint64_t Key = 0; Key < 4; ++Key) {
    const auto Granted = Requester.acquire(Fleet.orderRequest(Key));
    cr_assert(Granted.has_value(), "%s", Granted.error().message().c_str());
    cr_assert_eq(Granted->Dispatcher, idOf(Fleet.second()));
    cr_assert_neq(Granted->Server.Id, Limited);
    Requester.Node.broker().release(*Granted, CompletedReport);
  }
  Fleet.second().kill();
  const auto Granted = Requester.acquire(Cluster::request());
  cr_assert(Granted.has_value(), "%s", Granted.error().message().c_str());
  cr_assert_neq(Granted->Server.Id, Limited);
}

// Guards against requests to a server that has told this VM that it leaves,
// from a dispatcher that was not told and from none.
Test(Dispatch, server_that_leaves_gets_nothing_from_any_dispatcher) {
  Cluster Fleet(2);
  Vm &Requester = Fleet.third();
  const auto Held = Fleet.acquireSlots(Requester, 2);
  const std::string Leaving = Held.front().Server.Id;
  core::CallReport Report = CompletedReport;
  Report.Draining = true;
  Requester.Node.broker().release(Held.front(), Report);
  const auto ExpectOther = [&](core::SlotRequest Request) {
    const auto Granted = Requester.acquire(std::move(Request));
    cr_assert(Granted.has_value(), "%s", Granted.error().message().c_str());
    cr_assert_neq(Granted->Server.Id, Leaving);
  };
  ExpectOther(Cluster::request());
  Fleet.dispatcher().kill();
  ExpectOther(Cluster::orderRequest(1));
  Fleet.second().kill();
  ExpectOther(Cluster::request());
  // A new process under the same id is free again.
  core::ServiceConfig Service = *Requester.Config.current()->find("tags");
  for (core::BackendServer &Server : Service.Servers)
    if (Server.Id == Leaving)
      Server.Incarnation = 2;
    else
      Server.State = core::ServerState::Draining;
  cr_assert(Requester.Config.apply(std::make_shared<core::ConfigSnapshot>(
      2, core::ConfigSnapshot::ServiceMap{
             {"tags", std::make_shared<core::ServiceEntry>(
                          core::ServiceEntry{2, Service})}})));
  cr_assert(eventually(
      [&] { return Requester.acquire(Cluster::request()).has_value(); }));
}

// Guards against requests to a server that wants none of this VM for a time,
// against other VMs that avoid it too, and against one that is avoided for good
// or that calls wait for.
Test(Dispatch, quiet_server_gets_nothing_from_this_vm_until_the_time_ends) {
  Cluster Fleet(1);
  Vm &Requester = Fleet.third();
  const auto Held = Fleet.acquireSlots(Requester, 1);
  core::CallReport Report{.Outcome = core::CallOutcome::Rejected};
  const core::TimePoint Until = std::chrono::steady_clock::now() + 1s;
  Report.QuietUntil = Until;
  Requester.Node.broker().release(Held.front(), Report);
  const auto Refused = Requester.acquire(Cluster::request());
  cr_assert(std::chrono::steady_clock::now() < Until - 500ms);
  cr_assert(Refused.error() == core::Error::Unavailable);
  const auto Other = Fleet.second().acquire(Cluster::request());
  cr_assert(Other.has_value());
  std::this_thread::sleep_until(Until);
  cr_assert(Requester.acquire(Cluster::request()).has_value());
}

// Guards against requests that waited for a slot when their server asked this
// VM for quiet and are sent to it nevertheless, and against slots that are lost
// by that: with the dispatcher on this VM and on another one.
Test(Dispatch, quiet_server_gets_no_request_that_already_waited) {
  for (const bool OwnDispatcher : {true, false}) {
    Cluster Fleet(2);
    Vm &Requester = OwnDispatcher ? Fleet.dispatcher() : Fleet.third();
    auto Held = Fleet.acquireSlots(Requester, 2 * MaxGrants);
    std::vector<std::future<core::Result<core::SlotGrant>>> Waiting;
    for (int Count = 0; Count < 4; ++Count)
      Waiting.push_back(Requester.acquireLater(Cluster::request()));
    std::this_thread::sleep_for(50ms);
    const std::string Quiet = Held.front().Server.Id;
    core::CallReport Report{.Outcome = core::CallOutcome::Rejected};
    Report.QuietUntil = std::chrono::steady_clock::now() + 5s;
    Requester.Node.broker().release(Held.front(), Report);
    for (std::size_t At = 1; At < Held.size(); ++At)
      if (Held[At].Server.Id == Quiet)
        Requester.Node.broker().release(Held[At], CompletedReport);
    for (const auto &Each : Waiting)
      cr_assert(Each.wait_for(100ms) == std::future_status::timeout);
    for (const core::SlotGrant &Item : Held)
      if (Item.Server.Id != Quiet)
        Requester.Node.broker().release(Item, CompletedReport);
    for (auto &Each : Waiting) {
      cr_assert(Each.wait_for(2s) == std::future_status::ready);
      const auto Granted = Each.get();
      cr_assert(Granted.has_value(), "%s", Granted.error().message().c_str());
      cr_assert_neq(Granted->Server.Id, Quiet);
    }
    // Another VM can use all slots of the quiet server.
    std::size_t OfQuiet = 0;
    for (const core::SlotGrant &Item :
         Fleet.acquireSlots(Fleet.second(), 2 * MaxGrants - Waiting.size()))
      OfQuiet += Item.Server.Id == Quiet ? 1U : 0U;
    cr_assert_eq(OfQuiet, MaxGrants);
  }
}

// Guards against requests to a quiet server from a VM that decides by itself
// because its dispatcher died while they waited.
Test(Dispatch, quiet_server_gets_nothing_from_the_fallback_of_waiting_calls) {
  Cluster Fleet(2);
  Vm &Requester = Fleet.third();
  auto Held = Fleet.acquireSlots(Requester, 2 * MaxGrants);
  std::vector<std::future<core::Result<core::SlotGrant>>> Waiting;
  for (int Count = 0; Count < 8; ++Count)
    Waiting.push_back(Requester.acquireLater(Cluster::request()));
  std::this_thread::sleep_for(50ms);
  const std::string Quiet = Held.front().Server.Id;
  core::CallReport Report{.Outcome = core::CallOutcome::Rejected};
  Report.QuietUntil = std::chrono::steady_clock::now() + 5s;
  Requester.Node.broker().release(Held.front(), Report);
  Fleet.dispatcher().kill();
  for (auto &Each : Waiting) {
    cr_assert(Each.wait_for(2s) == std::future_status::ready);
    const auto Granted = Each.get();
    cr_assert(Granted.has_value(), "%s", Granted.error().message().c_str());
    cr_assert_neq(Granted->Server.Id, Quiet);
  }
}

// Guards against a grant that is still used, after a wait for a connection,
// although its server has said since that it leaves.
Test(Dispatch, grant_ends_when_its_server_says_that_it_leaves) {
  Cluster Fleet(1);
  Vm &Requester = Fleet.third();
  const auto Held = Fleet.acquireSlots(Requester, 2);
  cr_assert(Requester.Node.broker().permits(Held.back()));
  core::CallReport Report = CompletedReport;
  Report.Draining = true;
  Requester.Node.broker().release(Held.front(), Report);
  cr_assert_not(Requester.Node.broker().permits(Held.back()));
}

// Guards against a grant that is still used, after a wait for a connection,
// although its server drains in the configuration of this VM since then.
Test(Dispatch, grant_ends_when_its_server_drains) {
  Cluster Fleet(1);
  Vm &Requester = Fleet.third();
  const auto Held = Fleet.acquireSlots(Requester, 1);
  core::ServiceConfig Service = *Requester.Config.current()->find("tags");
  Service.Servers.front().State = core::ServerState::Draining;
  cr_assert(Requester.Config.apply(std::make_shared<core::ConfigSnapshot>(
      2, core::ConfigSnapshot::ServiceMap{
             {"tags", std::make_shared<core::ServiceEntry>(
                          core::ServiceEntry{2, Service})}})));
  cr_assert_not(Requester.Node.broker().permits(Held.front()));
}

// Guards against an order that runs twice: two VMs with different member lists
// each act as dispatcher and grant the same key to two requests.
Test(Dispatch, two_dispatchers_grant_order_key_once) {
  Cluster Fleet(4);
  Fleet.Claims.Delay = 5ms;
  // The first VM now sends its orders to the second one, while the third VM
  // asks the first one until it learns of the leave.
  Fleet.dispatcher().Node.members().leave();
  cr_assert(Fleet.dispatcher().acquire(Fleet.orderRequest(1)).has_value());
  int GrantCount = 0;
  for (std::uint64_t Key = 100; Key < 120; ++Key) {
    auto Left = Fleet.dispatcher().acquireLater(Fleet.orderRequest(Key));
    auto Right = Fleet.third().acquireLater(Fleet.orderRequest(Key));
    for (auto *Outcome : {&Left, &Right}) {
      const auto Granted = Outcome->get();
      GrantCount += Granted.has_value() ? 1 : 0;
      if (!Granted)
        cr_assert(Granted.error() == core::Error::OrderRepeated, "%s",
                  Granted.error().message().c_str());
      else
        (Outcome == &Left ? Fleet.dispatcher() : Fleet.third())
            .Node.broker()
            .release(*Granted, CompletedReport);
    }
  }
  cr_assert_eq(GrantCount, 20);
}

// Guards against an order that is granted although its claim failed, and
// against the slot that was reserved for it and is never freed.
Test(Dispatch, order_with_failed_claim_is_refused_and_keeps_no_slot) {
  Cluster Fleet(1);
  Fleet.Claims.Unavailable = true;
  for (std::uint64_t Key = 0; Key < 8; ++Key) {
    const auto Granted = Fleet.second().acquire(Fleet.orderRequest(Key));
    cr_assert(Granted.has_error());
    cr_assert(Granted.error() == core::Error::Unavailable);
  }
  (void)Fleet.acquireSlots(Fleet.second(), MaxGrants);
}

// Guards against slots that stay taken because the VM that held their grants
// died without releasing them.
Test(Dispatch, grants_of_dead_vm_are_freed) {
  Cluster Fleet(1);
  (void)Fleet.acquireSlots(Fleet.third(), MaxGrants);
  auto Waiting = Fleet.second().acquireLater(Fleet.request());
  cr_assert(Waiting.wait_for(100ms) == std::future_status::timeout);
  Fleet.third().kill();
  cr_assert(Waiting.wait_for(2s) == std::future_status::ready);
  cr_assert(Waiting.get().has_value());
}

// Guards against a cancelled call that stays in the queue of the dispatcher and
// is granted a slot that nobody releases.
Test(Dispatch, cancelled_call_returns_and_leaves_queue) {
  Cluster Fleet(1);
  const auto Held = Fleet.acquireSlots(Fleet.second(), MaxGrants);
  const core::SlotRequest Request = Fleet.request();
  auto Waiting = Fleet.second().acquireLater(Request);
  cr_assert(Waiting.wait_for(50ms) == std::future_status::timeout);
  Fleet.second().Node.broker().cancel(Request.Request);
  const auto Granted = Waiting.get();
  cr_assert(Granted.has_error());
  cr_assert(Granted.error() == core::Error::Cancelled);
  for (const core::SlotGrant &Item : Held)
    Fleet.second().Node.broker().release(Item, CompletedReport);
  (void)Fleet.acquireSlots(Fleet.second(), MaxGrants);
}

// Guards against a queued call that waits beyond its deadline because no slot
// becomes free.
Test(Dispatch, waiting_call_ends_at_its_deadline) {
  Cluster Fleet(1);
  const auto Held = Fleet.acquireSlots(Fleet.second(), MaxGrants);
  const auto Granted = Fleet.second().acquire(Fleet.request(200ms));
  cr_assert(Granted.has_error());
}

// Guards against races that lose a slot or grant it twice while all VMs call
// concurrently.
Test(Dispatch, concurrent_calls_never_exceed_slots_and_all_end) {
  Cluster Fleet(4);
  std::mutex Mutex;
  std::map<std::string, int> Running;
  int MaxRunning = 0;
  std::atomic<int> Finished{0};
  std::vector<std::thread> Callers;
  for (const auto &Item : Fleet.Vms)
    for (int At = 0; At < 6; ++At)
      Callers.emplace_back([&, Requester = Item.get()] {
        for (int Call = 0; Call < 100; ++Call) {
          const auto Granted = Requester->acquire(Fleet.request(20000ms));
          if (!Granted)
            continue;
          {
            const std::lock_guard Lock(Mutex);
            MaxRunning = std::max(MaxRunning, ++Running[Granted->Server.Id]);
          }
          std::this_thread::sleep_for(1ms);
          {
            const std::lock_guard Lock(Mutex);
            --Running[Granted->Server.Id];
          }
          Requester->Node.broker().release(*Granted, CompletedReport);
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
  cr_assert_leq(MaxRunning, static_cast<int>(MaxGrants));
}

// Guards against a call to a draining server: a dispatcher that is cut off from
// the store grants it, while the requester already has the newer configuration.
Test(Dispatch, grant_of_server_known_to_be_draining_is_rejected) {
  Cluster Fleet(1);
  Vm &Requester = Fleet.second();
  core::ConfigSnapshot::ServiceMap Entries;
  core::ServiceConfig Service = *Requester.Config.current()->find("tags");
  Service.Servers.front().State = core::ServerState::Draining;
  Entries.emplace("tags", std::make_shared<core::ServiceEntry>(
                              core::ServiceEntry{2, Service}));
  // ConfigSync passes this on to the dispatcher when the link opens, so that
  // the dispatcher refuses and the check in RemoteBroker::onGrant is not
  // reached. The test needs a dispatcher that stays at revision 1.
  cr_assert(Requester.Config.apply(
      std::make_shared<core::ConfigSnapshot>(2, std::move(Entries))));
  const auto Granted = Requester.acquire(Cluster::request(500ms));
  cr_assert_not(Granted.has_value());
}
