#include "fleet.hpp"
#include <criterion/criterion.h>
#include <cstdlib>

using namespace jujubecart;
using namespace jujubecart::peers;
using namespace jujubecart::peers::test;
using namespace std::chrono_literals;

namespace {

/// @brief Several VMs that know each other by the platform's list. With
/// OwnLoops each VM has its own loop and can be paused or stopped alone.
class Fleet {
public:
  explicit Fleet(std::size_t Size, bool OwnLoops = false,
                 std::chrono::milliseconds GossipInterval = 100ms) {
    for (std::size_t At = 0; At < Size; ++At) {
      if (OwnLoops || Loops.empty())
        Loops.push_back(std::make_unique<IoThreads>(OwnLoops ? 1 : 4));
      PeerOptions Options = fleetOptions(At);
      Options.GossipInterval = GossipInterval;
      if (GossipInterval > 100ms)
        Options.SuspectAfter = 3s;
      Nodes.push_back(std::make_unique<ControlNode>(*Loops.back(), Options));
    }
    publishVmList();
    for (const auto &Node : Nodes)
      Node->start();
  }
  ~Fleet() {
    for (const auto &Node : Nodes)
      if (Node)
        Node->stop();
    for (const auto &Item : Loops)
      Item->stop();
  }

  /// @brief Gives every VM the platform's list of all VMs.
  void publishVmList() {
    std::vector<core::Member> Listed;
    for (const auto &Node : Nodes)
      if (Node)
        Listed.push_back(Node->Members.self());
    for (const auto &Node : Nodes)
      if (Node)
        Node->Members.update(Listed);
  }
  [[nodiscard]] bool allLive(std::size_t Expected) const {
    for (const auto &Node : Nodes)
      if (Node && Node->live() != Expected)
        return false;
    return true;
  }
  [[nodiscard]] bool allAtRevision(core::Revision Revision) const {
    for (const auto &Node : Nodes)
      if (Node && Node->Config.current()->revision() != Revision)
        return false;
    return true;
  }
  ControlNode &operator[](std::size_t At) { return *Nodes[At]; }

  std::vector<std::unique_ptr<IoThreads>> Loops;
  std::vector<std::unique_ptr<ControlNode>> Nodes;
};

} // namespace

// Guards against VMs that start at the same time and do not discover each
// other.
Test(Membership, vms_started_together_discover_each_other) {
  Fleet Vms(14);
  cr_assert(eventually([&] { return Vms.allLive(14); }, 3000ms));
}

// Guards against VMs that start together and send each other their whole member
// tables: a listed VM with its incarnation must count without a message.
Test(Membership, vm_listed_with_its_incarnation_is_live_at_once) {
  const core::SystemClock Time;
  EventRecorder Events;
  MemberTable Table(fleetOptions(0), Time, Events);
  Table.update({{.Id = "vm-9", .Address = "10.0.0.9:1", .Incarnation = 7}});
  cr_assert_eq(Table.members().size(), 2);
  for (const core::Member &Item : Table.members())
    cr_assert(Item.State == core::MemberState::Live);
}

// Guards against a dead VM that becomes live again each time the list is
// updated, and against a restarted one that stays dead.
Test(Membership, outdated_listing_does_not_revive_a_removed_vm) {
  const core::SystemClock Time;
  PeerOptions Options = fleetOptions(0);
  Options.SuspectAfter = 30ms;
  Options.RemoveAfter = 60ms;
  EventRecorder Events;
  MemberTable Table(Options, Time, Events);
  core::Member Dead{.Id = "vm-9", .Address = "10.0.0.9:1", .Incarnation = 7};
  Table.update({Dead});
  cr_assert(eventually([&] {
    (void)Table.tick();
    return Table.members().size() == 1;
  }));
  Table.update({Dead});
  cr_assert_eq(Table.members().size(), 1);
  Dead.Incarnation = 8;
  Table.update({Dead});
  cr_assert_eq(Table.members().size(), 2);
}

