#include "quota_scenarios.hpp"

using namespace quota_fleet;

// Guards against requests that are refused although the workspace stays below
// its quota.
Test(WorkspaceQuotas, usual_load_is_not_refused) {
  checkScenario(
      "usual",
      [](Fleet &Sim) {
        addUsual(Sim, 1);
        Sim.run(30s);
      },
      0.05, true);
}

// Guards against shares that add up to more than the quota when a workspace
// sends several times as much as it may.
Test(WorkspaceQuotas, hot_workspace_stays_within_quota) {
  checkScenario(
      "hot",
      [](Fleet &Sim) {
        addUsual(Sim, 7);
        Sim.run(30s);
      },
      0.1);
}

// Guards against a burst that every dispatcher admits in full, because no VM
// has heard of it yet.
Test(WorkspaceQuotas, burst_at_all_dispatchers_at_once_stays_within_quota) {
  checkScenario(
      "burst",
      [](Fleet &Sim) {
        for (const double PerS : {1.6, 5.0, 16.0, 100.0})
          Sim.add(PerS, PerS, [=](Millis At) {
            return At >= 12s && At < 12s + 100ms ? PerS * 60 : 0;
          });
        Sim.run(20s);
      },
      0.35);
}

// Guards against requests that are refused for coming faster than the rate
// although each window has room for them.
Test(WorkspaceQuotas, demand_above_the_rate_but_within_each_window_is_served) {
  checkScenario(
      "above rate",
      [](Fleet &Sim) {
        for (const double PerS : {1.6, 5.0, 16.0, 96.0})
          Sim.add(PerS, 3 * PerS, later(1.4 * PerS)).Even = true;
        Sim.run(40s);
      },
      0.02, true);
}

// Guards against quotas that are not used although there is demand for more.
Test(WorkspaceQuotas, demand_above_the_window_uses_the_quota) {
  checkScenario(
      "above window",
      [](Fleet &Sim) {
        for (const double PerS : {1.6, 5.0, 16.0, 96.0})
          Sim.add(PerS, 3 * PerS, later(2.5 * PerS));
        Sim.run(40s);
      },
      0.1);
}

// Guards against parts of the quota that stay with dispatchers without demand.
Test(WorkspaceQuotas, demand_that_moves_between_services_finds_its_share) {
  checkScenario(
      "moving",
      [](Fleet &Sim) {
        for (const double PerS : {1.0, 3.0, 10.0, 60.0})
          for (const std::size_t Phase : {0U, 1U})
            Sim.add(
                PerS * 1.6, std::max(1.0, PerS * 1.6),
                [=](Millis At) {
                  return (At / 1s) % 2 == static_cast<long>(Phase) ? PerS * 1.5
                                                                   : PerS * 0.2;
                },
                Phase == 0 ? 0 : 6, Phase == 0 ? 6 : 9);
        Sim.run(30s);
      },
      0.08);
}

// Guards against a dead dispatcher whose successor has no share or a second
// one.
Test(WorkspaceQuotas, dispatcher_dies_and_returns_without_effect) {
  checkScenario(
      "death",
      [](Fleet &Sim) {
        addUsual(Sim, 1);
        Sim.run(12s);
        Sim.kill(0);
        Sim.kill(1);
        Sim.run(6s);
        Sim.restart(0);
        Sim.run(6s);
        Sim.restart(1);
        Sim.run(6s);
      },
      0.05);
}

// Guards against a successor that starts with a full bucket while the workspace
// is above its quota.
Test(WorkspaceQuotas, dispatcher_dies_under_hot_load) {
  checkScenario(
      "hot death",
      [](Fleet &Sim) {
        addUsual(Sim, 6, 16s);
        Sim.run(14s);
        Sim.kill(0);
        Sim.kill(1);
        Sim.kill(2);
        Sim.run(3s);
        Sim.restart(0);
        Sim.run(3s);
        Sim.restart(1);
        Sim.run(10s);
      },
      0.25);
}

