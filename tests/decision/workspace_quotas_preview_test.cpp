#include "quota_fleet.hpp"

#include <criterion/criterion.h>

using namespace quota_fleet;

// Guards against a preview that uses room or a promised time, or that
// differs from the decision that follows.
Test(WorkspaceQuotas, preview_counts_nothing_and_agrees_with_the_next_request) {
  const auto Make = [] {
    return std::make_unique<decision::WorkspaceQuotas>(
        "vm0", [](std::uint64_t) { return quotaOf(2, 4); }, Start);
  };
  for (const bool Reports : {true, false}) {
    const auto Asked = Make();
    const auto Twin = Make();
    for (auto *Each : {Asked.get(), Twin.get()})
      if (Reports)
        Each->setFleet({.Reporters = {"vm0"}}, Start);
    int Refused = 0;
    for (int Turn = 0; Turn < 200; ++Turn) {
      const core::TimePoint Now = Start + Turn * 100ms;
      const decision::QuotaPreview Expected = Asked->preview(1, Now);
      const decision::QuotaDecision Got = Asked->request(1, Now);
      cr_assert_eq(Expected.Decision.Admitted, Got.Admitted);
      cr_assert(Expected.Decision.RetryAfter == Got.RetryAfter);
      cr_assert_eq(Expected.Shared, Reports);
      cr_assert_eq(Twin->request(1, Now).Admitted, Got.Admitted);
      Refused += !Got.Admitted;
    }
    cr_assert_gt(Refused, 50);
    cr_assert_lt(Refused, 200);
  }
  const auto Unused = Make();
  (void)Unused->preview(1, Start);
  cr_assert_eq(Unused->size(), 0);
}