// Guards against a VM that is cut off from the others and takes all of them for
// lost, and against a lost VM that is never reported.
Test(Membership, vm_is_lost_only_while_most_others_are_reachable) {
  const core::SystemClock Time;
  EventRecorder Events;
  PeerOptions Options = fleetOptions(0);
  Options.SuspectAfter = 30ms;
  Options.RemoveAfter = 60ms;
  MemberTable Table(Options, Time, Events);
  std::vector<core::Member> Listed;
  for (const char *Id : {"vm-7", "vm-8", "vm-9"})
    Listed.push_back({.Id = Id, .Address = "10.0.0.9:1", .Incarnation = 7});
  Table.update(Listed);
  const auto KeepAlive = [&](std::size_t Count) {
    for (std::size_t At = 0; At < Count; ++At)
      Table.recordHello(
          {.Sender = Listed[At].Id, .Incarnation = 8, .Address = "10.0.0.9:1"});
    (void)Table.tick();
    return Table.lostVms();
  };
  cr_assert(eventually([&] { return KeepAlive(2).size() == 1; }));
  cr_assert_eq(KeepAlive(2).front(), "vm-9");
  const auto End = Time.now() + 300ms;
  while (Time.now() < End) {
    (void)KeepAlive(1);
    std::this_thread::sleep_for(2ms);
  }
  cr_assert(KeepAlive(1).empty());
}

// Guards against a stopped VM that stays eligible as dispatcher because it is
// not suspected, or because gossip between the others keeps refreshing its
// entry.
Test(Membership, stopped_vm_becomes_suspect_then_removed) {
  Fleet Vms(6, true);
  cr_assert(eventually([&] { return Vms.allLive(6); }));
  Vms[5].stop();
  Vms.Loops[5]->stop();
  cr_assert(eventually([&] {
    for (std::size_t At = 0; At < 5; ++At) {
      const auto Item = Vms[At].member("vm-5");
      if (!Item || Item->State != core::MemberState::Suspect)
        return false;
    }
    return true;
  }));
  cr_assert(eventually(
      [&] {
        for (std::size_t At = 0; At < 5; ++At)
          if (Vms[At].member("vm-5"))
            return false;
        return true;
      },
      10000ms));
}

// Guards against a restarted VM whose entry stays that of its earlier process.
Test(Membership, restart_with_new_incarnation_replaces_entry) {
  Fleet Vms(4, true);
  cr_assert(eventually([&] { return Vms.allLive(4); }));
  Vms[3].stop();
  Vms.Loops[3]->stop();
  PeerOptions Options = fleetOptions(3);
  Options.Self.Incarnation = 2;
  IoThreads OwnLoop(1);
  ControlNode Restarted(OwnLoop, Options);
  Restarted.Members.update({Vms[0].Members.self()});
  Restarted.start();
  cr_assert(eventually([&] {
    for (std::size_t At = 0; At < 3; ++At) {
      const auto Item = Vms[At].member("vm-3");
      if (!Item || Item->Incarnation != 2 ||
          Item->State != core::MemberState::Live)
        return false;
    }
    return Restarted.live() == 4;
  }));
  Restarted.stop();
  OwnLoop.stop();
}

// Guards against a leaving VM that is still chosen as dispatcher because its
// state reaches the others too late.
Test(Membership, leaving_state_reaches_all) {
  Fleet Vms(6);
  cr_assert(eventually([&] { return Vms.allLive(6); }));
  Vms[2].Members.leave();
  Vms[2].Gossiper.announce();
  cr_assert(eventually(
      [&] {
        for (std::size_t At = 0; At < 6; ++At)
          if (Vms[At].member("vm-2")->State != core::MemberState::Leaving)
            return false;
        return true;
      },
      1000ms));
}

// Guards against a paused VM that after resuming suspects the others, because
// it counts its pause as their silence, and against one that stays suspect.
Test(Membership, paused_vm_resumes_without_suspecting_others) {
  Fleet Vms(5, true);
  cr_assert(eventually([&] { return Vms.allLive(5); }));
  Vms.Loops[0]->pause(2500ms);
  std::this_thread::sleep_for(1800ms);
  for (std::size_t At = 1; At < 5; ++At)
    cr_assert(Vms[At].member("vm-0")->State == core::MemberState::Suspect);
  const std::size_t Changes = Vms[0].Events.count("member.changed");
  cr_assert(eventually([&] { return Vms.allLive(5); }, 3000ms));
  cr_assert_eq(Vms[0].Events.count("member.changed"), Changes);
}

