#include "fair_shares_load.hpp"

using namespace fair_shares_load;

// Guards against a workspace that sends ten times its usual and pushes out
// those that don't.
Test(FairShares, hot_workspace_does_not_push_out_quiet_ones) {
  FairShares Load{quiet()};
  Load.Classes.push_back(callsOf(20, 20, 10));
  const auto Counts = Load.run();
  assertQuietServed(Counts, 0.95);
  Load.assertNoneStarved(Counts);
}

// Guards against slots that stay empty although a workspace that is above its
// share could use them.
Test(FairShares, workspace_that_is_alone_gets_all) {
  FairShares Alone{{callsOf(20, 20, 10)}};
  FairShares Without{{callsOf(0, 20, 10)}};
  const auto Counts = Alone.run();
  const auto Reference = Without.run();
  cr_expect_eq(Counts[0].Served, Reference[0].Served);
  cr_expect_eq(Counts[0].OnTime, Reference[0].OnTime);
}

// Guards against two hot workspaces of which only one is held back.
Test(FairShares, two_hot_workspaces_share_what_is_left) {
  FairShares Load{quiet()};
  Load.Classes.push_back(callsOf(20, 10, 10));
  Load.Classes.push_back(callsOf(21, 30, 10));
  const auto Counts = Load.run();
  assertQuietServed(Counts, 0.95);
  cr_expect_geq(Counts[10].Served, Counts[11].Served * 0.7);
  Load.assertNoneStarved(Counts);
}

// Guards against workspaces that are starved when all ask for too much.
Test(FairShares, all_hot_workspaces_get_similar_shares) {
  FairShares Load;
  for (std::uint64_t At = 1; At <= 10; ++At)
    Load.Classes.push_back(callsOf(At, 9, 6));
  const auto Counts = Load.run();
  Load.assertNoneStarved(Counts);
  for (const auto &Item : Counts)
    cr_expect_geq(Item.Served, Counts[0].Served * 0.75);
}

// Guards against callers that get more because they return at once and often.
Test(FairShares, retry_abuse_gains_nothing_from_the_others) {
  FairShares Load{quiet()};
  Load.Classes.push_back(callsOf(20, 20, 6));
  Load.Classes.back().Returns = 30;
  const auto Counts = Load.run();
  assertQuietServed(Counts, 0.85);
  Load.assertNoneStarved(Counts);
}

// Guards against a burst of long calls of one workspace that fills all slots.
Test(FairShares, burst_of_one_kind_leaves_room_for_the_others) {
  FairShares Load{quiet()};
  Load.Classes.push_back(callsOf(20, 8, 10));
  Load.Classes.back().MeanServiceMs = 500;
  Load.Classes.back().Objective = 2000ms;
  Load.Classes.back().Deadline = 4000ms;
  const auto Counts = Load.run();
  assertQuietServed(Counts, 0.95);
  Load.assertNoneStarved(Counts);
}

// Guards against a load that grows slowly and is taken for the usual one.
Test(FairShares, ramp_of_one_workspace_does_not_push_out_the_others) {
  FairShares Load{quiet()};
  Load.Classes.push_back(callsOf(20, 20));
  Load.Classes.back().RateFactor = [](double Second) {
    return Second < 5 ? 1 : 1 + (Second - 5) * 0.8;
  };
  const auto Counts = Load.run();
  assertQuietServed(Counts, 0.85);
  Load.assertNoneStarved(Counts);
}

// Guards against workspaces of low priority that get nothing while those of
// high priority ask for all slots.
Test(FairShares, priorities_inverted_starve_nobody) {
  FairShares Load;
  for (std::uint64_t At = 1; At <= 5; ++At)
    Load.Classes.push_back(callsOfPriority(1, callsOf(At, 12, 8)));
  for (std::uint64_t At = 6; At <= 10; ++At)
    Load.Classes.push_back(callsOfPriority(7, callsOf(At, 6)));
  const auto Counts = Load.run();
  Load.assertNoneStarved(Counts);
}
