#ifndef JUJUBECART_DEV_LOAD_CHECK_HPP
#define JUJUBECART_DEV_LOAD_CHECK_HPP

#include "load/results.hpp"

#include <nlohmann/json_fwd.hpp>

namespace jujubecart::dev {

/// @brief Compares the callers' results with the record of what ran.
/// @param Runs Record of the fake backend servers.
/// @return Counts of orders that ran twice, rejections as not-run that ran,
/// complete responses without a run, and attempts per call.
[[nodiscard]] nlohmann::json compare(const Experiment &Plan,
                                     const std::vector<Arrival> &All,
                                     const std::vector<Sample> &Samples,
                                     const nlohmann::json &Runs);

} // namespace jujubecart::dev

#endif
