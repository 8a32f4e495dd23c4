#include "directory_fleet.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cmath>
#include <criterion/criterion.h>
#include <vector>

using namespace jujubecart;
using namespace std::chrono_literals;
using tests::DirectoryFleet;
using tests::StorePath;

namespace {

// A server gets no requests from this time on after its entry was removed.
constexpr auto MaxRemovalLag = 2000ms;
// An acknowledged change must be in force within this time on every VM that can
// read the store.
constexpr auto MaxConfigLag = 2000ms;
constexpr auto ChangeInterval = 2000ms;
constexpr std::size_t FleetSize = 100;

/// @brief Runs for a time during which the configuration changes regularly.
void runWithChanges(DirectoryFleet &Fleet, std::chrono::milliseconds Duration) {
  for (auto Passed = 0ms; Passed < Duration; Passed += ChangeInterval) {
    Fleet.run(ChangeInterval);
    Fleet.changeConfig();
  }
}

void expectTimely(const DirectoryFleet &Fleet, const char *Case) {
  cr_expect_leq(Fleet.WorstLag.count(), MaxConfigLag.count(),
                "%s: VM %zu applied a version %lld ms late", Case,
                Fleet.WorstVm, static_cast<long long>(Fleet.WorstLag.count()));
}

/// @brief Removes servers one after the other, at different moments of the
/// watches, and long enough apart for the fleet to be quiet in between.
void expectTimelyRemovals(DirectoryFleet &Fleet, const char *Case) {
  constexpr int Removals = 40;
  for (int Number = 0; Number < Removals; ++Number)
    Fleet.addServer("s" + std::to_string(Number));
  Fleet.run(5s);
  for (int Number = 0; Number < Removals; ++Number) {
    Fleet.removeServer("s" + std::to_string(Number));
    Fleet.run(4s + std::chrono::milliseconds(Fleet.Run.below(1500)));
  }
  cr_expect_leq(Fleet.WorstRemovalLag.count(), MaxRemovalLag.count(),
                "%s: a server was used %lld ms after its removal", Case,
                static_cast<long long>(Fleet.WorstRemovalLag.count()));
}

/// @brief Gives all VMs but some random ones a path that does not work.
void closePaths(DirectoryFleet &Fleet, std::uint64_t OpenPercent,
                StorePath Path) {
  for (const auto &Vm : Fleet.Vms)
    Vm->setPath(Fleet.Run.chance(OpenPercent) ? StorePath::Open : Path);
}

/// @brief One random fault or its end.
void disturb(DirectoryFleet &Fleet) {
  const std::size_t Vm = Fleet.Run.below(Fleet.size());
  const std::size_t Other = Fleet.Run.below(Fleet.size());
  switch (Fleet.Run.below(8)) {
  case 0:
    Fleet.Vms[Vm]->freeze(std::chrono::milliseconds(Fleet.Run.below(6000)));
    break;
  case 1:
    Fleet.Vms[Fleet.Run.below(10)]->freeze(4000ms);
    break;
  case 2:
    for (std::size_t Receiver = 0; Receiver < Fleet.size(); ++Receiver)
      Fleet.setLink(Vm, Receiver, Fleet.Run.chance(50));
    break;
  case 3:
    for (std::size_t Sender = 0; Sender < Fleet.size(); ++Sender)
      Fleet.setLink(Sender, Vm, Fleet.Run.chance(30));
    break;
  case 4:
    Fleet.Vms[Vm]->setTrust(Other % 10, Fleet.Run.chance(50));
    break;
  case 5:
    closePaths(Fleet, Fleet.Run.below(100),
               Fleet.Run.chance(50) ? StorePath::Silent : StorePath::Rejecting);
    break;
  case 6:
    closePaths(Fleet, 100, StorePath::Open);
    break;
  default:
    Fleet.Store.dropHistory();
  }
}

} // namespace

