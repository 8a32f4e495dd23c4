#include "config_startup.hpp"

#include <jujubecart/core/log.hpp>
#include <jujubecart/core/request_id.hpp>

#include <algorithm>

namespace jujubecart::daemon {

namespace internal {

constexpr std::chrono::milliseconds ReadTimeout{1000};
// Peers that are up answer within milliseconds. When the whole fleet starts for
// the first time none of them has a configuration, so the wait must be short.
constexpr std::chrono::milliseconds PeerTimeout{300};
constexpr std::chrono::milliseconds InitialBackoff{20};
// Limits the load on a store that recovers while the whole fleet retries.
constexpr std::chrono::milliseconds MaxBackoff{1000};

// Full jitter: a random instant within MaxDelay, so that VMs that start
// together do not query the store together.
core::TimePoint addJitter(core::TimePoint Now,
                          std::chrono::milliseconds MaxDelay) {
  const auto Span = static_cast<std::uint64_t>(MaxDelay.count());
  return Now + std::chrono::milliseconds(1 + core::newRequestId().Value % Span);
}

} // namespace internal

core::Awaitable<void> ConfigStartup::run() {
  (void)co_await Sync.requestFromPeers(Time.now() + internal::PeerTimeout);
  std::chrono::milliseconds Backoff = internal::InitialBackoff;
  while (Table.current()->revision() == 0) {
    co_await Sleeper.sleepUntil(internal::addJitter(Time.now(), Backoff));
    if (Table.current()->revision() != 0)
      break;
    const auto Read = co_await Reader.read(Time.now() + internal::ReadTimeout);
    if (Read)
      break;
    core::LogLine(core::LogLevel::Warning, "config.store_unavailable")
        .field("error", Read.error());
    Backoff = std::min(Backoff * 2, internal::MaxBackoff);
  }
  Finished = true;
  core::LogLine(core::LogLevel::Info, "config.startup_finished")
      .field("revision", Table.current()->revision());
}

} // namespace jujubecart::daemon
