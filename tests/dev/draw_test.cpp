#include "common/draw.hpp"
#include "common/percentiles.hpp"

#include <cmath>
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace jujubecart::dev;

namespace {

// Guards against a load other than the one that the benchmark states: the
// rate of a service in percent is derived from the mean of 10 ms.
void checkMoments(Distribution Shape) {
  constexpr int Count = 400000;
  const ServiceTimes Times{Shape, 10.0};
  double Sum = 0.0;
  double Squares = 0.0;
  for (std::uint64_t Draw = 0; Draw < Count; ++Draw) {
    const double Ms = static_cast<double>(Times.of(mix(Draw)).count()) / 1e6;
    Sum += Ms;
    Squares += Ms * Ms;
  }
  const double Mean = Sum / Count;
  const double Variation = std::sqrt(Squares / Count - Mean * Mean) / Mean;
  cr_assert(std::abs(Mean - 10.0) < 0.1, "mean %f", Mean);
  cr_assert(std::abs(Variation - 1.5) < 0.05, "variation %f", Variation);
}

} // namespace

Test(draw, lognormal_service_times_have_stated_moments) {
  checkMoments(Distribution::LogNormal);
}

Test(draw, bimodal_service_times_have_stated_moments) {
  checkMoments(Distribution::Bimodal);
}

// Guards against a mixed-up response that passes the check of the callers.
Test(draw, bodies_of_different_draws_differ) {
  cr_assert(responseBody(1) != responseBody(2));
  cr_assert(responseBody(7) == responseBody(7));
  cr_assert(parseDraw(drawText(0xfedcba9876543210ULL)) ==
            0xfedcba9876543210ULL);
  cr_assert(!parseDraw("xyz"));
}

// Guards against a p99.9 that rests on a handful of samples.
Test(percentiles, p999_needs_ten_thousand_samples) {
  cr_assert(!summary(std::vector<double>(9999, 1.0)).contains("p999_ms"));
  cr_assert(summary(std::vector<double>(10000, 1.0)).contains("p999_ms"));
  cr_assert(quantile({1.0, 2.0, 3.0, 4.0}, 0.5) == 2.0);
  cr_assert(quantile({1.0, 2.0, 3.0, 4.0}, 0.99) == 4.0);
}

// Guards against orders of a later run that are rejected as repeated, since
// runs with one seed have the same draws.
Test(OrderKeyText, equal_draws_of_two_runs_have_different_keys) {
  const std::chrono::system_clock::time_point First{std::chrono::seconds(100)};
  const auto Second = First + std::chrono::milliseconds(1);
  cr_assert(orderKeyText(First, 7) == orderKeyText(First, 7));
  cr_assert(orderKeyText(First, 7) != orderKeyText(First, 8));
  cr_assert(orderKeyText(First, 7) != orderKeyText(Second, 7));
}