// Guards against halves of a partitioned fleet that do not reconnect. Each half
// has removed the other, but the platform's list still contains all VMs.
Test(Membership, partitioned_fleet_reunites) {
  Fleet Vms(6, true);
  cr_assert(eventually([&] { return Vms.allLive(6); }));
  // A paused half sends no frames, so the running half removes its VMs.
  for (std::size_t At = 0; At < 3; ++At)
    Vms.Loops[At]->pause(5500ms);
  cr_assert(
      eventually([&] { return Vms[4].Members.members().size() == 3; }, 5400ms));
  cr_assert(Vms[4].Config.apply(snapshot(7)));
  cr_assert(eventually([&] { return Vms.allLive(6) && Vms.allAtRevision(7); },
                       8000ms));
}

// Guards against a revision that does not reach every VM, and against a VM that
// returns to an earlier one, when many revisions follow each other quickly.
Test(ConfigSync, every_revision_reaches_all_vms_in_increasing_order) {
  Fleet Vms(14);
  cr_assert(eventually([&] { return Vms.allLive(14); }));
  for (core::Revision Revision = 1; Revision <= 50; ++Revision)
    cr_assert(Vms[Revision % 2].Config.apply(snapshot(Revision)) ||
              Vms[Revision % 2].Config.current()->revision() >= Revision);
  cr_assert(eventually([&] { return Vms.allAtRevision(50); }, 2000ms));
  for (std::size_t At = 0; At < 14; ++At) {
    cr_assert_eq(Vms[At].RevisionRegressions, 0);
    cr_assert(*Vms[At].Config.current() == *snapshot(50));
  }
}

// Guards against a starting VM that needs the store although a peer has the
// configuration.
Test(ConfigSync, starting_vm_takes_configuration_from_peer) {
  Fleet Vms(3, true);
  cr_assert(Vms[0].Config.apply(snapshot(9)));
  IoThreads OwnLoop(1);
  ControlNode Late(OwnLoop, fleetOptions(9));
  Late.Members.update({Vms[0].Members.self(), Vms[1].Members.self()});
  Late.start();
  cr_assert(OwnLoop.run(
      Late.Sync.requestFromPeers(std::chrono::steady_clock::now() + 3s)));
  cr_assert_eq(Late.Config.current()->revision(), 9);
  Late.stop();
  OwnLoop.stop();
}

// Guards against a paused VM that after resuming keeps its old configuration or
// spreads it to the others.
Test(ConfigSync, paused_vm_catches_up_after_resuming) {
  Fleet Vms(5, true);
  cr_assert(eventually([&] { return Vms.allLive(5); }));
  cr_assert(Vms[1].Config.apply(snapshot(1)));
  cr_assert(eventually([&] { return Vms.allAtRevision(1); }));
  Vms.Loops[0]->pause(1500ms);
  cr_assert(Vms[1].Config.apply(snapshot(2)));
  cr_assert(Vms[1].Config.apply(snapshot(3)));
  std::this_thread::sleep_for(1500ms);
  cr_assert(eventually([&] { return Vms.allAtRevision(3); }, 2000ms));
  for (std::size_t At = 0; At < 5; ++At)
    cr_assert_eq(Vms[At].RevisionRegressions, 0);
}

// Guards against control traffic of more than 9 kB/s and CPU use of more than
// 0.016 core per VM, with 50 VMs at the default gossip interval.
Test(Gossip, control_traffic_of_fifty_vms_stays_within_budget) {
  Fleet Vms(50, false, 500ms);
  cr_assert(eventually([&] { return Vms.allLive(50); }, 10000ms));
  std::this_thread::sleep_for(2s);
  std::uint64_t Before = 0;
  for (const auto &Node : Vms.Nodes)
    Before += Node->Links->counters().controlBytes();
  const std::clock_t Cpu = std::clock();
  std::this_thread::sleep_for(10s);
  std::uint64_t After = 0;
  for (const auto &Node : Vms.Nodes)
    After += Node->Links->counters().controlBytes();
  const double PerVm = static_cast<double>(After - Before) / 50 / 10;
  const double Core =
      static_cast<double>(std::clock() - Cpu) / CLOCKS_PER_SEC / 50 / 10;
  std::fprintf(stderr, "control: %.0f bytes/s per VM, %.4f of a core\n", PerVm,
               Core);
  cr_assert(Vms.allLive(50));
  cr_assert_leq(PerVm, 9000);
  cr_assert_leq(Core, 0.016);
}
