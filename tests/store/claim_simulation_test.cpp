#include <fakes/simulated_store.hpp>
#include <jujubecart/core.hpp>
#include <jujubecart/store.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <criterion/criterion.h>
#include <map>

using namespace jujubecart;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t Vms = 3;
constexpr std::uint64_t Keys = 6;
constexpr std::uint64_t Requests = 80;

struct ClaimEvent {
  std::uint64_t Key = 0;
  std::uint64_t Request = 0;
  /// Whether the request claimed the key; otherwise it released the key because
  /// it will never be sent.
  bool Claimed = true;
};

// Returns a key that two requests hold at the same time, or 0 if there is none.
std::uint64_t keyWithTwoHolders(const std::vector<ClaimEvent> &Events) {
  std::map<std::uint64_t, std::uint64_t> Holders;
  for (const ClaimEvent &Item : Events) {
    const auto Held = Holders.find(Item.Key);
    if (!Item.Claimed) {
      if (Held != Holders.end() && Held->second == Item.Request)
        Holders.erase(Held);
      continue;
    }
    if (Held != Holders.end() && Held->second != Item.Request)
      return Item.Key;
    Holders[Item.Key] = Item.Request;
  }
  return 0;
}

// Requests that claim keys through several VMs, which share one simulated store
// and are killed and restarted at random.
class ClaimScenario {
public:
  explicit ClaimScenario(std::uint64_t Seed) : Run(Seed), Nodes(Vms) {
    core::ServiceConfig Service;
    Service.Name = "orders";
    Service.OrderKeyRetentionS = 3600;
    Table.apply(std::make_shared<core::ConfigSnapshot>(
        1, core::ConfigSnapshot::ServiceMap{
               {"orders", std::make_shared<core::ServiceEntry>(
                              core::ServiceEntry{1, Service})}}));
  }

  void simulate() {
    for (std::uint64_t Index = 0; Index < Vms; ++Index)
      startVm(Index);
    spawn(sendRequests());
    spawn(injectFaults());
    Run.runUntil(Run.now() + seconds(90));
    FaultsEnded = true;
    Shared.Faults = {};
    Run.runUntil(Run.now() + seconds(30));
    spawn(request(Keys + 1, Requests + 1));
    Run.runUntil(Run.now() + seconds(30));
  }

  std::vector<ClaimEvent> Events;
  std::uint64_t Refused = 0;

private:
  // A VM with its own claim log.
  struct Node {
    explicit Node(ClaimScenario &Owner)
        : Client(Owner.Shared),
          Log(Owner.Run.context().get_executor(),
              {.Store = Client,
               .Config = Owner.Table,
               .Time = Owner.Run.clock(),
               .Sleeper = Owner.Run,
               .Random = [&Owner] { return Owner.Run.random(); }},
              {.Writer = "vm", .SegmentBytes = 512}) {}

    dev::SimulatedClient Client;
    store::ClaimLog Log;
  };

  dev::Simulation Run;
  dev::SimulatedStore Shared{Run};
  core::ConfigTable Table;
  bool FaultsEnded = false;
  std::vector<std::shared_ptr<Node>> Nodes;
  std::vector<std::shared_ptr<Node>> StoppedNodes;

  void spawn(core::Awaitable<void> Work) {
    boost::asio::co_spawn(Run.context(), std::move(Work),
                          boost::asio::detached);
  }

  void startVm(std::uint64_t Index) {
    if (Nodes[Index])
      StoppedNodes.push_back(Nodes[Index]);
    Nodes[Index] = std::make_shared<Node>(*this);
  }

  core::Awaitable<void> sendRequests() {
    for (std::uint64_t Request = 1; Request <= Requests; ++Request) {
      spawn(request(1 + Run.below(Keys), Request));
      co_await Run.sleepFor(Run.below(2) * Run.below(1500));
    }
  }

  // The entry VM asks up to two dispatchers for the same request. A request
  // that was not sent releases its claim through any of them.
  core::Awaitable<void> request(std::uint64_t Key, std::uint64_t Request) {
    const auto Hash = core::orderKey("orders", std::to_string(Key));
    bool Claimed = false;
    for (int Attempt = 0; Attempt < 2 && !Claimed; ++Attempt) {
      const auto Dispatcher = Nodes[Run.below(Vms)];
      const auto Result = co_await Dispatcher->Log.claim(
          "orders", Hash, core::RequestId{Request}, Run.now() + seconds(2));
      Claimed = Result.has_value();
      if (!Claimed && Result.error() == core::Error::OrderRepeated) {
        ++Refused;
        break;
      }
    }
    if (Claimed)
      Events.push_back({Key, Request, true});
    co_await Run.sleepFor(Run.below(500));
    if (Claimed && Run.chance(30))
      co_return;
    Events.push_back({Key, Request, false});
    Nodes[Run.below(Vms)]->Log.release("orders", Hash,
                                       core::RequestId{Request});
  }

  core::Awaitable<void> injectFaults() {
    while (!FaultsEnded) {
      Shared.Faults = {.LostAnswer = Run.below(30),
                       .DelayedWrite = Run.below(15),
                       .Pause = Run.below(10),
                       .Rejection = Run.below(10),
                       .Outage = Run.chance(15)};
      const std::uint64_t Index = Run.below(Vms);
      if (Nodes[Index]->Client.dead())
        startVm(Index);
      else if (Run.chance(25))
        Nodes[Index]->Client.killAfter(Run.below(8));
      co_await Run.sleepFor(Run.below(3000));
    }
    Shared.Faults = {};
    for (std::uint64_t Index = 0; Index < Vms; ++Index)
      startVm(Index);
  }
};

void checkSeeds(std::uint64_t First, std::uint64_t Last) {
  core::configureLog("test", core::LogLevel::Error);
  std::uint64_t Refused = 0;
  for (std::uint64_t Seed = First; Seed <= Last; ++Seed) {
    ClaimScenario Scenario(Seed);
    Scenario.simulate();
    cr_assert_eq(keyWithTwoHolders(Scenario.Events), 0, "seed %lu", Seed);
    bool ClaimedAfterFaults = false;
    for (const ClaimEvent &Item : Scenario.Events)
      ClaimedAfterFaults =
          ClaimedAfterFaults || (Item.Claimed && Item.Request == Requests + 1);
    cr_assert(ClaimedAfterFaults, "seed %lu: no claim after the faults ended",
              Seed);
    Refused += Scenario.Refused;
  }
  cr_assert_gt(Refused, 0);
}

} // namespace

// Guards against simulations that pass because keyWithTwoHolders finds nothing.
Test(ClaimSimulation, key_with_two_holders_is_found) {
  cr_assert_eq(keyWithTwoHolders({{1, 10, true}, {1, 11, true}}), 1);
  cr_assert_eq(
      keyWithTwoHolders({{1, 10, true}, {1, 10, false}, {1, 11, true}}), 0);
  cr_assert_eq(keyWithTwoHolders({{1, 10, true}, {1, 9, false}, {1, 11, true}}),
               1);
}

// These guard against a key that two requests hold at the same time, so that an
// order runs twice. Faults: VMs that crash between any two steps, lost and
// delayed writes, pauses and outages of the store.
Test(ClaimSimulation, seeds_1_to_50) { checkSeeds(1, 50); }
Test(ClaimSimulation, seeds_51_to_100) { checkSeeds(51, 100); }
Test(ClaimSimulation, seeds_101_to_150) { checkSeeds(101, 150); }
Test(ClaimSimulation, seeds_151_to_200) { checkSeeds(151, 200); }
