#include "load/check.hpp"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace jujubecart::dev;
using nlohmann::json;

namespace {

Experiment orders() {
  Experiment Plan;
  Plan.Services.resize(1);
  Plan.Services[0].Order = true;
  return Plan;
}

json run(std::uint64_t Draw, const std::string &Key) {
  return {drawText(Draw), Key, "s", 0.0, "completed"};
}

Sample sample(Answer Kind) {
  Sample Item;
  Item.Kind = Kind;
  return Item;
}

const std::vector<Arrival> One{{std::chrono::nanoseconds(0), 1, 0}};

} // namespace

// Guards against a benchmark that cannot see an order that ran twice.
Test(compare, repeated_key_counts_as_duplicate) {
  const json Runs{run(1, "k"), run(1, "k")};
  const json Found = compare(orders(), One, {sample(Answer::Complete)}, Runs);
  cr_assert(Found["duplicate_orders"] == 1);
  cr_assert(Found["complete_without_run"] == 0);
}

// Guards against a benchmark that believes every not-run.
Test(compare, not_run_that_ran_counts_as_false) {
  const json Runs = json::array({run(1, "k")});
  const json False = compare(orders(), One, {sample(Answer::NotRun)}, Runs);
  cr_assert(False["false_not_run"] == 1);
  const json True =
      compare(orders(), One, {sample(Answer::NotRun)}, json::array());
  cr_assert(True["false_not_run"] == 0);
}

// Guards against responses that no backend server produced.
Test(compare, complete_without_run_is_counted) {
  const json Found =
      compare(orders(), One, {sample(Answer::Complete)}, json::array());
  cr_assert(Found["complete_without_run"] == 1);
}
