#include "fair_shares_load.hpp"

using namespace fair_shares_load;

// Guards against a workspace of high priority that has to share with others.
Test(FairShares, high_priority_is_served_first) {
  FairShares Load{quiet()};
  Load.Classes.push_back(callsOf(20, 20, 10));
  Load.Classes.push_back(callsOf(21, 10, 3));
  Load.Classes.back().Priority = 1;
  const auto Counts = Load.run();
  cr_expect_geq(Counts[11].servedShare(), 0.95);
  Load.assertNoneStarved(Counts);
}