// Guards against a VM that can read the store but gets an acknowledged
// configuration seconds late, because the VMs that rank before it cannot read
// the store and it waits for its turn.
Test(DirectoryFleet, vm_that_reaches_the_store_is_up_to_date_if_most_cannot) {
  for (const StorePath Path : {StorePath::Rejecting, StorePath::Silent})
    for (const std::uint64_t OpenPercent : {1U, 5U, 15U, 40U}) {
      DirectoryFleet Fleet(FleetSize, OpenPercent);
      Fleet.run(5s);
      closePaths(Fleet, OpenPercent, Path);
      runWithChanges(Fleet, 14s);
      expectTimely(Fleet, Path == StorePath::Silent ? "silent" : "rejecting");
    }
}

// Guards against a VM that gets an acknowledged configuration seconds late
// because the broadcasts to it are lost, while the reader takes it for told.
Test(DirectoryFleet, vm_without_broadcasts_is_up_to_date) {
  DirectoryFleet Fleet(FleetSize, 1);
  Fleet.run(5s);
  for (const std::size_t Vm : {1U, 9U, 40U, 99U})
    for (std::size_t Sender = 0; Sender < FleetSize; ++Sender)
      Fleet.setLink(Sender, Vm, false);
  runWithChanges(Fleet, 20s);
  expectTimely(Fleet, "no broadcasts");
}

// Guards against VMs that wait for readers that are frozen together.
Test(DirectoryFleet, vms_are_up_to_date_while_the_first_ranks_are_frozen) {
  DirectoryFleet Fleet(FleetSize, 2);
  Fleet.run(5s);
  for (std::size_t Vm = 0; Vm < 30; ++Vm)
    Fleet.Vms[Vm]->freeze(9s);
  runWithChanges(Fleet, 14s);
  expectTimely(Fleet, "frozen readers");
}

// Guards against a reader that lags and whose broadcasts keep the other VMs
// from reading the store.
Test(DirectoryFleet, broadcasts_of_a_lagging_reader_confirm_nothing) {
  DirectoryFleet Fleet(FleetSize, 3);
  Fleet.run(5s);
  Fleet.changeConfig();
  Fleet.run(1s);
  // The changes of a reader that was frozen with an answer in its hands arrive
  // again and again.
  for (std::size_t Vm = 1; Vm < FleetSize; ++Vm)
    for (std::size_t Sender = 0; Sender < FleetSize; ++Sender)
      Fleet.setLink(Sender, Vm, false);
  const core::EntryChanges Outdated{.After = 1,
                                    .List = {.Entries = {}, .AsOf = 1}};
  for (int Round = 0; Round < 16; ++Round) {
    for (const auto &Vm : Fleet.Vms)
      boost::asio::co_spawn(
          Fleet.Run.context(),
          Vm->deliver({Outdated, Fleet.Run.now()}, {}, Fleet.Run.now()),
          boost::asio::detached);
    if (Round % 4 == 0)
      Fleet.changeConfig();
    Fleet.run(500ms);
  }
  expectTimely(Fleet, "lagging reader");
}

// Guards against changes that wait in the full link of the reader and, when
// they arrive, count as read at that instant: they keep every VM from reading
// the store although all of them are seconds behind.
Test(DirectoryFleet, vms_are_up_to_date_while_the_link_of_the_reader_is_full) {
  constexpr std::size_t SlowLink = 2500; // 20 Mbit/s.
  constexpr std::size_t ConfigBytes = 8192;
  constexpr int Servers = 156;
  DirectoryFleet Fleet(300, 4);
  for (int Number = 0; Number < Servers; ++Number)
    Fleet.addServer("s" + std::to_string(Number));
  Fleet.run(5s);
  Fleet.setLinkRate(0, SlowLink);
  for (int Number = 0; Number < Servers; ++Number) {
    Fleet.removeServer("s" + std::to_string(Number));
    if (Number % 22 == 0)
      Fleet.changeConfig(ConfigBytes);
    Fleet.run(32ms);
  }
  Fleet.run(5s);
  expectTimely(Fleet, "full link");
}

