#include <criterion/criterion.h>
#include <jujubecart/decision/internal/adopted_calls.hpp>

using jujubecart::decision::internal::AdoptedCalls;

// Guards against slots that stay taken when a holder reports fewer calls.
Test(AdoptedCalls, set_returns_the_number_before) {
  AdoptedCalls Calls;
  cr_assert_eq(Calls.set("vm", "s", 2), 0);
  cr_assert_eq(Calls.set("vm", "s", 1), 2);
  cr_assert_eq(Calls.count("vm", "s"), 1);
  cr_assert_eq(Calls.count("vm", "other"), 0);
}

// Guards against calls of other holders that are freed with a lost one.
Test(AdoptedCalls, drop_removes_one_holder_only) {
  AdoptedCalls Calls;
  Calls.set("lost", "a", 2);
  Calls.set("lost", "b", 1);
  Calls.set("kept", "a", 3);
  const auto Dropped = Calls.drop("lost");
  cr_assert_eq(Dropped.size(), 2);
  cr_assert_eq(Dropped[0].ServerId, "a");
  cr_assert_eq(Dropped[0].Calls, 2);
  cr_assert_eq(Calls.count("lost", "a"), 0);
  cr_assert_eq(Calls.count("kept", "a"), 3);
}
