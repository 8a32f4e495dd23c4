#include <jujubecart/decision/known_vms.hpp>

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Start{1h};

} // namespace

// Guards against a VM that is forgotten while it may be cut off, and against
// one that counts for ever, twice, or after it has left.
Test(KnownVms, lost_vm_counts_for_five_minutes_and_left_vm_not_at_all) {
  decision::KnownVms Vms;
  Vms.update({"a", "b", "c"}, {}, Start);
  cr_assert_eq(Vms.count(), 3);
  cr_assert_eq(Vms.nextChange(), core::TimePoint::max());
  Vms.update({"a", "b"}, {"c"}, Start);
  cr_assert_eq(Vms.count(), 2);
  Vms.update({"a"}, {}, Start);
  cr_assert_eq(Vms.count(), 2);
  cr_assert_eq(Vms.nextChange(), Start + 5min);
  Vms.update({"a", "b"}, {}, Start + 1min);
  cr_assert_eq(Vms.count(), 2);
  Vms.update({"a"}, {}, Start + 2min);
  Vms.update({"a"}, {}, Start + 7min - 1ms);
  cr_assert_eq(Vms.count(), 2);
  Vms.update({"a"}, {}, Start + 7min);
  cr_assert_eq(Vms.count(), 1);
}