// Guards against two sides of a partition that each use the whole quota.
Test(WorkspaceQuotas, partition_under_hot_load_stays_within_quota) {
  checkScenario(
      "hot partition",
      [](Fleet &Sim) { runCut(Sim, 6, 20s, 14s, cutThird, 12s, 8s); }, 0.25);
}

// Guards against two sides that each use the whole quota once their VMs have
// forgotten each other.
Test(WorkspaceQuotas, long_partition_under_hot_load_stays_within_quota) {
  checkScenario(
      "long partition",
      [](Fleet &Sim) {
        runCut(Sim, 6, 46s, 14s, cutThird, RemoveAfter + 20s, 6s);
      },
      0.25);
}

// Guards against a partition that begins right before the load.
Test(WorkspaceQuotas, hot_load_after_partition_stays_within_quota) {
  checkScenario(
      "partition, hot",
      [](Fleet &Sim) { runCut(Sim, 6, 10s, 11s, cutThird, 14s, 8s); }, 0.25);
}

// Guards against quotas that are halved while some VMs are cut off.
Test(WorkspaceQuotas, partition_under_usual_load_refuses_little) {
  checkScenario(
      "usual partition",
      [](Fleet &Sim) { runCut(Sim, 1, 6s, 12s, cutThird, 12s, 8s); }, 0.12);
}

// Guards against VMs that decide each for itself when no other is in reach.
Test(WorkspaceQuotas, vms_cut_off_one_by_one_stay_within_quota) {
  checkScenario(
      "single", [](Fleet &Sim) { runCut(Sim, 6, 14s, 14s, cutSome, 10s, 6s); },
      0.45);
}

// Guards against VMs that grant without limit because they reach no dispatcher.
Test(WorkspaceQuotas, vms_without_dispatcher_stay_within_quota) {
  checkScenario(
      "fallback",
      [](Fleet &Sim) {
        Sim.LocalFallback = true;
        runCut(Sim, 6, 14s, 14s, cutSome, 10s, 6s);
      },
      0.45);
}

// Guards against reports that get lost and leave use uncounted.
Test(WorkspaceQuotas, lost_reports_under_hot_load_stay_within_quota) {
  checkScenario(
      "loss",
      [](Fleet &Sim) {
        Sim.LossPart = 0.1;
        Sim.MaxDelay = 120ms;
        addUsual(Sim, 6);
        Sim.run(30s);
      },
      0.15);
}

// Guards against room that is lost because what others admitted is known late.
Test(WorkspaceQuotas, late_reports_under_usual_load_refuse_little) {
  checkScenario(
      "late",
      [](Fleet &Sim) {
        Sim.MaxDelay = 1s;
        for (const double PerS : {1.0, 3.0, 10.0, 60.0})
          Sim.add(PerS * 1.6, PerS * 1.6, later(PerS));
        Sim.run(40s);
      },
      0.03, true);
}

// Guards against a lowered quota that binds only after what was admitted by the
// old one is used up.
Test(WorkspaceQuotas, lowered_quota_binds_within_one_window) {
  checkScenario(
      "lowered",
      [](Fleet &Sim) {
        for (const double PerS : {5.0, 20.0, 80.0})
          Sim.add(PerS * 1.6, PerS * 1.6, steady(PerS));
        Sim.run(15s);
        for (Load &Item : Sim.Loads)
          Item.Quota = quotaOf(double(Item.Quota.MilliPerS) / 8000, 1);
        Sim.JudgedFrom = Sim.Now + Window;
        Sim.run(15s);
      },
      0.2);
}

// Guards against a limit that stays in force after it was lifted.
Test(WorkspaceQuotas, lifted_quota_refuses_nothing) {
  Fleet Sim(1, VmCount, LargeCount, GroupCount);
  Sim.add(5, 5, steady(20));
  Sim.run(15s);
  Load &Item = Sim.Loads.front();
  const int Before = Item.Asked - Item.Admitted;
  cr_expect_gt(Before, 0);
  Item.Quota = {};
  Sim.run(5s);
  cr_expect_eq(Item.Asked - Item.Admitted, Before);
}

