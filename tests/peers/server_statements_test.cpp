#include "cluster.hpp"

using namespace jujubecart;
using namespace jujubecart::peers;
using namespace jujubecart::peers::test;

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
    constexpr std::size_t Waiters = 4;
    std::vector<std::future<core::Result<core::SlotGrant>>> Waiting;
    Waiting.reserve(Waiters);
    while (Waiting.size() < Waiters)
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
  constexpr std::size_t Waiters = 8;
  std::vector<std::future<core::Result<core::SlotGrant>>> Waiting;
  Waiting.reserve(Waiters);
  while (Waiting.size() < Waiters)
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

// Guards against requests to a cold server from a VM that decides by itself:
// nobody counts the requests of all VMs then. Lookups are decided by the
// fallback, orders by the VM's own dispatcher.
Test(Dispatch, cold_server_gets_nothing_from_a_vm_that_decides_by_itself) {
  Cluster Fleet(2);
  Vm &Requester = Fleet.third();
  core::ServiceConfig Service = *Requester.Config.current()->find("tags");
  const std::string Cold = Service.Servers.front().Id;
  Service.Servers.front().ColdUntil = std::chrono::steady_clock::now() + 60s;
  // High enough for every call of the test.
  Service.Servers.front().ColdLimit = {.MilliPerS = 100000000};
  cr_assert(Requester.Config.apply(std::make_shared<core::ConfigSnapshot>(
      2, core::ConfigSnapshot::ServiceMap{
             {"tags", std::make_shared<core::ServiceEntry>(
                          core::ServiceEntry{2, Service})}})));
  Fleet.dispatcher().kill();
  Fleet.second().kill();
  std::size_t ByFallback = 0;
  // Slots that are held make the other server the busier one.
  for (std::uint64_t Call = 0; Call < MaxGrants; ++Call) {
    for (const bool IsOrder : {false, true}) {
      const auto Granted = Requester.acquire(
          IsOrder ? Cluster::orderRequest(Call) : Cluster::request());
      cr_assert(Granted.has_value(), "%s", Granted.error().message().c_str());
      cr_assert_neq(Granted->Server.Id, Cold);
      ByFallback += Granted->Dispatcher.empty() ? 1U : 0U;
      if (!IsOrder)
        Requester.Node.broker().release(*Granted, CompletedReport);
    }
  }
  cr_assert_gt(ByFallback, 0);
  // With all slots of the other server in use.
  core::SlotRequest Last = Cluster::request(300ms);
  Last.Key = core::OrderKey{.High = 1, .Low = MaxGrants};
  cr_assert_not(Requester.acquire(Last).has_value());
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
