#include "simulation.hpp"

#include <criterion/criterion.h>

using namespace simulation;
using jujubecart::decision::DispatcherOptions;

namespace {

struct Fleet {
  unsigned Servers;
  unsigned Slots;
};

constexpr Fleet Fleets[] = {{8, 2}, {6, 3}, {12, 2}, {17, 3}};

Setting settingOf(const Fleet &Size, double Load) {
  Setting Given;
  Given.Servers = Size.Servers;
  Given.Slots = Size.Slots;
  Given.Load = Load;
  Given.Seed = 1;
  return Given;
}

void checkTail(double Load, double MostRatio, double LeastClosed) {
  for (const Fleet &Size : Fleets) {
    const Setting Given = settingOf(Size, Load);
    const double Ideal = ideal(Given).quantile(0.99);
    const double Baseline = local(Given, "power-of-two-choices").quantile(0.99);
    Figures Ours = dispatched(Given, DispatcherOptions{});
    const double Reached = Ours.quantile(0.99);
    cr_assert_eq(Ours.Rejected, 0);
    cr_assert_leq(Reached, MostRatio * Ideal, "%u x %u: p99 %.1f, ideal %.1f",
                  Size.Servers, Size.Slots, Reached, Ideal);
    cr_assert_geq(Baseline - Reached, LeastClosed * (Baseline - Ideal),
                  "%u x %u: p99 %.1f, ideal %.1f, two choices %.1f",
                  Size.Servers, Size.Slots, Reached, Ideal, Baseline);
  }
}

} // namespace

// Guards against calls bound to a server whose slots stay busy for long.
Test(Quality, p99_at_75_percent_load_is_near_ideal) {
  checkTail(0.75, 1.15, 0.6);
}

// Guards against slots that idle while the end of a call is on its way.
Test(Quality, p99_at_90_percent_load_is_near_ideal) {
  checkTail(0.9, 1.25, 0.7);
}

// Guards against network delay added to the median call.
Test(Quality, median_at_75_percent_load_is_near_ideal) {
  for (const Fleet &Size : Fleets) {
    const Setting Given = settingOf(Size, 0.75);
    cr_assert_leq(dispatched(Given, DispatcherOptions{}).quantile(0.5),
                  1.5 * ideal(Given).quantile(0.5));
  }
}

// Guards against a server that slows down tenfold without warning and keeps
// attracting calls.
Test(Quality, straggler_raises_p99_by_at_most_half) {
  for (const Fleet &Size : Fleets) {
    Setting Given = settingOf(Size, 0.75);
    const double Without =
        dispatched(Given, DispatcherOptions{}).quantile(0.99);
    Given.Straggler = episodes(draws(Given).back().Arrival, 1);
    const double With = dispatched(Given, DispatcherOptions{}).quantile(0.99);
    cr_assert_leq(With, 1.5 * Without, "%u x %u: p99 %.1f, without %.1f",
                  Size.Servers, Size.Slots, With, Without);
  }
}

// Guards against a zone preference that overloads one zone: with callers in a
// single zone, its two servers must spill over before latency rises.
Test(Quality, callers_in_one_zone_spill_over_to_the_others) {
  Setting Given = settingOf({8, 2}, 0.75);
  Given.Vms = 1;
  Figures Ours = dispatched(Given, DispatcherOptions{});
  cr_assert_leq(Ours.quantile(0.99), 1.15 * ideal(Given).quantile(0.99));
  for (const auto &[Id, Count] : Ours.Granted)
    cr_assert_geq(Count, Given.Calls / 16, "%s got %u calls", Id.c_str(),
                  Count);
}
