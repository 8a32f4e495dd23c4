#include <criterion/criterion.h>
#include <jujubecart/decision/internal/saturation_model.hpp>

using jujubecart::decision::internal::SaturationModel;

namespace {

// Enough for the moving average to converge.
constexpr int CallsToConverge = 200;

struct Fixture {
  SaturationModel Model;

  void record(double Ratio, int Times = CallsToConverge) {
    for (int Call = 0; Call < Times; ++Call)
      Model.record(Ratio);
  }
};

} // namespace

// Guards against the use of all slots of a server before any of its service
// times is known.
Test(SaturationModel, unknown_server_is_assumed_to_slow_down) {
  cr_assert_not(Fixture().Model.negligible());
}

// Guards against slots that stay empty on a server that does not slow down.
Test(SaturationModel, factor_of_a_server_that_keeps_its_speed_is_negligible) {
  Fixture With;
  With.record(1);
  cr_assert(With.Model.negligible());
}

// Guards against one fast call that is enough to allow the use of all slots.
Test(SaturationModel, single_fast_call_changes_little) {
  Fixture With;
  With.record(0.4, 1);
  cr_assert_not(With.Model.negligible());
}

// Guards against a factor that no longer rises after it has become negligible.
Test(SaturationModel, factor_follows_a_server_that_begins_to_slow_down) {
  Fixture With;
  With.record(1);
  With.record(2.5);
  cr_assert_float_eq(With.Model.factor(), 2.5, 0.01);
  cr_assert_not(With.Model.negligible());
}

// Guards against a factor below 1, with which a saturated server would look
// faster than an idle one.
Test(SaturationModel, factor_is_at_least_one) {
  Fixture With;
  With.record(0.2);
  cr_assert_geq(With.Model.factor(), 1);
}