// Guards against tokens that are lost with requests that got no slot.
Test(WorkspaceQuotas, request_without_slot_gives_its_token_back) {
  // The second VM gets no reports and decides alone.
  for (const char *Reporter : {"a", "b"}) {
    SingleVm Setup(1, 2, {Reporter});
    decision::WorkspaceQuotas &Quotas = Setup.Quotas;
    core::TimePoint Now = Start + 10s;
    for (int At = 0; At < 100; ++At) {
      cr_assert(Quotas.request(1, Now).Admitted);
      Quotas.giveBack(1, Now, Now);
      Now += 1ms;
    }
  }
}

// Guards against a request that waited long and then lowers the count of others
// although it has expired from it, and against one that doesn't.
Test(WorkspaceQuotas, request_is_given_back_once_and_only_while_it_counts) {
  for (const auto &[Waited, Reported] : {std::pair(1s, -1), std::pair(6s, 0)}) {
    SingleVm Setup(1, 2, {"a", "b"});
    decision::WorkspaceQuotas &Quotas = Setup.Quotas;
    cr_assert(Quotas.request(1, Start).Admitted);
    cr_assert_eq(Quotas.takeReport(Start + 200ms)->front().Admitted, 1);
    Quotas.giveBack(1, Start, Start + Waited);
    const auto Items = Quotas.takeReport(Start + Waited + 200ms);
    cr_assert(Items);
    cr_assert_eq(Items->empty() ? 0 : Items->front().Admitted, Reported);
  }
}

// Guards against callers that are told to return before there is room, or all
// at the same time.
Test(WorkspaceQuotas, refused_requests_are_told_different_times_with_room) {
  SingleVm Setup(10, 5, {"a"});
  decision::WorkspaceQuotas &Quotas = Setup.Quotas;
  const core::TimePoint Now = Start + 10s;
  while (Quotas.request(1, Now).Admitted) {
  }
  std::vector<Millis> Times(10);
  for (Millis &Time : Times)
    Time = Quotas.request(1, Now).RetryAfter;
  for (std::size_t At = 1; At < Times.size(); ++At)
    cr_expect_geq(Times[At] - Times[At - 1], 90ms);
  for (const Millis Wait : Times)
    cr_expect(Quotas.request(1, Now + Wait + 150ms).Admitted);
}

// Guards against memory that grows with all workspaces that ever sent a
// request.
Test(WorkspaceQuotas, idle_workspaces_are_forgotten) {
  SingleVm Setup(1, 2, {"a"});
  decision::WorkspaceQuotas &Quotas = Setup.Quotas;
  for (std::uint64_t Workspace = 1; Workspace <= 10000; ++Workspace)
    (void)Quotas.request(Workspace, Start);
  cr_expect_eq(Quotas.size(), 10000);
  (void)Quotas.takeReport(Start + 1min);
  cr_expect_eq(Quotas.size(), 0);
}

// Guards against a loop that does not sleep because a report is due that is
// never taken.
Test(WorkspaceQuotas, next_report_is_later_than_the_last_one_was_taken) {
  for (auto Interval = 1ms; Interval <= 100ms; ++Interval) {
    SingleVm Setup(100, 50, {"a", "b"});
    decision::WorkspaceQuotas &Quotas = Setup.Quotas;
    core::TimePoint Now = Start + 5ms;
    (void)Quotas.request(1, Now);
    for (; Now < Start + 12s; Now += Interval) {
      (void)Quotas.takeReport(Now);
      cr_assert_gt(Quotas.nextReport(), Now, "after %ld ms",
                   (Now - Start) / 1ms);
    }
    cr_assert_eq(Quotas.nextReport(), core::TimePoint::max());
  }
}

