#ifndef JUJUBECART_DEV_IDEAL_REPLAY_HPP
#define JUJUBECART_DEV_IDEAL_REPLAY_HPP

#include "common/experiment.hpp"

#include <vector>

namespace jujubecart::dev {

/// @brief Replays an experiment with ideal scheduling: one central FIFO queue
/// per service that feeds all slots of the service.
///
/// A latency includes the network delays from the caller to its entry VM, from
/// there to the zone of the slot, and back. Network delays do not occupy a
/// slot, only the service time does.
/// @param Plan The experiment; entry VMs are used round robin.
/// @param Arrivals Arrivals of the experiment, ordered by due time.
/// @return Latency of each arrival in milliseconds, in order.
[[nodiscard]] std::vector<double> replay(const Experiment &Plan,
                                         const std::vector<Arrival> &Arrivals);

} // namespace jujubecart::dev

#endif
