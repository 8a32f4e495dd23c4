#ifndef JUJUBECART_APPS_JUJUBECARTD_WATCH_ROTATION_HPP
#define JUJUBECART_APPS_JUJUBECARTD_WATCH_ROTATION_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/member.hpp>

#include <vector>

namespace jujubecart::daemon {

/// @brief Number of VMs that watch the store at the same time.
constexpr std::size_t StoreWatcherCount = 2;

/// @brief Whether a VM watches the store during the current minute; the
/// watchers change every minute by rendezvous hashing.
///
/// VMs that know different members may choose different watchers, which only
/// costs a few more store calls.
/// @param Members All known entry VMs.
/// @param Self Id of the VM in question.
/// @param Now Wall clock time that selects the minute.
[[nodiscard]] bool shouldWatchStore(const std::vector<core::Member> &Members,
                                    const std::string &Self,
                                    core::WallTime Now);

} // namespace jujubecart::daemon

#endif
