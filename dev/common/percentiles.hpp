#ifndef JUJUBECART_DEV_COMMON_PERCENTILES_HPP
#define JUJUBECART_DEV_COMMON_PERCENTILES_HPP

#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace jujubecart::dev {

/// @brief Value at a quantile of sorted samples (nearest rank); 0 if empty.
[[nodiscard]] double quantile(const std::vector<double> &Sorted,
                              double Quantile);

/// @brief Sample count, mean, p50, p90, p99, maximum, and p99.9 only from
/// 10,000 samples on.
/// @param Samples Latencies in milliseconds, in any order.
[[nodiscard]] nlohmann::json summary(std::vector<double> Samples);

/// @brief Points of the cumulative distribution for plots.
/// @param Samples Latencies in milliseconds, in any order.
[[nodiscard]] nlohmann::json distribution(std::vector<double> Samples);

} // namespace jujubecart::dev

#endif
