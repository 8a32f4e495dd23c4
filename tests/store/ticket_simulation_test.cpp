#include "ticket_history.hpp"

#include <fakes/simulated_store.hpp>
#include <jujubecart/core.hpp>
#include <jujubecart/store.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <criterion/criterion.h>
#include <deque>

using namespace jujubecart;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t Operators = 4;
constexpr std::uint64_t Vms = 3;
constexpr std::uint64_t ServiceCount = 4;

std::string ticketText(const tests::HistoryTicket &Ticket) {
  nlohmann::json Services = nlohmann::json::object();
  for (const auto &[Name, Value] : Ticket.Services) {
    core::ServiceConfig Service;
    Service.Name = Name;
    if (Value)
      Service.DefaultDeadlineMs = *Value;
    Services[Name] = Value ? core::writeService(Service) : nlohmann::json();
  }
  return nlohmann::json{{"number", Ticket.Number},
                        {"based_on", Ticket.BasedOn},
                        {"services", Services}}
      .dump();
}

// Operators that submit tickets and VMs that watch the configuration, on one
// simulated store with random faults.
class TicketScenario {
public:
  TicketScenario(std::uint64_t Seed, std::uint64_t TicketsPerOperator)
      : Run(Seed), TicketsPerOperator(TicketsPerOperator), Nodes(Vms) {}

  tests::History simulate() {
    for (std::uint64_t Index = 0; Index < Vms; ++Index)
      startVm(Index);
    for (std::uint64_t Index = 0; Index < Operators; ++Index)
      spawn(submitTickets());
    spawn(injectFaults());
    Run.runUntil(Run.now() + seconds(20 + 4 * TicketsPerOperator));
    Shared.Faults = {};
    FaultsEnded = true;
    Run.runUntil(Run.now() + seconds(60));
    collectAccepted();
    return Record;
  }

  // Whether every VM has applied the last accepted ticket.
  [[nodiscard]] bool converged() const {
    for (const auto &Node : Nodes)
      if (Node->Table.current()->revision() != Record.Accepted.size())
        return false;
    return true;
  }

private:
  // A VM with its own configuration table.
  struct Node {
    explicit Node(TicketScenario &Owner)
        : Client(Owner.Shared),
          Reader(Owner.Run.context().get_executor(),
                 {.Store = Client,
                  .Table = Table,
                  .Time = Owner.Run.clock(),
                  .Sleeper = Owner.Run,
                  .Random = [&Owner] { return Owner.Run.random(); }}) {}

    dev::SimulatedClient Client;
    core::ConfigTable Table;
    store::ConfigReader Reader;
  };

  // A process that submits one ticket for an operator.
  struct SubmitProcess {
    explicit SubmitProcess(TicketScenario &Owner)
        : Client(Owner.Shared),
          Processor(Client, Owner.Run.clock(), Owner.Run,
                    [&Owner] { return Owner.Run.random(); }) {}

    dev::SimulatedClient Client;
    store::TicketProcessor Processor;
  };

  dev::Simulation Run;
  dev::SimulatedStore Shared{Run};
  const std::uint64_t TicketsPerOperator;
  bool FaultsEnded = false;
  std::vector<std::shared_ptr<Node>> Nodes;
  // Stopped processes are kept until the end, because their suspended
  // coroutines still refer to them.
  std::vector<std::shared_ptr<void>> StoppedProcesses;
  tests::History Record;
  std::uint64_t Events = 0;
  std::uint64_t NextNumber = 1;

  void spawn(core::Awaitable<void> Work) {
    boost::asio::co_spawn(Run.context(), std::move(Work),
                          boost::asio::detached);
  }

  void startVm(std::uint64_t Index) {
    if (Nodes[Index]) {
      Nodes[Index]->Client.kill();
      Nodes[Index]->Reader.stopWatching();
      StoppedProcesses.push_back(Nodes[Index]);
    }
    Nodes[Index] = std::make_shared<Node>(*this);
    Nodes[Index]->Table.subscribe([this, Index](const auto &Snapshot) {
      tests::Observation Seen{.Vm = std::to_string(Index),
                              .Revision = Snapshot->revision(),
                              .State = {}};
      for (const auto &[Name, Entry] : Snapshot->entries())
        if (Entry->Service)
          Seen.State[Name] = Entry->Service->DefaultDeadlineMs;
      Record.Observations.push_back(std::move(Seen));
    });
    Nodes[Index]->Reader.startWatching();
  }

  tests::HistoryTicket makeRandomTicket() {
    tests::HistoryTicket Ticket;
    // Sometimes an operator uses a number that another operator uses, too.
    Ticket.Number = Run.chance(90) ? NextNumber++ : 1 + Run.below(NextNumber);
    Ticket.BasedOn = Nodes[Run.below(Vms)]->Table.current()->revision();
    for (std::uint64_t Count = 1 + Run.below(2); Count > 0; --Count) {
      auto &Value =
          Ticket.Services["s" + std::to_string(Run.below(ServiceCount))];
      if (Run.chance(85))
        Value = static_cast<std::uint32_t>(1 + Run.below(100000));
    }
    core::Findings Report("ticket");
    Ticket.Digest = store::parseTicket(ticketText(Ticket), Report)->Digest;
    return Ticket;
  }

