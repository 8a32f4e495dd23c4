#include "directory_fleet.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace std::chrono_literals;
using tests::DirectoryFleet;
using tests::StorePath;

namespace {

// No request that is sent later than this after the removal of its API key was
// acknowledged may be let in.
constexpr auto Revoke = 5000ms;

/// @brief One random fault of a VM, a link or the store, or its end.
void disturb(DirectoryFleet &Fleet) {
  const std::size_t Vm = Fleet.Run.below(Fleet.size());
  const std::size_t Other = Fleet.Run.below(Fleet.size());
  const auto UpTo = [&](std::uint64_t Max) {
    return std::chrono::milliseconds(Fleet.Run.below(Max));
  };
  switch (Fleet.Run.below(14)) {
  case 0:
    return Fleet.Vms[Vm]->freeze(UpTo(9000));
  case 1:
    return Fleet.Vms[Fleet.Run.below(4)]->freeze(UpTo(9000));
  case 2:
    for (std::size_t Receiver = 0; Receiver < Fleet.size(); ++Receiver)
      Fleet.setLink(Vm, Receiver, Fleet.Run.chance(50));
    return;
  case 3:
    for (std::size_t Sender = 0; Sender < Fleet.size(); ++Sender)
      Fleet.setLink(Sender, Vm, Fleet.Run.chance(30));
    return;
  case 4:
    return Fleet.Vms[Vm]->setTrust(Other % 10, Fleet.Run.chance(50));
  case 5: {
    const std::uint64_t OpenPercent = Fleet.Run.below(100);
    const StorePath Path =
        Fleet.Run.chance(50) ? StorePath::Silent : StorePath::Rejecting;
    for (const auto &Each : Fleet.Vms)
      Each->setPath(Fleet.Run.chance(OpenPercent) ? StorePath::Open : Path);
    return;
  }
  case 6:
    for (const auto &Each : Fleet.Vms)
      Each->setPath(StorePath::Open);
    return;
  case 7:
    return Fleet.Store.dropHistory();
  case 8:
    // A link that opens while its ends are delayed or frozen.
    for (std::size_t Receiver = 0; Receiver < Fleet.size(); ++Receiver)
      Fleet.reopenLink(Vm, Receiver, UpTo(6000));
    return;
  case 9:
    // What this VM sends waits for seconds.
    return Fleet.setLinkRate(Vm, Fleet.Run.chance(50) ? 1 : 125000);
  case 10:
    Fleet.Store.WatchLag = UpTo(1000);
    return;
  case 11:
  case 12: {
    // From here on this VM hears of nothing, or of everything.
    const bool Cut = Fleet.Run.chance(75);
    Fleet.Vms[Vm]->setPath(Cut ? StorePath::Silent : StorePath::Open);
    for (std::size_t Sender = 0; Sender < Fleet.size(); ++Sender)
      Fleet.setLink(Sender, Vm, !Cut);
    return;
  }
  default:
    Fleet.StoreLatency = Fleet.Run.chance(50) ? 4ms : UpTo(800);
  }
}

void runSeries(std::size_t Size, std::uint64_t Seed, std::uint64_t &Admitted) {
  DirectoryFleet Fleet(Size, Seed);
  Fleet.AnswersWhileFrozen = true;
  Fleet.run(3s);
  for (int Step = 0; Step < 40; ++Step) {
    if (Fleet.Run.chance(60))
      disturb(Fleet);
    for (int Change = 0; Change < 3; ++Change) {
      if (Fleet.Run.chance(60))
        Fleet.changeConfig();
      Fleet.run(std::chrono::milliseconds(Fleet.Run.below(500)));
    }
  }
  cr_expect_leq(Fleet.WorstRevocation.count(), Revoke.count(),
                "seed %llu: a key counted %lld ms after its removal",
                static_cast<unsigned long long>(Seed),
                static_cast<long long>(Fleet.WorstRevocation.count()));
  Admitted += Fleet.AdmittedSamples;
}

} // namespace

// Guards against a VM, in touch or not, that lets a request in whose API key
// was removed long before: frozen or cut off VMs, lost, late and old reports,
// links that open slowly, a store that is away, slow or holds changes back.
Test(Revocation, removed_key_never_counts_later_than_the_bound) {
  std::uint64_t Admitted = 0;
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed)
    runSeries(12, Seed, Admitted);
  for (std::uint64_t Seed = 1; Seed <= 12; ++Seed)
    runSeries(40, Seed, Admitted);
  cr_assert_gt(Admitted, 10000);
}

