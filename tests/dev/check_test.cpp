#include "load/check.hpp"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace jujubecart::dev;
using nlohmann::json;

namespace {

Experiment orderExperiment() {
  Experiment Plan;
  Plan.Services.resize(1);
  Plan.Services[0].IsOrder = true;
  return Plan;
}

json runEntry(std::uint64_t Draw, const std::string &Key) {
  return {formatDraw(Draw), Key, "s", 0.0, "completed"};
}

CallResult callResult(CallOutcome Outcome) {
  CallResult Result;
  Result.Outcome = Outcome;
  return Result;
}

const std::vector<Arrival> OneArrival{{std::chrono::nanoseconds(0), 1, 0}};

} // namespace

// Guards against a check that misses an order that ran twice: two runs with the
// same idempotency key must count as one duplicate order.
Test(compare, repeated_key_counts_as_duplicate) {
  const json Runs{runEntry(1, "k"), runEntry(1, "k")};
  const json Found = checkAgainstRuns(
      orderExperiment(), OneArrival, {callResult(CallOutcome::Complete)}, Runs);
  cr_assert(Found["duplicate_orders"] == 1);
  cr_assert(Found["complete_without_run"] == 0);
}

// Guards against a check that trusts every `X-Outcome: not-run`: if the request
// did run on a backend server, the result is false and must be counted.
Test(compare, not_run_that_ran_counts_as_false) {
  const json Runs = json::array({runEntry(1, "k")});
  const json False = checkAgainstRuns(orderExperiment(), OneArrival,
                                      {callResult(CallOutcome::NotRun)}, Runs);
  cr_assert(False["false_not_run"] == 1);
  const json True =
      checkAgainstRuns(orderExperiment(), OneArrival,
                       {callResult(CallOutcome::NotRun)}, json::array());
  cr_assert(True["false_not_run"] == 0);
}

// Guards against a check that accepts a complete response to a request that no
// backend server ran.
Test(compare, complete_without_run_is_counted) {
  const json Found =
      checkAgainstRuns(orderExperiment(), OneArrival,
                       {callResult(CallOutcome::Complete)}, json::array());
  cr_assert(Found["complete_without_run"] == 1);
}
