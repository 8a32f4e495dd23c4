#ifndef JUJUBECART_DEV_IDEAL_REPLAY_HPP
#define JUJUBECART_DEV_IDEAL_REPLAY_HPP

#include "common/experiment.hpp"

#include <vector>

namespace jujubecart::dev {

/// @brief Latencies of one central FIFO queue per service with all its slots.
/// A call is charged the legs from its caller to its entry VM, from there to
/// the zone of the slot, and back; a slot is occupied only while it serves.
/// @param Plan The experiment; entry VMs are used round robin.
/// @param All Its arrivals.
/// @return Latency of each arrival in milliseconds, in order.
[[nodiscard]] std::vector<double> replay(const Experiment &Plan,
                                         const std::vector<Arrival> &All);

} // namespace jujubecart::dev

#endif
