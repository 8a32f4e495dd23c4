#include "quota_fleet.hpp"

#include <criterion/criterion.h>

using namespace quota_fleet;

namespace {

constexpr std::size_t VmCount = 3;
constexpr std::uint64_t SeedCount = 8;
// Rate and burst of the workspace; a window has 300 requests.
constexpr double PerS = 40;
constexpr double Burst = 100;

// Runs a workspace that sends four times its rate from the tenth second on.
// Checks that its requests stay within the quota, whatever happens to the VMs.
void checkHot(const char *Name, const std::function<void(Fleet &)> &Trouble) {
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    Fleet Sim(Seed, VmCount, VmCount, 1);
    const Load &Item = Sim.add(
        PerS, Burst, [](Millis At) { return At >= 10s ? 4 * PerS : 0; });
    Sim.run(12s);
    Trouble(Sim);
    Sim.run(10s);
    cr_expect_leq(Item.MaxExcess, 0, "%s, seed %zu: %.1f above", Name,
                  static_cast<std::size_t>(Seed), Item.MaxExcess);
  }
}

void restartAll(Fleet &Sim, const std::vector<std::size_t> &Vms) {
  for (const std::size_t Vm : Vms)
    Sim.kill(Vm);
  Sim.run(300ms);
  for (const std::size_t Vm : Vms)
    Sim.restart(Vm);
}

} // namespace

// Guards against a dispatcher that gives out the allowance of a window again
// after a restart, because only its earlier process knew what was used.
Test(QuotaRestart, restarted_dispatcher_does_not_give_out_a_window_again) {
  for (std::size_t Vm = 0; Vm < VmCount; ++Vm)
    checkHot("one", [&](Fleet &Sim) { restartAll(Sim, {Vm}); });
}

// Guards against the same where no dispatcher is left that knows.
Test(QuotaRestart, dispatchers_restarted_together_do_not_either) {
  for (std::size_t Vm = 0; Vm < VmCount; ++Vm)
    checkHot("two", [&](Fleet &Sim) {
      restartAll(Sim, {Vm, (Vm + 1) % VmCount});
    });
  checkHot("all", [](Fleet &Sim) { restartAll(Sim, {0, 1, 2}); });
}

// Guards against a VM that becomes a dispatcher without knowing what was used,
// because it did not report before.
Test(QuotaRestart, vm_that_takes_over_does_not_give_out_a_window_again) {
  for (std::size_t Vm = 0; Vm < VmCount; ++Vm)
    checkHot("takeover", [&](Fleet &Sim) { Sim.kill(Vm); });
}

// Guards against a VM that is cut off for a moment and comes back as dispatcher
// with an outdated count.
Test(QuotaRestart, vm_that_was_cut_off_does_not_give_out_a_window_again) {
  for (std::size_t Vm = 0; Vm < VmCount; ++Vm)
    checkHot("cut", [&](Fleet &Sim) {
      Sim.partition([&](std::size_t Other) { return Other == Vm; });
      Sim.run(2500ms);
      Sim.heal();
    });
}

// Guards against requests that are refused after a restart although nothing was
// used: the other dispatcher knows that.
Test(QuotaRestart, unused_quota_is_not_refused_after_a_restart) {
  for (std::size_t Vm = 0; Vm < VmCount; ++Vm)
    for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
      Fleet Sim(Seed, VmCount, VmCount, 1);
      // 190 of 300 requests within a second, right after the restart.
      const Load &Item = Sim.add(PerS, Burst, [](Millis At) {
        return At >= 12300ms && At < 13300ms ? 190 : 0;
      });
      Sim.run(12s);
      restartAll(Sim, {Vm});
      Sim.run(5s);
      cr_expect_leq(Item.OwedRefused, Item.Owed / 50,
                    "VM %zu, seed %zu: %d of %d refused", Vm,
                    static_cast<std::size_t>(Seed), Item.OwedRefused,
                    Item.Owed);
    }
}
