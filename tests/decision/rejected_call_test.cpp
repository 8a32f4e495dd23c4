#include "objective_simulation.hpp"

#include <jujubecart/decision/rejected_call.hpp>

#include <algorithm>
#include <criterion/criterion.h>

using namespace jujubecart;
using namespace objective_simulation;
using namespace std::chrono_literals;

namespace {

constexpr double CallsPerS = 90;
constexpr double RetryRatio = 0.2;

/// @brief Servers at 60% load outside of slow periods, of which some reject a
/// share of their calls from second 4 to 14.
struct RejectingServers {
  static Workload workload(double Share, unsigned Rejecting,
                           double ArrivalFactor = 1) {
    Workload Load{.Servers = 24,
                  .Slots = 4,
                  .Classes = {{.CallsPerS = CallsPerS,
                               .MeanServiceMs = 200,
                               .Objective = 600ms,
                               .Deadline = 1500ms,
                               .Patience = 1500ms,
                               .MaxAttempts = 3}},
                  .SlowShare = 0.1,
                  .DurationS = 14};
    Load.Disturbances = {{.FromS = 4,
                          .ToS = 14,
                          .ArrivalFactor = ArrivalFactor,
                          .ShedShare = Share,
                          .SheddingServers = Rejecting}};
    return Load;
  }

  /// @brief Largest share of the calls that can be served if every server
  /// rejects a share; docs/design/rejecting-servers.md derives it.
  static double mostServed(double Share) {
    double AtOnce = 1 - Share;
    double Rejected = Share;
    double Budget = RetryRatio;
    for (int Attempt = 1; Attempt < 3; ++Attempt) {
      const double Repeats = std::min(Rejected, Budget);
      AtOnce += Repeats * (1 - Share);
      Rejected = Repeats * Share;
      Budget -= Repeats;
    }
    return AtOnce + (1 - AtOnce) * AtOnce;
  }

  /// @brief Asserts that nine tenths of what the budget allows is earned. Slow
  /// periods cost some calls their objective without any rejection.
  static void assertEarned(double Share) {
    const double Earned = meanEarned(Share, 24);
    const double Most = mostServed(Share) * meanEarned(0, 0);
    cr_assert_geq(Earned, 0.9 * Most, "%.3f of %.3f", Earned, Most);
  }

  /// @brief Share of the worth that is earned while servers reject calls. The
  /// mean over four seeds, since one run has few calls.
  static double meanEarned(double Share, unsigned Rejecting,
                           double ArrivalFactor = 1) {
    constexpr std::uint64_t Seeds = 4;
    double Sum = 0;
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      Workload Load = workload(Share, Rejecting, ArrivalFactor);
      Load.Seed = Seed;
      Sum += Simulation(Load).run().earnedShare(5, 14);
    }
    return Sum / Seeds;
  }
};

} // namespace

// Guards against rejections by chance that end calls which could be served
// elsewhere or on return.
Test(RejectingServers, all_reject_5_percent_earns_what_the_budget_allows) {
  RejectingServers::assertEarned(0.05);
}

Test(RejectingServers, all_reject_30_percent_earns_what_the_budget_allows) {
  RejectingServers::assertEarned(0.3);
}

// Guards against callers that are told to return after their objective.
Test(RejectingServers, all_reject_55_percent_earns_what_the_budget_allows) {
  RejectingServers::assertEarned(0.55);
}

Test(RejectingServers, all_reject_95_percent_earns_what_the_budget_allows) {
  RejectingServers::assertEarned(0.95);
}

// Guards against calls that wait for the server which had the fewest rejections
// by chance while others are free.
Test(RejectingServers, all_reject_55_percent_holds_no_call_untried) {
  const Statistics Result =
      Simulation(RejectingServers::workload(0.55, 24)).run();
  cr_assert_leq(Result.HeldLong, Result.Calls / 50, "%u of %u", Result.HeldLong,
                Result.Calls);
}

Test(RejectingServers, all_reject_95_percent_holds_no_call_untried) {
  const Statistics Result =
      Simulation(RejectingServers::workload(0.95, 24)).run();
  cr_assert_leq(Result.HeldLong, Result.Calls / 50, "%u of %u", Result.HeldLong,
                Result.Calls);
}

