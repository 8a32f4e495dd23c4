#include "common/draw.hpp"
#include "common/percentiles.hpp"

#include <cmath>
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace jujubecart::dev;

namespace {

// Guards against a load that differs from the stated one: the benchmark derives
// request rates for a load in percent from the mean service time of 10 ms, so a
// wrong mean or variation would change the load of every result.
void checkMoments(Distribution Shape) {
  constexpr int Count = 400000;
  const ServiceTimeModel ServiceTimes{Shape, 10.0};
  double Sum = 0.0;
  double SquareSum = 0.0;
  for (std::uint64_t Draw = 0; Draw < Count; ++Draw) {
    const double Ms =
        static_cast<double>(ServiceTimes.forDraw(splitMix64(Draw)).count()) /
        1e6;
    Sum += Ms;
    SquareSum += Ms * Ms;
  }
  const double Mean = Sum / Count;
  const double Variation = std::sqrt(SquareSum / Count - Mean * Mean) / Mean;
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

// Guards against a response to another request that passes as correct: callers
// compare the body with the one expected for their draw.
Test(draw, bodies_of_different_draws_differ) {
  cr_assert(makeResponseBody(1) != makeResponseBody(2));
  cr_assert(makeResponseBody(7) == makeResponseBody(7));
  cr_assert(parseDraw(formatDraw(0xfedcba9876543210ULL)) ==
            0xfedcba9876543210ULL);
  cr_assert(!parseDraw("xyz"));
}

// Guards against a p99.9 that is estimated from too few samples: below 10,000,
// fewer than ten lie above it.
Test(percentiles, p999_needs_ten_thousand_samples) {
  cr_assert(
      !summarizeLatencies(std::vector<double>(9999, 1.0)).contains("p999_ms"));
  cr_assert(
      summarizeLatencies(std::vector<double>(10000, 1.0)).contains("p999_ms"));
  cr_assert(quantile({1.0, 2.0, 3.0, 4.0}, 0.5) == 2.0);
  cr_assert(quantile({1.0, 2.0, 3.0, 4.0}, 0.99) == 4.0);
}

// Guards against orders of a later run that are rejected as repeated. Runs with
// the same seed have equal draws, so a key must also depend on the start time.
Test(OrderKeyText, equal_draws_of_two_runs_have_different_keys) {
  const std::chrono::system_clock::time_point First{std::chrono::seconds(100)};
  const auto Second = First + std::chrono::milliseconds(1);
  cr_assert(formatOrderKey(First, 7) == formatOrderKey(First, 7));
  cr_assert(formatOrderKey(First, 7) != formatOrderKey(First, 8));
  cr_assert(formatOrderKey(First, 7) != formatOrderKey(Second, 7));
}
