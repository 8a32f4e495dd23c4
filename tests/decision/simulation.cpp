#include "simulation.hpp"

#include <memory>

namespace simulation {

using namespace jujubecart;

namespace {

unsigned indexOf(const core::BackendServer &Server) {
  return unsigned(std::stoul(Server.Id.substr(1)));
}

// The two messages between the VM and the dispatcher, which is VM 0.
double askDelay(const Simulator &World, unsigned Vm) {
  return 2 * World.delay(Vm, 0);
}

} // namespace

// Central FIFO queue that knows every slot at once and loses no slot time to
// the network; the delays are added to each call.
Figures ideal(const Setting &Given) {
  const Simulator World(Given);
  auto All = draws(Given);
  for (Draw &Item : All)
    Item.Arrival += World.delay(Item.Vm, 0);
  std::vector<std::size_t> Order(All.size());
  for (std::size_t Index = 0; Index < Order.size(); ++Index)
    Order[Index] = Index;
  std::sort(Order.begin(), Order.end(), [&](auto Left, auto Right) {
    return All[Left].Arrival < All[Right].Arrival;
  });
  std::vector<double> FreeAt(std::size_t(Given.Servers) * Given.Slots);
  Figures Result;
  for (const std::size_t Index : Order) {
    const Draw &Item = All[Index];
    // Among free slots the nearest one, otherwise the first to become free.
    std::size_t Best = 0;
    const auto Cost = [&](std::size_t Slot) {
      return std::pair(std::max(FreeAt[Slot], Item.Arrival),
                       World.delay(Item.Vm, unsigned(Slot) / Given.Slots));
    };
    for (std::size_t Slot = 1; Slot < FreeAt.size(); ++Slot)
      Best = Cost(Slot) < Cost(Best) ? Slot : Best;
    FreeAt[Best] = Cost(Best).first + Item.Service;
    Result.Latency.push_back(FreeAt[Best] - Item.Arrival +
                             askDelay(World, Item.Vm) + 2 * Cost(Best).second);
  }
  return Result;
}

Figures local(const Setting &Given, std::string_view Policy) {
  Simulator World(Given);
  Figures Result;
  std::vector<std::unique_ptr<decision::LocalPolicy>> Policies;
  for (unsigned Vm = 0; Vm < Given.Vms; ++Vm)
    Policies.push_back(decision::makeLocalPolicy(Policy, Given.Seed + Vm));
  for (const Draw &Item : draws(Given))
    World.at(Item.Arrival, [&, Item] {
      auto &Chooser = *Policies[Item.Vm];
      const unsigned Server =
          unsigned(*Chooser.pick(World.Servers, {}, World.time()));
      const std::string &Id = World.Servers[Server].Id;
      const double Delay = World.delay(Item.Vm, Server);
      Chooser.onStart(Id, World.time());
      const auto Done = [&, Item, Id, Delay] {
        World.at(World.Now + Delay, [&, Item, Id] {
          Policies[Item.Vm]->onEnd(Id, {}, World.time());
          Result.Latency.push_back(World.Now - Item.Arrival);
        });
      };
      World.at(World.Now + Delay, [&World, Server, Item, Done] {
        World.serve(Server, Item.Service, Done);
      });
    });
  World.run();
  return Result;
}

namespace {

/// @brief Drives a GroupDispatcher over the simulated network.
class Dispatched {
public:
  Dispatched(const Setting &Given, const decision::DispatcherOptions &Options)
      : Given(Given), World(Given), All(draws(Given)),
        Dispatcher({"tags/a/0", "tags", "a", World.Servers}, Options,
                   World.time()) {}

  Figures run() {
    for (std::size_t Index = 0; Index < All.size(); ++Index)
      World.at(All[Index].Arrival + World.delay(All[Index].Vm, 0),
               [this, Index] { enqueue(Index); });
    World.at(0, [this] { tick(); });
    World.run();
    return std::move(Result);
  }

private:
  void enqueue(std::size_t Index) {
    decision::PendingCall Call;
    Call.Token = Index;
    Call.Holder = "vm" + std::to_string(All[Index].Vm);
    Call.Zone = "z" + std::to_string(All[Index].Vm % Given.Zones);
    Call.CallerHash = Index;
    Call.Deadline = World.time() +
                    std::chrono::milliseconds(std::int64_t(Given.DeadlineMs));
    Dispatcher.enqueue(Call, World.time(), Out);
    apply();
  }
  void tick() {
    Dispatcher.tick(World.time(), Out);
    apply();
    const std::chrono::duration<double, std::milli> Wait =
        Dispatcher.nextTick() - World.time();
    if (World.Now < All.back().Arrival + 5000)
      World.at(World.Now + std::max(0.1, Wait.count()), [this] { tick(); });
  }
  void apply() {
    for (const decision::Decision &Item : std::exchange(Out, {})) {
      if (const auto *Grant = std::get_if<decision::Granted>(&Item))
        send(*Grant);
      else
        ++Result.Rejected;
    }
  }
  void send(const decision::Granted &Grant) {
    const Draw Item = All[Grant.Token];
    const unsigned Server = indexOf(Grant.Server);
    ++Result.Granted[Grant.Server.Id];
    const double ToVm = World.delay(Item.Vm, 0);
    const double ToServer = World.delay(Item.Vm, Server);
    const double Sent = World.Now + ToVm;
    const auto Returned = [this, Id = Grant.GrantId, Item, Sent, ToVm] {
      Result.Latency.push_back(World.Now - Item.Arrival);
      core::CallReport Report;
      Report.Elapsed =
          std::chrono::microseconds(std::int64_t((World.Now - Sent) * 1000));
      World.at(World.Now + ToVm, [this, Id, Report] {
        Dispatcher.release(Id, Report, World.time(), Out);
        apply();
      });
    };
    World.at(Sent + ToServer, [this, Server, Item, ToServer, Returned] {
      World.serve(Server, Item.Service, [this, ToServer, Returned] {
        World.at(World.Now + ToServer, Returned);
      });
    });
  }

  const Setting &Given;
  Simulator World;
  std::vector<Draw> All;
  decision::Decisions Out;
  decision::GroupDispatcher Dispatcher;
  Figures Result;
};

} // namespace

Figures dispatched(const Setting &Given,
                   const decision::DispatcherOptions &Options) {
  return Dispatched(Given, Options).run();
}

} // namespace simulation
