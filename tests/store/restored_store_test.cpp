#include "directory_fleet.hpp"

#include <criterion/criterion.h>
#include <string>
#include <vector>

using namespace jujubecart;
using namespace std::chrono_literals;
using tests::DirectoryFleet;

namespace {

/// @brief Writes what is lost in a restored store: a new server, a server that
/// drains and an evacuated zone that has no servers.
void writeAfterCopy(DirectoryFleet &Fleet, int Sequence) {
  Fleet.addServer("new");
  Fleet.Store.write("s/leaving", "draining " + std::to_string(Sequence));
  Fleet.Store.write("s/stays", "active " + std::to_string(Sequence));
  Fleet.Store.write("e/z9", "{}");
}

/// @brief Servers that each VM of a fleet has seen, and has seen to drain.
struct SeenServers {
  explicit SeenServers(const DirectoryFleet &Fleet)
      : New(Fleet.size()), Leaving(Fleet.size()) {}

  /// @brief Expects that no VM goes back to an older state.
  void check(const DirectoryFleet &Fleet, std::uint64_t Seed) {
    for (std::size_t Vm = 0; Vm < Fleet.size(); ++Vm) {
      const bool KnowsNew = Fleet.Vms[Vm]->knowsServer("new");
      const bool Drains = Fleet.Vms[Vm]->knowsServer("leaving") &&
                          !Fleet.Vms[Vm]->usesServer("leaving");
      cr_expect(KnowsNew || !New[Vm], "seed %d: VM %zu lost a server",
                static_cast<int>(Seed), Vm);
      cr_expect(Drains || !Leaving[Vm], "seed %d: VM %zu uses a server again",
                static_cast<int>(Seed), Vm);
      New[Vm] = New[Vm] || KnowsNew;
      Leaving[Vm] = Leaving[Vm] || Drains;
    }
  }

  std::vector<bool> New;
  std::vector<bool> Leaving;
};

} // namespace

// Guards against a VM that refuses the entries of a store that came back from a
// copy, because their revisions are lower, or that goes back to older ones.
Test(DirectoryFleet, vms_agree_after_the_store_came_back_from_a_copy) {
  for (const std::size_t Size : {1U, 3U, 40U})
    for (std::uint64_t Seed = 1; Seed <= 8; ++Seed) {
      DirectoryFleet Fleet(Size, Seed);
      Fleet.addServer("stays");
      Fleet.Store.write("s/leaving", "active 4");
      Fleet.run(5s);
      Fleet.Store.copy();
      SeenServers Seen(Fleet);
      Fleet.changeConfig();
      writeAfterCopy(Fleet, 8);
      Fleet.run(std::chrono::milliseconds(Fleet.Run.below(1500)));
      // It continues with an answer of the earlier era.
      Fleet.Vms[Fleet.Run.below(Size)]->freeze(
          std::chrono::milliseconds(Fleet.Run.below(3000)));
      Fleet.run(std::chrono::milliseconds(Fleet.Run.below(300)));
      Seen.check(Fleet, Seed);
      const std::uint64_t Broadcasts = Fleet.broadcasts();
      Fleet.Store.restore();
      const auto WrittenAgain = Fleet.Run.below(1500);
      Fleet.run(std::chrono::milliseconds(WrittenAgain));
      Seen.check(Fleet, Seed);
      Fleet.Store.write("config", "2");
      writeAfterCopy(Fleet, 9);
      for (int Step = 0; Step < 60; ++Step) {
        Fleet.run(100ms);
        Seen.check(Fleet, Seed);
      }
      cr_expect_leq(Fleet.broadcasts() - Broadcasts, 60);
      for (const auto &Vm : Fleet.Vms) {
        cr_expect_eq(Vm->configVersion(), 2);
        cr_expect(Vm->usesServer("stays"));
        cr_expect(Vm->usesServer("new"));
        cr_expect(Vm->knowsServer("leaving") && !Vm->usesServer("leaving"));
      }
      Fleet.changeConfig();
      Fleet.removeServer("new");
      Fleet.run(4s);
      for (const auto &Vm : Fleet.Vms) {
        cr_expect_eq(Vm->configVersion(), 3);
        cr_expect_not(Vm->knowsServer("new"));
      }
    }
}

// Guards against VMs that keep for good what a restored store has lost and
// nobody writes again.
Test(DirectoryFleet, what_nobody_writes_again_is_gone) {
  for (std::uint64_t Seed = 1; Seed <= 8; ++Seed) {
    DirectoryFleet Fleet(20, Seed);
    Fleet.addServer("stays");
    Fleet.run(5s);
    Fleet.Store.copy();
    Fleet.addServer("new");
    Fleet.run(1s);
    Fleet.Store.restore();
    Fleet.run(6s);
    for (const auto &Vm : Fleet.Vms) {
      cr_expect(Vm->usesServer("stays"));
      cr_expect_not(Vm->knowsServer("new"));
    }
  }
}
