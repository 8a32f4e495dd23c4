#ifndef JUJUBECART_DEV_COMMON_PERCENTILES_HPP
#define JUJUBECART_DEV_COMMON_PERCENTILES_HPP

#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace jujubecart::dev {

/// @brief Nearest-rank quantile of samples in ascending order; 0 if empty.
/// @param Quantile From 0 to 1.
[[nodiscard]] double quantile(const std::vector<double> &Sorted,
                              double Quantile);

/// @brief Count, mean, p50, p90, p99 and maximum of the samples, and p99.9 if
/// there are at least 10,000.
/// @param Samples Latencies in milliseconds, in any order.
[[nodiscard]] nlohmann::json summarizeLatencies(std::vector<double> Samples);

/// @brief Points of the cumulative distribution for plots, as pairs of a
/// quantile from 0 to 1 and the latency in milliseconds.
/// @param Samples Latencies in milliseconds, in any order.
[[nodiscard]] nlohmann::json
cumulativeDistribution(std::vector<double> Samples);

} // namespace jujubecart::dev

#endif