// Guards against a small VM that hears nothing, makes itself the reader for the
// whole fleet and is busy with sending for seconds, in which it applies no
// change itself.
Test(DirectoryFleet, small_vm_that_hears_nothing_is_up_to_date) {
  constexpr std::size_t Small = 283;
  // A tenth of a core, and a link that has to be opened for most messages.
  constexpr auto SendTime = 10ms;
  DirectoryFleet Fleet(300, 6);
  Fleet.run(5s);
  Fleet.Vms[Small]->setSendTime(SendTime);
  for (std::size_t Sender = 0; Sender < Fleet.size(); ++Sender)
    Fleet.setLink(Sender, Small, false);
  for (int Change = 0; Change < 40; ++Change) {
    Fleet.changeConfig();
    Fleet.run(300ms);
  }
  expectTimely(Fleet, "small reader");
}

// Guards against combinations of faults that leave a VM with an outdated
// configuration although it can read the store.
Test(DirectoryFleet, random_faults_delay_no_vm_that_reaches_the_store) {
  for (std::uint64_t Seed = 1; Seed <= 12; ++Seed) {
    DirectoryFleet Fleet(FleetSize, Seed);
    Fleet.run(4s);
    for (int Step = 0; Step < 60; ++Step) {
      disturb(Fleet);
      Fleet.run(std::chrono::milliseconds(Fleet.Run.below(1000)));
      if (Fleet.Run.chance(30))
        Fleet.changeConfig();
    }
    expectTimely(Fleet, ("seed " + std::to_string(Seed)).c_str());
  }
}

// Guards against a stampede: a large fleet whose VMs all call a store that is
// down, several times a second each.
Test(DirectoryFleet, calls_to_a_store_that_is_down_are_bounded) {
  constexpr auto Outage = 10s;
  constexpr std::uint64_t Size = 300;
  constexpr std::uint64_t CurrentReadPrice = 10;
  // A VM that has heard nothing tries every two seconds; the eight of the first
  // ranks try up to twice a second. After its first failed call a VM asks for a
  // stale read, at a tenth of the price.
  constexpr std::uint64_t MaxCalls =
      Size * (Outage / 2s) + std::uint64_t{8} * (Outage / 500ms);
  constexpr std::uint64_t MaxPrice = MaxCalls + Size * CurrentReadPrice;
  for (const StorePath Path : {StorePath::Rejecting, StorePath::Silent}) {
    DirectoryFleet Fleet(Size, 7);
    Fleet.run(5s);
    const std::uint64_t Calls = Fleet.calls();
    const std::uint64_t Price = Fleet.callPrice();
    closePaths(Fleet, 0, Path);
    Fleet.run(Outage);
    cr_expect_leq(Fleet.calls() - Calls, MaxCalls);
    cr_expect_leq(Fleet.callPrice() - Price, MaxPrice);
  }
}

// Guards against broadcasts of all VMs to all others when a store returns.
Test(DirectoryFleet, few_vms_broadcast_when_the_store_returns) {
  for (const StorePath Path : {StorePath::Rejecting, StorePath::Silent}) {
    DirectoryFleet Fleet(300, 8);
    Fleet.run(5s);
    closePaths(Fleet, 0, Path);
    Fleet.run(8s);
    Fleet.changeConfig();
    const std::uint64_t Before = Fleet.broadcasts();
    closePaths(Fleet, 100, Path);
    Fleet.run(3s);
    cr_expect_leq(Fleet.broadcasts() - Before, 40);
    runWithChanges(Fleet, 4s);
    expectTimely(Fleet, "store returns");
  }
}