// Guards against a loop that sleeps until the regular report although an
// earlier one is due, and against one that each request wakes.
Test(WorkspaceQuotas, only_requests_that_advance_the_report_say_so) {
  SingleVm Setup(1, 10, {"a", "b"});
  decision::WorkspaceQuotas &Quotas = Setup.Quotas;
  int Advanced = 0;
  for (int At = 0; At < 20; ++At) {
    const core::TimePoint Due = Quotas.nextReport();
    const bool Says = Quotas.request(1, Start + 10ms).AdvancesReport;
    cr_expect_eq(Says, Quotas.nextReport() < Due, "request %d", At);
    Advanced += Says;
  }
  // The first one of all begins the reports; a later one makes them urgent.
  cr_expect_eq(Advanced, 2, "%d", Advanced);
  cr_expect_eq(Quotas.nextReport(), Start + 50ms);
}

// Guards against a VM that uses the parts of reporters from which it never
// heard, or of which it has not heard for long, and against a part that
// shrinks because all were without demand.
Test(WorkspaceQuotas, silent_reporters_count_until_they_are_replaced) {
  SingleVm Setup(100, 100, {"a", "b", "c", "d"});
  decision::WorkspaceQuotas &Quotas = Setup.Quotas;
  // Requests admitted in 5 s from a time on.
  const auto AdmittedFrom = [&](core::TimePoint From) {
    int Admitted = 0;
    for (core::TimePoint Now = From; Now < From + 5s; Now += 2ms) {
      Admitted += Quotas.request(1, Now).Admitted;
      (void)Quotas.takeReport(Now);
    }
    return Admitted;
  };
  // None of the others was ever heard. A window has 600 requests.
  (void)AdmittedFrom(Start + 5s);
  const int Admitted = AdmittedFrom(Start + 15s);
  cr_expect_leq(Admitted, 155, "%d admitted", Admitted);
  // After a time without demand the window is whole, and the first reports are
  // waited for.
  int Burst = 0;
  for (int At = 0; At < 700; ++At)
    Burst += Quotas.request(1, Start + 40s).Admitted;
  cr_expect_geq(Burst, 150, "%d admitted", Burst);
}

// Guards against a workspace that uses a whole window at once, again and again,
// and gets nothing for seconds in between.
Test(WorkspaceQuotas, demand_above_the_quota_is_admitted_evenly) {
  SingleVm Setup(40, 50, {"a"});
  decision::WorkspaceQuotas &Quotas = Setup.Quotas;
  int Admitted = 0;
  for (core::TimePoint Now = Start; Now < Start + 30s; Now += 5ms) {
    Admitted += Quotas.request(1, Now).Admitted;
    (void)Quotas.takeReport(Now);
    if ((Now + 5ms - Start) % 1s != 0s)
      continue;
    // The first two windows begin with what was free before.
    if (Now >= Start + 10s) {
      cr_expect_geq(Admitted, 25, "%d admitted in a second", Admitted);
      cr_expect_leq(Admitted, 75, "%d admitted in a second", Admitted);
    }
    Admitted = 0;
  }
}

// Guards against VMs that start together and each take the whole burst, because
// none has heard of the others yet.
Test(WorkspaceQuotas,
     vm_that_learns_of_others_keeps_only_its_part_of_the_burst) {
  SingleVm Setup(1, 100, {"a"});
  decision::WorkspaceQuotas &Quotas = Setup.Quotas;
  (void)Quotas.request(1, Start);
  Setup.setFleet({"a", "b", "c", "d"}, Start + 1s);
  int Admitted = 0;
  for (core::TimePoint Now = Start + 1s; Now < Start + 2s; Now += 2ms) {
    Admitted += Quotas.request(1, Now).Admitted;
    (void)Quotas.takeReport(Now);
    for (const char *Vm : {"b", "c", "d"})
      Quotas.recordReport(Vm, {}, Now);
  }
  cr_expect_leq(Admitted, 30, "%d admitted", Admitted);
}
