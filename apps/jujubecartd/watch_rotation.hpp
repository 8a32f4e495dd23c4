#ifndef JUJUBECART_APPS_JUJUBECARTD_WATCH_ROTATION_HPP
#define JUJUBECART_APPS_JUJUBECARTD_WATCH_ROTATION_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/member.hpp>

#include <vector>

namespace jujubecart::daemon {

/// @brief VMs that watch the store at the same time.
constexpr std::size_t WatchingVms = 2;

/// @brief Whether a VM watches the store during the current minute.
///
/// Disagreement between VMs costs a few more store calls, nothing else.
/// @param Members All known VMs.
/// @param Self Id of the VM.
/// @param Now Wall clock time, from which the minute is taken.
[[nodiscard]] bool watchesStore(const std::vector<core::Member> &Members,
                                const std::string &Self, core::WallTime Now);

} // namespace jujubecart::daemon

#endif