// Guards against a quiet fleet that takes the normal time between two answers
// of the store for an outage and therefore keeps servers that are gone, in each
// of the modes in which a VM learns of changes.
Test(DirectoryFleet, removed_server_is_gone_in_time_in_every_mode) {
  for (const std::size_t Size : {1U, 2U, 3U, 20U}) {
    DirectoryFleet Fleet(Size, Size);
    Fleet.run(5s);
    expectTimelyRemovals(Fleet, ("VMs: " + std::to_string(Size)).c_str());
  }
  for (const std::size_t Lost : {0U, 1U}) {
    DirectoryFleet Fleet(2, Lost + 30);
    Fleet.run(5s);
    Fleet.lose(Lost);
    Fleet.run(5s);
    expectTimelyRemovals(Fleet, Lost == 0 ? "reader lost" : "other VM lost");
  }
  DirectoryFleet Relisting(1, 40);
  Relisting.run(5s);
  Relisting.Store.dropHistory();
  expectTimelyRemovals(Relisting, "history lost");
  for (const std::size_t Size : {1U, 3U}) {
    DirectoryFleet Slow(Size, 50 + Size);
    Slow.StoreLatency = 60ms;
    Slow.run(5s);
    expectTimelyRemovals(Slow, "slower store");
  }
}

// Guards against a VM that takes the time in which it waits for the reader, and
// then takes over from it, for an outage of the store.
Test(DirectoryFleet, server_removed_while_the_reader_is_lost_is_gone_in_time) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    DirectoryFleet Fleet(20, Seed);
    Fleet.addServer("a");
    Fleet.run(5s + std::chrono::milliseconds(Fleet.Run.below(1000)));
    Fleet.lose(0);
    Fleet.run(std::chrono::milliseconds(Fleet.Run.below(1000)));
    Fleet.removeServer("a");
    Fleet.run(6s);
    cr_expect_leq(Fleet.WorstRemovalLag.count(), MaxRemovalLag.count());
  }
}

// Guards against a lone VM that drops all servers whose entries were lost in an
// outage of the store and are about to be written again.
Test(DirectoryFleet, lone_vm_keeps_servers_that_an_outage_made_vanish) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    DirectoryFleet Fleet(1, Seed);
    Fleet.addServer("a");
    Fleet.run(5s + std::chrono::milliseconds(Fleet.Run.below(2000)));
    Fleet.Vms[0]->setPath(StorePath::Rejecting);
    Fleet.run(2500ms);
    Fleet.Store.erase("s/a");
    Fleet.Vms[0]->setPath(StorePath::Open);
    for (int Step = 0; Step < 18; ++Step) {
      Fleet.run(100ms);
      cr_assert(Fleet.Vms[0]->knowsServer("a"), "seed %d, step %d",
                static_cast<int>(Seed), Step);
    }
    Fleet.addServer("a");
    Fleet.run(5s);
    cr_assert(Fleet.Vms[0]->knowsServer("a"));
  }
}

// Guards against a VM whose messages grow with the fleet, so that it falls
// behind at the size of two years.
Test(DirectoryFleet, bytes_of_the_busiest_vm_grow_slower_than_the_fleet) {
  std::uint64_t Smallest = 0;
  for (const std::size_t Size : {30U, 100U, 300U, 900U}) {
    DirectoryFleet Fleet(Size, 9);
    Fleet.run(5s);
    const std::uint64_t Before = Fleet.mostSentBytes();
    for (int Change = 0; Change < 10; ++Change) {
      Fleet.changeConfig(8192);
      Fleet.run(500ms);
    }
    expectTimely(Fleet, "growing fleet");
    const std::uint64_t Sent = Fleet.mostSentBytes() - Before;
    cr_log_info("%zu VMs: the busiest sent %zu bytes in 5 s, worst lag %lld ms",
                Size, static_cast<std::size_t>(Sent),
                static_cast<long long>(Fleet.WorstLag.count()));
    if (Smallest == 0)
      Smallest = Sent;
    // Twice the square root, since the parts of the relays differ in size.
    const double MaxGrowth = 2 * std::sqrt(static_cast<double>(Size) / 30);
    cr_expect_leq(static_cast<double>(Sent),
                  MaxGrowth * static_cast<double>(Smallest), "%zu VMs: %zu",
                  Size, static_cast<std::size_t>(Sent));
  }
}
