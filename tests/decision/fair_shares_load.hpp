#ifndef JUJUBECART_TESTS_DECISION_FAIR_SHARES_LOAD_HPP
#define JUJUBECART_TESTS_DECISION_FAIR_SHARES_LOAD_HPP

#include "objective_simulation.hpp"

#include <criterion/criterion.h>

namespace fair_shares_load {

using namespace objective_simulation;
using namespace std::chrono_literals;

inline constexpr std::uint64_t Seeds = 2;
// The disturbance, and the time in which calls are counted.
inline constexpr double FromS = 10;
inline constexpr double ToS = 20;

inline double inDisturbance(double Second, double Factor) {
  return Second >= FromS && Second < ToS ? Factor : 1;
}

inline CallClass callsOf(std::uint64_t Workspace, double CallsPerS,
                         double Factor = 1) {
  return {.CallsPerS = CallsPerS,
          .MeanServiceMs = 160,
          .Objective = 500ms,
          .Deadline = 1500ms,
          .Patience = 2000ms,
          .Workspace = Workspace,
          .RateFactor = [Factor](double Second) {
            return inDisturbance(Second, Factor);
          }};
}

inline CallClass callsOfPriority(std::uint8_t Priority, CallClass Calls) {
  Calls.Priority = Priority;
  Calls.WorkspacePriority = true;
  return Calls;
}

/// @brief Workspaces that share 20 servers with two slots each; at usual load
/// they use about half of them.
struct FairShares {
  std::vector<CallClass> Classes;

  /// @brief Counts of each class over all seeds.
  [[nodiscard]] std::vector<Statistics::ClassCounts> run() const {
    std::vector<Statistics::ClassCounts> Sum(Classes.size());
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      Workload Load{.Servers = 20,
                    .Slots = 2,
                    .Classes = Classes,
                    .DurationS = 24,
                    .Seed = Seed,
                    .CountFromS = FromS + 1,
                    .CountToS = ToS};
      const Statistics Result = Simulation(Load).run();
      for (std::size_t At = 0; At < Sum.size(); ++At) {
        Sum[At].Calls += Result.Classes[At].Calls;
        Sum[At].OnTime += Result.Classes[At].OnTime;
        Sum[At].Served += Result.Classes[At].Served;
      }
    }
    for (const auto &Item : Sum)
      printf("calls %u served %.2f on time %.2f\n", Item.Calls,
             Item.servedShare(), double(Item.OnTime) / Item.Calls);
    return Sum;
  }

  /// @brief Asserts that each class is served at least a quarter as often as
  /// all.
  static void
  assertNoneStarved(const std::vector<Statistics::ClassCounts> &Counts) {
    Statistics::ClassCounts All;
    for (const auto &Item : Counts) {
      All.Calls += Item.Calls;
      All.Served += Item.Served;
    }
    for (const auto &Item : Counts)
      cr_expect_geq(Item.servedShare(), All.servedShare() / 4);
  }
};

/// @brief Asserts that the first ten workspaces are served, together and, with
/// fewer calls to judge by, each.
inline void
assertQuietServed(const std::vector<Statistics::ClassCounts> &Counts,
                  double MinShare) {
  Statistics::ClassCounts All;
  for (std::size_t At = 0; At < 10; ++At) {
    All.Calls += Counts[At].Calls;
    All.Served += Counts[At].Served;
    cr_expect_geq(Counts[At].servedShare(), MinShare - 0.15);
  }
  cr_expect_geq(All.servedShare(), MinShare);
}

// Ten quiet workspaces with 7 calls a second each.
inline std::vector<CallClass> quiet(std::size_t Count = 10) {
  std::vector<CallClass> Out;
  for (std::size_t At = 1; At <= Count; ++At)
    Out.push_back(callsOf(At, 7));
  return Out;
}

} // namespace fair_shares_load

#endif
