#include "simulation.hpp"

#include <memory>

namespace simulation {

using namespace jujubecart;

namespace {

unsigned indexOf(const core::BackendServer &Server) {
  return unsigned(std::stoul(Server.Id.substr(1)));
}

// Round trip between a VM and the dispatcher, which runs on VM 0.
double dispatchRoundTrip(const Simulator &Sim, unsigned Vm) {
  return 2 * Sim.delay(Vm, 0);
}

} // namespace

// Slots are never idle because of network delay; the delays are only added to
// the latency of each call.
SimulationResult simulateIdealQueue(const SimulationConfig &Config) {
  const Simulator Sim(Config);
  auto All = generateCalls(Config);
  for (SimulatedCall &Item : All)
    Item.Arrival += Sim.delay(Item.Vm, 0);
  std::vector<std::size_t> Order(All.size());
  for (std::size_t Index = 0; Index < Order.size(); ++Index)
    Order[Index] = Index;
  std::sort(Order.begin(), Order.end(), [&](auto Left, auto Right) {
    return All[Left].Arrival < All[Right].Arrival;
  });
  std::vector<double> FreeAt(std::size_t(Config.Servers) * Config.Slots);
  SimulationResult Result;
  for (const std::size_t Index : Order) {
    const SimulatedCall &Item = All[Index];
    // Among free slots, take the nearest one, otherwise the first to become
    // free.
    std::size_t Best = 0;
    const auto Cost = [&](std::size_t Slot) {
      return std::pair(std::max(FreeAt[Slot], Item.Arrival),
                       Sim.delay(Item.Vm, unsigned(Slot) / Config.Slots));
    };
    for (std::size_t Slot = 1; Slot < FreeAt.size(); ++Slot)
      Best = Cost(Slot) < Cost(Best) ? Slot : Best;
    FreeAt[Best] = Cost(Best).first + Item.Service;
    Result.Latency.push_back(FreeAt[Best] - Item.Arrival +
                             dispatchRoundTrip(Sim, Item.Vm) +
                             2 * Cost(Best).second);
  }
  return Result;
}

SimulationResult simulateLocalPolicy(const SimulationConfig &Config,
                                     std::string_view Policy) {
  Simulator Sim(Config);
  SimulationResult Result;
  std::vector<std::unique_ptr<decision::LocalPolicy>> Policies;
  for (unsigned Vm = 0; Vm < Config.Vms; ++Vm)
    Policies.push_back(decision::makeLocalPolicy(Policy, Config.Seed + Vm));
  for (const SimulatedCall &Item : generateCalls(Config))
    Sim.schedule(Item.Arrival, [&, Item] {
      auto &VmPolicy = *Policies[Item.Vm];
      const unsigned Server =
          unsigned(*VmPolicy.pick(Sim.Servers, {}, Sim.time()));
      const std::string &Id = Sim.Servers[Server].Id;
      const double Delay = Sim.delay(Item.Vm, Server);
      VmPolicy.onStart(Id, Sim.time());
      const auto OnServed = [&, Item, Id, Delay] {
        Sim.schedule(Sim.Now + Delay, [&, Item, Id] {
          Policies[Item.Vm]->onEnd(Id, {}, Sim.time());
          Result.Latency.push_back(Sim.Now - Item.Arrival);
        });
      };
      Sim.schedule(Sim.Now + Delay, [&Sim, Server, Item, OnServed] {
        Sim.serve(Server, Item.Service, OnServed);
      });
    });
  Sim.run();
  return Result;
}

namespace {

/// @brief Runs a workload through a GroupDispatcher over the simulated network.
class DispatcherSimulation {
public:
  DispatcherSimulation(const SimulationConfig &Config,
                       const decision::DispatcherOptions &Options)
      : Config(Config), Sim(Config), All(generateCalls(Config)),
        Dispatcher({"tags/a/0", "tags", "a", Sim.Servers}, Options,
                   Sim.time()) {}

