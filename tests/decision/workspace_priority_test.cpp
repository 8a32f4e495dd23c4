#include "fair_shares_load.hpp"

using namespace fair_shares_load;

// Guards against a workspace of high priority that has to share with others,
// and against slots that stay empty until it uses them.
Test(FairShares, high_priority_is_served_first) {
  FairShares Load{quiet()};
  Load.Classes.push_back(callsOf(20, 20, 10));
  Load.Classes.push_back(callsOfPriority(1, callsOf(21, 10, 3)));
  const auto Counts = Load.run();
  cr_expect_geq(Counts[11].servedShare(), 0.95);
  assertQuietServed(Counts, 0.75);
  Load.assertNoneStarved(Counts);
}

// Guards against a workspace of high priority that takes all last slots of the
// servers, and leaves none to a hot one that is served too rarely.
Test(FairShares, high_priority_for_most_slots_starves_nobody) {
  FairShares Load{quiet()};
  Load.Classes.push_back(callsOf(20, 20, 10));
  Load.Classes.push_back(callsOfPriority(1, callsOf(21, 10, 10)));
  const auto Counts = Load.run();
  cr_expect_geq(Counts[11].servedShare(), 0.8);
  Load.assertNoneStarved(Counts);
}

// Guards against a hot workspace of low priority that takes the last slots of
// the servers while others wait.
Test(FairShares, low_priority_leaves_the_slots_to_the_others) {
  FairShares Load{quiet()};
  Load.Classes.push_back(callsOfPriority(7, callsOf(20, 20, 10)));
  const auto Counts = Load.run();
  assertQuietServed(Counts, 0.97);
  Load.assertNoneStarved(Counts);
}
