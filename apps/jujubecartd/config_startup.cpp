#include "config_startup.hpp"

#include <jujubecart/core/log.hpp>
#include <jujubecart/core/request_id.hpp>

#include <algorithm>

namespace jujubecart::daemon {

namespace internal {

constexpr std::chrono::milliseconds ReadTimeout{1000};
// Peers answer within milliseconds if any is up; a first start of the whole
// fleet must not wait long for them.
constexpr std::chrono::milliseconds PeerTimeout{300};
constexpr std::chrono::milliseconds FirstDelay{20};
// Caps the load on a store that recovers while the whole fleet waits for it.
constexpr std::chrono::milliseconds LongestDelay{1000};

// Full jitter, so that VMs that start together do not ask together.
core::TimePoint jittered(core::TimePoint Now, std::chrono::milliseconds Delay) {
  const auto Span = static_cast<std::uint64_t>(Delay.count());
  return Now + std::chrono::milliseconds(1 + core::newRequestId().Value % Span);
}

} // namespace internal

core::Awaitable<void> ConfigStartup::run() {
  (void)co_await Sync.askPeers(Time.now() + internal::PeerTimeout);
  std::chrono::milliseconds Delay = internal::FirstDelay;
  while (Table.current()->revision() == 0) {
    co_await Delays.sleepUntil(internal::jittered(Time.now(), Delay));
    if (Table.current()->revision() != 0)
      break;
    const auto Read = co_await Reader.read(Time.now() + internal::ReadTimeout);
    if (Read)
      break;
    core::LogLine(core::LogLevel::Warning, "config.store_unavailable")
        .field("error", Read.error());
    Delay = std::min(Delay * 2, internal::LongestDelay);
  }
  Finished = true;
  core::LogLine(core::LogLevel::Info, "config.startup_finished")
      .field("revision", Table.current()->revision());
}

} // namespace jujubecart::daemon
