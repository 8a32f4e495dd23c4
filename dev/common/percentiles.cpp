#include "common/percentiles.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <numeric>

namespace jujubecart::dev {

namespace {

// Leaves ten samples above the quantile, the minimum for an estimate of it.
constexpr std::size_t MinSamplesForP999 = 10000;

} // namespace

double quantile(const std::vector<double> &Sorted, double Quantile) {
  if (Sorted.empty())
    return 0.0;
  const auto Count = static_cast<double>(Sorted.size());
  const auto Rank = static_cast<std::size_t>(std::ceil(Quantile * Count));
  return Sorted[std::clamp<std::size_t>(Rank, 1, Sorted.size()) - 1];
}

nlohmann::json summarizeLatencies(std::vector<double> Samples) {
  std::sort(Samples.begin(), Samples.end());
  nlohmann::json Result{{"count", Samples.size()}};
  if (Samples.empty())
    return Result;
  Result["mean_ms"] = std::accumulate(Samples.begin(), Samples.end(), 0.0) /
                      static_cast<double>(Samples.size());
  Result["p50_ms"] = quantile(Samples, 0.5);
  Result["p90_ms"] = quantile(Samples, 0.9);
  Result["p99_ms"] = quantile(Samples, 0.99);
  if (Samples.size() >= MinSamplesForP999)
    Result["p999_ms"] = quantile(Samples, 0.999);
  Result["max_ms"] = Samples.back();
  return Result;
}

nlohmann::json cumulativeDistribution(std::vector<double> Samples) {
  std::sort(Samples.begin(), Samples.end());
  nlohmann::json Points = nlohmann::json::array();
  const auto AddPoint = [&](int PerMille) {
    const double Quantile = PerMille / 1000.0;
    Points.push_back({Quantile, quantile(Samples, Quantile)});
  };
  for (int PerMille = 0; PerMille <= 990; PerMille += 10)
    AddPoint(PerMille);
  for (int PerMille = 991; PerMille <= 998; ++PerMille)
    AddPoint(PerMille);
  if (Samples.size() >= MinSamplesForP999)
    Points.push_back({0.999, quantile(Samples, 0.999)});
  return Points;
}

} // namespace jujubecart::dev
