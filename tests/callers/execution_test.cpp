#include "execution.hpp"

#include <jujubecart/platform/http_profile.hpp>

#include <criterion/criterion.h>

using namespace jujubecart;
using callers::internal::ExecutionState;
using core::CallOutcome;

namespace {

constexpr std::array AllOutcomes{CallOutcome::Completed, CallOutcome::NotSent,
                                 CallOutcome::Rejected,  CallOutcome::TimedOut,
                                 CallOutcome::Broken,    CallOutcome::Cancelled,
                                 CallOutcome::Withheld};
constexpr std::array<unsigned, 4> Promises{408, 421, 429, 503};

bool provesNotRun(CallOutcome Outcome) {
  return Outcome == CallOutcome::NotSent || Outcome == CallOutcome::Rejected ||
         Outcome == CallOutcome::Withheld;
}

} // namespace

// Guards against an attempt that is forgotten: a later one that certainly did
// not run must not make the request certainly not run.
Test(Execution, any_attempt_that_may_have_run_counts) {
  for (const CallOutcome First : AllOutcomes)
    for (const CallOutcome Second : AllOutcomes) {
      const ExecutionState Known =
          ExecutionState().afterAttempt(First).afterAttempt(Second);
      const bool NotRun = provesNotRun(First) && provesNotRun(Second);
      cr_assert_eq(Known.certainlyNotRun(), NotRun, "%d, %d", int(First),
                   int(Second));
      cr_assert_eq(Known.mayHaveRun(), !NotRun);
      cr_assert_eq(Known.maySendAgain(false), NotRun);
      cr_assert(Known.maySendAgain(true));
    }
}

// Guards against a promise to the caller of an order whose key is taken: the
// order may have run by the request that holds the key.
Test(Execution, repeated_key_is_not_certainly_not_run) {
  const ExecutionState Known = ExecutionState().afterRepeatedKey();
  cr_assert(Known.keyRepeated());
  cr_assert_not(Known.certainlyNotRun());
  cr_assert_not(Known.mayHaveRun());
}

// Guards against a status that promises more than is known, and against a
// replaced status that promises nothing untrue.
Test(Execution, status_promises_too_much_only_if_the_order_may_have_run) {
  const core::HttpProfile &Platform = platform::httpProfile();
  const ExecutionState Possible =
      ExecutionState().afterAttempt(CallOutcome::Completed);
  const ExecutionState Refused =
      ExecutionState().afterAttempt(CallOutcome::Rejected);
  for (unsigned Status = 200; Status < 600; ++Status) {
    const bool Promise =
        std::find(Promises.begin(), Promises.end(), Status) != Promises.end();
    cr_assert_eq(promisesTooMuch(Status, false, Possible, Platform), Promise,
                 "%u", Status);
    cr_assert_not(promisesTooMuch(Status, true, Possible, Platform));
    cr_assert_not(promisesTooMuch(Status, false, Refused, Platform));
    cr_assert_not(promisesTooMuch(Status, false, ExecutionState(), Platform));
    cr_assert_not(
        promisesTooMuch(Status, false, Possible, core::nativeHttpProfile()));
  }
}

// Guards against log lines that do not tell what the VM knew.
Test(Execution, each_state_has_a_name) {
  cr_assert_eq(ExecutionState().name(), "not_sent");
  cr_assert_eq(ExecutionState().afterAttempt(CallOutcome::Rejected).name(),
               "refused");
  cr_assert_eq(ExecutionState().afterAttempt(CallOutcome::Broken).name(),
               "possible");
}
