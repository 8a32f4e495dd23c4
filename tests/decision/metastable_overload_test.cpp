#include "objective_simulation.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace objective_simulation;
using namespace std::chrono_literals;

namespace {

/// @brief Compares runs with and without a disturbance. The load is one that
/// the servers sustain only while calls are kept off servers in slow periods.
struct MetastableOverload {
  static constexpr std::size_t DurationS = 34;
  /// Time after the end of a disturbance within which service must be back.
  static constexpr double RecoveryS = 3;
  static constexpr std::size_t Seeds = 4;

  static Workload workload(std::uint64_t Seed) {
    return {.Servers = 21,
            .Slots = 2,
            .Classes = {{.CallsPerS = 61,
                         .MeanServiceMs = 160,
                         .Objective = 370ms,
                         .Deadline = 1000ms,
                         .Patience = 1900ms,
                         .Priority = 2,
                         .Worth = 1,
                         .MaxAttempts = 3},
                        {.CallsPerS = 26,
                         .MeanServiceMs = 210,
                         .Objective = 470ms,
                         .Deadline = 1200ms,
                         .Patience = 2400ms,
                         .Priority = 1,
                         .Worth = 2,
                         .MaxAttempts = 3}},
            .SlowShare = 0.25,
            .SlowFactor = 5,
            .PeriodS = 0.15,
            .DurationS = DurationS,
            .Seed = Seed};
  }

  /// @brief Mean earned share over all seeds, from a second on.
  static double earnedFrom(std::size_t From,
                           const std::vector<Disturbance> &Disturbances) {
    double Sum = 0;
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      Workload Load = workload(Seed);
      Load.Disturbances = Disturbances;
      Sum += Simulation(Load).run().earnedShare(From, DurationS);
    }
    return Sum / Seeds;
  }

  /// @brief Asserts that service is as without the disturbance from RecoveryS
  /// after its end.
  static void assertRecovery(const Disturbance &Cause) {
    const auto From = static_cast<std::size_t>(Cause.ToS + RecoveryS);
    const double With = earnedFrom(From, {Cause});
    const double Without = earnedFrom(From, {});
    cr_assert_geq(With, Without - 0.05, "%.3f with, %.3f without", With,
                  Without);
  }
};

} // namespace

// Guards against servers that are lost to late calls: these ran on servers in
// slow periods, kept slots from the calls that could meet their objective and
// so made further calls late, without any disturbance.
Test(MetastableOverload, sustainable_load_is_served_on_time_for_the_whole_run) {
  const double Early = MetastableOverload::earnedFrom(0, {});
  const double Late = MetastableOverload::earnedFrom(20, {});
  cr_assert_geq(Late, 0.85, "%.3f, %.3f over the whole run", Late, Early);
}

// Guards against a burst whose late calls keep the fleet overloaded after it.
Test(MetastableOverload, service_is_back_three_seconds_after_a_burst) {
  MetastableOverload::assertRecovery(
      {.FromS = 4, .ToS = 9, .ArrivalFactor = 1.5});
}

// Guards against a loss of servers that keeps the fleet overloaded after they
// are back.
Test(MetastableOverload, service_is_back_three_seconds_after_lost_servers) {
  MetastableOverload::assertRecovery(
      {.FromS = 4, .ToS = 10, .RemovedServers = 9});
}

// Guards against servers that stay ejected, or are avoided, because they
// rejected calls while they were overloaded.
Test(MetastableOverload, service_is_back_three_seconds_after_load_shedding) {
  MetastableOverload::assertRecovery(
      {.FromS = 8, .ToS = 16, .ShedShare = 0.55});
}
