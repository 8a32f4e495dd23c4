#include <criterion/criterion.h>
#include <jujubecart/decision/internal/adopted_calls.hpp>

using jujubecart::decision::internal::AdoptedCalls;

// Guards against slots that stay occupied when a holder reports fewer calls
// than before: the dispatcher subtracts the previous number that set returns.
Test(AdoptedCalls, set_returns_the_previous_number) {
  AdoptedCalls Calls;
  cr_assert_eq(Calls.set("vm", "s", 2), 0);
  cr_assert_eq(Calls.set("vm", "s", 1), 2);
  cr_assert_eq(Calls.count("vm", "s"), 1);
  cr_assert_eq(Calls.count("vm", "other"), 0);
}

// Guards against slots that are freed although calls of another holder occupy
// them, when a holder is removed.
Test(AdoptedCalls, remove_holder_removes_one_holder_only) {
  AdoptedCalls Calls;
  Calls.set("lost", "a", 2);
  Calls.set("lost", "b", 1);
  Calls.set("kept", "a", 3);
  const auto Dropped = Calls.removeHolder("lost");
  cr_assert_eq(Dropped.size(), 2);
  cr_assert_eq(Dropped[0].ServerId, "a");
  cr_assert_eq(Dropped[0].Calls, 2);
  cr_assert_eq(Calls.count("lost", "a"), 0);
  cr_assert_eq(Calls.count("kept", "a"), 3);
}
