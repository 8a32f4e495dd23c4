#ifndef JUJUBECART_TESTS_DECISION_QUOTA_SCENARIOS_HPP
#define JUJUBECART_TESTS_DECISION_QUOTA_SCENARIOS_HPP

#include "quota_fleet.hpp"

#include <criterion/criterion.h>
#include <cstdint>
#include <cstdio>

namespace quota_fleet {

#ifdef __SANITIZE_ADDRESS__
// The sanitizers slow the series down many times; the plain build runs all.
inline constexpr std::uint64_t Seeds = 1;
#else
inline constexpr std::uint64_t Seeds = 8;
#endif
inline constexpr std::size_t VmCount = 60;
inline constexpr std::size_t LargeCount = 18;
inline constexpr std::size_t GroupCount = 15;

inline auto steady(double PerS) {
  return [PerS](Millis) { return PerS; };
}

// Load that begins 10 s after the VMs.
inline auto later(double PerS) {
  return [PerS](Millis At) { return At >= 10s ? PerS : 0; };
}

// Usual load before and after, Factor times as much for six seconds.
inline auto hot(double PerS, double Factor, Millis From = 12s,
                Millis For = 6s) {
  return [=](Millis At) {
    return At >= From && At < From + For ? PerS * Factor : PerS;
  };
}

/// @brief Runs a scenario with several seeds and checks both promises.
inline void checkScenario(const char *Name,
                          const std::function<void(Fleet &)> &Scenario,
                          double MaxLost, bool ExactRequests = false) {
  double Worst = -1e9;
  std::uint64_t WorstSeed = 0;
  std::vector<Load> Sums;
  double Messages = 0;
  double Time = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Fleet Sim(Seed, VmCount, LargeCount, GroupCount);
    Scenario(Sim);
    Messages += static_cast<double>(Sim.Messages);
    Time += std::chrono::duration<double>(Sim.Now - Start).count();
    Sums.resize(Sim.Loads.size());
    for (std::size_t At = 0; At < Sums.size(); ++At) {
      const Load &Item = Sim.Loads[At];
      Load &Sum = Sums[At];
      Sum.Quota = Item.Quota;
      Sum.Asked += Item.Asked;
      Sum.Owed += Item.Owed;
      Sum.OwedRefused += Item.OwedRefused;
      Sum.Admitted += Item.Admitted;
      if (Item.MaxExcess > Sum.MaxExcess)
        Sum.WorstAt = Item.WorstAt;
      Sum.MaxExcess = std::max(Sum.MaxExcess, Item.MaxExcess);
      if (Item.MaxExcess > Worst) {
        Worst = Item.MaxExcess;
        WorstSeed = Seed;
      }
    }
  }
  double Lost = 0;
  for (const Load &Sum : Sums) {
    // Under more load than the quota, which of the requests are admitted does
    // not matter.
    const double Part =
        ExactRequests
            ? static_cast<double>(Sum.OwedRefused) / Sum.Owed
            : std::max(0.0, 1 - static_cast<double>(Sum.Admitted) / Sum.Owed);
    Lost = std::max(Lost, Part);
    printf("%s: quota %.1f/s asked %d owed %d refused %d admitted %d lost %.3f "
           "excess %.1f at %.2f s\n",
           Name, static_cast<double>(Sum.Quota.MilliPerS) / 1000, Sum.Asked,
           Sum.Owed, Sum.OwedRefused, Sum.Admitted, Part, Sum.MaxExcess,
           std::chrono::duration<double>(Sum.WorstAt - Start).count());
  }
  printf("%s: %.0f reports/s\n", Name, Messages / Time);
  cr_expect_leq(Worst, 0, "%s: %.1f above the quota with seed %lu", Name, Worst,
                WorstSeed);
  cr_expect_leq(Lost, MaxLost, "%s: %.3f lost", Name, Lost);
}

// Usual rates of small and large workspaces; the quota is 1.6 times the rate
// with a burst of one second.
inline void addUsual(Fleet &Sim, double Factor, Millis For = 6s) {
  for (const double PerS : {1.0, 3.0, 10.0, 60.0})
    Sim.add(PerS * 1.6, std::max(1.0, PerS * 1.6),
            Factor == 1
                ? std::function<double(Millis)>(steady(PerS))
                : std::function<double(Millis)>(hot(PerS, Factor, 12s, For)));
}

/// @brief Usual load times Factor until For after 12 s; from At on, some VMs
/// are cut off for a time and come back.
inline void runCut(Fleet &Sim, double Factor, Millis For, Millis At,
                   const std::function<void(Fleet &)> &Cut, Millis Length,
                   Millis After) {
  addUsual(Sim, Factor, For);
  Sim.run(At);
  Cut(Sim);
  Sim.run(Length);
  Sim.heal();
  Sim.run(After);
}

inline void cutThird(Fleet &Sim) {
  Sim.partition([](std::size_t Vm) { return Vm % 20 < 7; });
}

inline void cutSome(Fleet &Sim) { Sim.cutSingly(20); }

/// @brief Quotas of VM `a`, in which each workspace has the same quota.
struct SingleVm {
  SingleVm(double PerS, double Burst, std::set<std::string, std::less<>> Vms)
      : Quotas(
            "a", [PerS, Burst](std::uint64_t) { return quotaOf(PerS, Burst); },
            Start) {
    setFleet(std::move(Vms), Start);
  }

  void setFleet(std::set<std::string, std::less<>> Vms, core::TimePoint Now) {
    const std::size_t Count = Vms.size();
    Quotas.setFleet(
        {.Reporters = std::move(Vms), .Live = Count, .Known = Count}, Now);
  }

  decision::WorkspaceQuotas Quotas;
};

} // namespace quota_fleet

#endif