// Guards against a server that rejects and is used like the others.
Test(RejectingServers, one_server_rejects_55_percent_is_avoided) {
  const double Earned = RejectingServers::meanEarned(0.55, 1);
  const double Undisturbed = RejectingServers::meanEarned(0, 0);
  cr_assert_geq(Earned, Undisturbed - 0.02, "%.3f, %.3f undisturbed", Earned,
                Undisturbed);
}

Test(RejectingServers, third_of_the_servers_rejects_55_percent_is_avoided) {
  const double Earned = RejectingServers::meanEarned(0.55, 8);
  const double Undisturbed = RejectingServers::meanEarned(0, 0);
  cr_assert_geq(Earned, 0.9 * Undisturbed, "%.3f, %.3f undisturbed", Earned,
                Undisturbed);
}

// Guards against returns that add to a burst until nothing is served in time.
Test(RejectingServers, burst_with_rejections_serves_more_than_half) {
  const double Earned = RejectingServers::meanEarned(0.3, 24, 1.5);
  cr_assert_geq(Earned, 0.6, "%.3f", Earned);
}

// Guards against a full server that is taken for one with room.
Test(RejectedCall, full_server_sets_no_early_return) {
  const core::TimePoint Now{1h};
  const decision::RejectedCall Full{.Load = core::LoadReport{.InFlight = 4},
                                    .Slots = 4,
                                    .Objective = Now + 600ms};
  cr_assert_not(decision::returnTime(Full, Now, 0.5).has_value());
}

// Guards against a return that leaves no time for the call.
Test(RejectedCall, return_takes_a_sixteenth_of_the_time_left_at_most) {
  const core::TimePoint Now{1h};
  const decision::RejectedCall Call{.Load = core::LoadReport{.InFlight = 1},
                                    .Slots = 4,
                                    .Objective = Now + 640ms};
  cr_assert_eq((*decision::returnTime(Call, Now, 1) - Now) / 1ms, 40);
  cr_assert_eq((*decision::returnTime(Call, Now, 0) - Now) / 1ms, 20);
}

// Guards against an early return for a call whose objective has passed, or to a
// server that stated a reason which lasts.
Test(RejectedCall, late_call_or_stated_reason_sets_no_early_return) {
  const core::TimePoint Now{1h};
  const decision::RejectedCall Late{.Load = core::LoadReport{.InFlight = 1},
                                    .Slots = 4,
                                    .Objective = Now - 1ms};
  cr_expect_not(decision::returnTime(Late, Now, 0.5).has_value());
  const decision::RejectedCall Leaving{.Load = core::LoadReport{.InFlight = 1},
                                       .Slots = 4,
                                       .Objective = Now + 640ms,
                                       .ReasonStated = true};
  cr_expect_not(decision::returnTime(Leaving, Now, 0.5).has_value());
}

// Guards against a return before the time that the server asked for.
Test(RejectedCall, return_is_not_before_the_time_stated_by_the_server) {
  const core::TimePoint Now{1h};
  const decision::RejectedCall Call{.Load = core::LoadReport{.InFlight = 1},
                                    .Slots = 4,
                                    .Objective = Now + 640ms,
                                    .QuietUntil = Now + 300ms};
  cr_assert_eq((*decision::returnTime(Call, Now, 1) - Now) / 1ms, 300);
}

// Guards against calls that end although tokens are left or the rejection tells
// nothing about the next server.
Test(RejectedCall, late_call_is_given_up_only_by_chance_and_low_budget) {
  const core::TimePoint Now{1h};
  decision::RejectedCall Late{.Load = core::LoadReport{.InFlight = 1},
                              .Slots = 4,
                              .Objective = Now - 1ms};
  cr_expect_not(decision::worthRepeat(Late, true, Now));
  cr_expect(decision::worthRepeat(Late, false, Now));
  Late.ReasonStated = true;
  cr_expect(decision::worthRepeat(Late, true, Now));
}
