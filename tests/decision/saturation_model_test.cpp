#include <criterion/criterion.h>
#include <jujubecart/decision/internal/saturation_model.hpp>

using jujubecart::decision::internal::SaturationModel;

namespace {

constexpr int ManyCalls = 200;

struct Fixture {
  SaturationModel Model;

  void record(double Ratio, int Times = ManyCalls) {
    for (int Time = 0; Time < Times; ++Time)
      Model.record(Ratio);
  }
};

} // namespace

// Guards against servers that are filled before anything is known of them.
Test(SaturationModel, unknown_server_is_assumed_to_slow_down) {
  cr_assert_not(Fixture().Model.negligible());
}

Test(SaturationModel, server_that_keeps_its_speed_is_negligible) {
  Fixture With;
  With.record(1);
  cr_assert(With.Model.negligible());
}

// Guards against one lucky call that opens all slots.
Test(SaturationModel, single_fast_call_changes_little) {
  Fixture With;
  With.record(0.4, 1);
  cr_assert_not(With.Model.negligible());
}

Test(SaturationModel, factor_follows_a_server_that_begins_to_slow_down) {
  Fixture With;
  With.record(1);
  With.record(2.5);
  cr_assert_float_eq(With.Model.factor(), 2.5, 0.01);
  cr_assert_not(With.Model.negligible());
}

// Guards against a factor that makes a saturated server look faster.
Test(SaturationModel, factor_is_at_least_one) {
  Fixture With;
  With.record(0.2);
  cr_assert_geq(With.Model.factor(), 1);
}