  core::Awaitable<void> submitTickets() {
    for (std::uint64_t Count = 0; Count < TicketsPerOperator; ++Count) {
      const tests::HistoryTicket Ticket = makeRandomTicket();
      // Some tickets are submitted again, by another process.
      for (std::uint64_t Times = Run.chance(25) ? 2 : 1; Times > 0; --Times) {
        spawn(submit(Ticket));
        co_await Run.sleepFor(Run.below(3000));
      }
    }
  }

  core::Awaitable<void> submit(tests::HistoryTicket Ticket) {
    const auto Process = std::make_shared<SubmitProcess>(*this);
    StoppedProcesses.push_back(Process);
    if (Run.chance(10))
      Process->Client.killAfter(Run.below(6));
    const std::size_t Index = Record.Submissions.size();
    const std::string Text = ticketText(Ticket);
    Record.Submissions.push_back(
        {std::move(Ticket), std::nullopt, ++Events, 0});
    auto Result = co_await Process->Processor.submit(Text, "ticket",
                                                     Run.now() + seconds(3));
    Record.Submissions[Index].Response = std::move(Result);
    Record.Submissions[Index].Returned = ++Events;
  }

  core::Awaitable<void> injectFaults() {
    while (!FaultsEnded) {
      Shared.Faults = {.LostAnswer = Run.below(30),
                       .DelayedWrite = Run.below(15),
                       .Pause = Run.below(10),
                       .Rejection = Run.below(10),
                       .Outage = Run.chance(15)};
      if (Run.chance(20))
        startVm(Run.below(Vms));
      co_await Run.sleepFor(Run.below(3000));
    }
    Shared.Faults = {};
  }

  // Reads the accepted tickets from the store's final state.
  void collectAccepted() {
    std::map<std::uint64_t, store::AcceptedTicket> Found;
    for (const auto &[Key, Value] : Shared.Model.values())
      if (Key.rfind("config/ticket/", 0) == 0) {
        auto Ticket = store::readAccepted(Value.Value).value();
        Found.emplace(Ticket.Number, Ticket);
      }
    const auto Head = Shared.Model.get(std::string(store::HeadKey));
    if (Head)
      for (const auto &Ticket :
           store::readHead(Head->Value).value().RecentTickets)
        Found.insert_or_assign(Ticket.Number, Ticket);
    for (const auto &[Number, Ticket] : Found)
      Record.Accepted.push_back(Ticket);
  }
};

void checkSeeds(std::uint64_t First, std::uint64_t Last) {
  core::configureLog("test", core::LogLevel::Error);
  for (std::uint64_t Seed = First; Seed <= Last; ++Seed) {
    // Every tenth run has more tickets than the head can list.
    TicketScenario Scenario(Seed, Seed % 10 == 0 ? 40 : 8);
    const auto Violations = tests::checkHistory(Scenario.simulate());
    cr_assert(Violations.empty(), "seed %lu: %s", Seed,
              Violations.front().c_str());
    cr_assert(Scenario.converged(), "seed %lu: a VM has not converged", Seed);
  }
}

} // namespace

// These guard against lost updates, VMs that return to an older revision,
// partly applied tickets and wrong responses. Faults: lost responses, outages,
// pauses, delayed writes and restarts.
Test(TicketSimulation, seeds_1_to_25) { checkSeeds(1, 25); }
Test(TicketSimulation, seeds_26_to_50) { checkSeeds(26, 50); }
Test(TicketSimulation, seeds_51_to_75) { checkSeeds(51, 75); }
Test(TicketSimulation, seeds_76_to_100) { checkSeeds(76, 100); }
Test(TicketSimulation, seeds_101_to_125) { checkSeeds(101, 125); }
Test(TicketSimulation, seeds_126_to_150) { checkSeeds(126, 150); }
Test(TicketSimulation, seeds_151_to_175) { checkSeeds(151, 175); }
Test(TicketSimulation, seeds_176_to_200) { checkSeeds(176, 200); }

// Guards against a simulation that never produces some of the outcomes, and
// against one that depends on anything but its seed.
Test(TicketSimulation, same_seed_gives_same_history_with_all_outcomes) {
  core::configureLog("test", core::LogLevel::Error);
  const auto First = TicketScenario(10, 40).simulate();
  const auto Second = TicketScenario(10, 40).simulate();
  cr_assert(First.Accepted == Second.Accepted);
  cr_assert_eq(First.Observations.size(), Second.Observations.size());
  cr_assert_gt(First.Accepted.size(), store::MaxRecentTickets);
  std::map<store::TicketStatus, int> Counts;
  for (const auto &Item : First.Submissions)
    if (Item.Response)
      ++Counts[Item.Response->Status];
  cr_assert_gt(Counts[store::TicketStatus::Accepted], 0);
  cr_assert_gt(Counts[store::TicketStatus::Beaten], 0);
  cr_assert_gt(Counts[store::TicketStatus::NumberReused], 0);
  cr_assert_gt(Counts[store::TicketStatus::Unknown], 0);
}