// Guards against callers that are refused although nothing is wrong, or while a
// lost reader is replaced.
Test(Revocation, vms_in_touch_never_refuse_a_key) {
  for (const std::size_t Size : {1U, 3U, 30U, 100U}) {
    DirectoryFleet Fleet(Size, Size);
    Fleet.run(5s);
    const std::uint64_t Before = Fleet.RefusedSamples;
    Fleet.run(20s);
    Fleet.Vms[0]->freeze(6s);
    Fleet.run(12s);
    if (Size > 1)
      Fleet.lose(0);
    for (int Change = 0; Change < 10; ++Change) {
      Fleet.changeConfig();
      Fleet.run(1500ms);
    }
    cr_expect_eq(Fleet.RefusedSamples, Before, "%zu VMs", Size);
    cr_expect_leq(Fleet.WorstRevocation.count(), Revoke.count());
  }
}

// Guards against a VM that counts on others although nobody reaches it.
Test(Revocation, vm_that_is_cut_off_refuses_keys) {
  DirectoryFleet Fleet(30, 5);
  Fleet.run(5s);
  for (const std::size_t Vm : {0U, 1U, 29U}) {
    Fleet.Vms[Vm]->setPath(StorePath::Silent);
    for (std::size_t Sender = 0; Sender < Fleet.size(); ++Sender)
      Fleet.setLink(Sender, Vm, false);
  }
  Fleet.run(2s);
  cr_assert(Fleet.Vms[29]->admitsKeys(), "a short cut");
  Fleet.run(2s);
  for (const std::size_t Vm : {0U, 1U, 29U})
    cr_assert_not(Fleet.Vms[Vm]->admitsKeys());
  cr_assert(Fleet.Vms[2]->admitsKeys());
}

// Guards against a VM that takes a state of unknown age for a recent one.
Test(Revocation, vm_that_starts_without_the_store_refuses_keys) {
  DirectoryFleet Fleet(4, 6);
  for (const auto &Vm : Fleet.Vms)
    Vm->setPath(StorePath::Rejecting);
  Fleet.run(10s);
  for (const auto &Vm : Fleet.Vms)
    cr_assert_not(Vm->admitsKeys());
  Fleet.Vms[3]->setPath(StorePath::Open);
  Fleet.run(4s);
  cr_assert(Fleet.Vms[3]->admitsKeys());
}

// Guards against VMs that are frozen and know nothing of it when they go on.
Test(Revocation, vm_that_was_frozen_refuses_keys_until_it_is_up_to_date) {
  DirectoryFleet Fleet(30, 7);
  Fleet.AnswersWhileFrozen = true;
  Fleet.run(5s);
  for (const auto &Vm : Fleet.Vms)
    Vm->freeze(8s);
  Fleet.run(100ms);
  Fleet.changeConfig();
  Fleet.run(15s);
  cr_assert_leq(Fleet.WorstRevocation.count(), Revoke.count());
  for (const auto &Vm : Fleet.Vms)
    cr_assert(Vm->admitsKeys());
}

// Guards against a VM that starts and takes the first answers of the store for
// recent ones, although it was frozen since it asked.
Test(Revocation, first_answer_is_as_old_as_its_question) {
  for (auto FreezeAt = 2ms; FreezeAt < 450ms; FreezeAt += 4ms) {
    DirectoryFleet Fleet(1, 8);
    Fleet.AnswersWhileFrozen = true;
    Fleet.run(FreezeAt);
    Fleet.Vms[0]->freeze(8s);
    Fleet.run(1s);
    Fleet.changeConfig();
    Fleet.run(7005ms);
    Fleet.Vms[0]->setPath(StorePath::Silent);
    Fleet.run(2s);
    cr_expect_leq(Fleet.WorstRevocation.count(), Revoke.count(),
                  "frozen at %lld ms",
                  static_cast<long long>(FreezeAt.count()));
  }
}

// Guards against a store that ends its watches early, whose empty answers
// arrive when the wait should have ended.
Test(Revocation, early_empty_answer_counts_from_its_question) {
  for (const std::size_t Size : {1U, 30U}) {
    DirectoryFleet Fleet(Size, 9);
    Fleet.run(5s);
    Fleet.StoreEndsWatchesEarly = true;
    Fleet.Store.WatchLag = 1000ms;
    for (int Change = 0; Change < 40; ++Change) {
      Fleet.changeConfig();
      Fleet.run(std::chrono::milliseconds(Fleet.Run.below(3000)));
      for (const auto &Vm : Fleet.Vms)
        Vm->setPath(Change % 2 == 0 ? StorePath::Silent : StorePath::Open);
      Fleet.run(4500ms);
    }
    cr_expect_leq(Fleet.WorstRevocation.count(), Revoke.count(), "%zu VMs",
                  Size);
  }
}