  SimulationResult run() {
    for (std::size_t Index = 0; Index < All.size(); ++Index)
      Sim.schedule(All[Index].Arrival + Sim.delay(All[Index].Vm, 0),
                   [this, Index] { enqueue(Index); });
    Sim.schedule(0, [this] { tick(); });
    Sim.run();
    return std::move(Result);
  }

private:
  void enqueue(std::size_t Index) {
    decision::PendingCall Call;
    Call.Token = Index;
    Call.Holder = "vm" + std::to_string(All[Index].Vm);
    Call.Zone = "z" + std::to_string(All[Index].Vm % Config.Zones);
    Call.CallerHash = Index;
    Call.Deadline =
        Sim.time() + std::chrono::milliseconds(std::int64_t(Config.DeadlineMs));
    Dispatcher.enqueue(Call, Sim.time(), Out);
    apply();
  }
  void tick() {
    if (Config.OnTick)
      Config.OnTick(Sim.Now, Dispatcher);
    Dispatcher.tick(Sim.time(), Out);
    apply();
    const std::chrono::duration<double, std::milli> Wait =
        Dispatcher.nextTick() - Sim.time();
    if (Sim.Now < All.back().Arrival + 5000)
      Sim.schedule(Sim.Now + std::max(0.1, Wait.count()), [this] { tick(); });
  }
  void apply() {
    for (const decision::Decision &Item : std::exchange(Out, {})) {
      if (const auto *Grant = std::get_if<decision::Granted>(&Item)) {
        send(*Grant);
        continue;
      }
      const SimulatedCall &Call = All[std::get<decision::Rejected>(Item).Token];
      const double Delay = Sim.delay(Call.Vm, 0);
      ++Result.Rejected;
      Result.Rejections.emplace_back(Sim.Now, Sim.Now + Delay - Call.Arrival);
    }
  }
  void send(const decision::Granted &Grant) {
    const SimulatedCall Item = All[Grant.Token];
    const unsigned Server = indexOf(Grant.Server);
    ++Result.GrantCounts[Grant.Server.Id];
    Result.Grants.emplace_back(Sim.Now, Server);
    const double ToVm = Sim.delay(Item.Vm, 0);
    const double ToServer = Sim.delay(Item.Vm, Server);
    const double Sent = Sim.Now + ToVm;
    const auto Returned = [this, Id = Grant.GrantId, Item, Sent,
                           ToVm](core::CallReport Report) {
      if (Report.Outcome == core::CallOutcome::Completed) {
        Result.Latency.push_back(Sim.Now - Item.Arrival);
        Result.Completions.emplace_back(Sim.Now, Sim.Now - Item.Arrival);
      } else {
        ++Result.Failed;
      }
      Report.Elapsed =
          std::chrono::microseconds(std::int64_t((Sim.Now - Sent) * 1000));
      Sim.schedule(Sim.Now + ToVm, [this, Id, Report] {
        Dispatcher.release(Id, Report, Sim.time(), Out);
        apply();
      });
    };
    Sim.schedule(Sent + ToServer, [this, Server, Item, ToServer, Returned] {
      const auto Fault =
          Config.Fault ? Config.Fault(Server, Sim.Now) : std::nullopt;
      const core::CallReport Report = Fault.value_or(core::CallReport{});
      const auto Answer = [this, ToServer, Returned, Report] {
        Sim.schedule(Sim.Now + ToServer,
                     [Returned, Report] { Returned(Report); });
      };
      // A rejection takes half a millisecond and uses no slot.
      if (Report.Outcome != core::CallOutcome::Completed)
        Sim.schedule(Sim.Now + 0.5, Answer);
      else
        Sim.serve(Server, Item.Service, Answer);
    });
  }

  const SimulationConfig &Config;
  Simulator Sim;
  std::vector<SimulatedCall> All;
  decision::Decisions Out;
  decision::GroupDispatcher Dispatcher;
  SimulationResult Result;
};

} // namespace

SimulationResult
simulateDispatcher(const SimulationConfig &Config,
                   const decision::DispatcherOptions &Options) {
  return DispatcherSimulation(Config, Options).run();
}

} // namespace simulation
