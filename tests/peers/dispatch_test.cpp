#include "cluster.hpp"

using namespace jujubecart;
using namespace jujubecart::peers;
using namespace jujubecart::peers::test;

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
