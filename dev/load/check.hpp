#ifndef JUJUBECART_DEV_LOAD_CHECK_HPP
#define JUJUBECART_DEV_LOAD_CHECK_HPP

#include "load/results.hpp"

#include <nlohmann/json_fwd.hpp>

namespace jujubecart::dev {

/// @brief Checks the callers' results against the runs on the backend servers.
/// @param Runs Run record of the fake backend servers (`GET /record`).
/// @return Counts of orders that ran more than once, requests reported as
/// not-run that did run, complete responses without a run, lookups that ran
/// more than once, and all runs.
[[nodiscard]] nlohmann::json
checkAgainstRuns(const Experiment &Plan, const std::vector<Arrival> &Arrivals,
                 const std::vector<CallResult> &Results,
                 const nlohmann::json &Runs);

} // namespace jujubecart::dev

#endif
