#include "head_watch.hpp"
#include "snapshot_reader.hpp"

#include <jujubecart/core/log.hpp>

#include <algorithm>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <exception>

namespace jujubecart::store::internal {

void HeadWatch::start() {
  // The completion handler owns the object: the coroutine itself must not,
  // because its frame refers to members.
  boost::asio::co_spawn(Strand, run(),
                        boost::asio::bind_cancellation_slot(
                            Cancel.slot(), [Self = shared_from_this()](
                                               const std::exception_ptr &) {}));
}

void HeadWatch::stop() noexcept {
  Stopped = true;
  boost::asio::post(Strand, [Self = shared_from_this()] {
    Self->Cancel.emit(boost::asio::cancellation_type::all);
  });
}

core::Awaitable<void> HeadWatch::run() {
  while (!Stopped) {
    // GCC 12 destroys the frame too early if a co_await stands in the else
    // branch of a condition that itself has a co_await.
    const bool Succeeded = co_await step();
    if (Succeeded)
      Backoff = Settings.FirstBackoff;
    else if (!Stopped)
      co_await backOff();
  }
}

core::Awaitable<bool> HeadWatch::step() {
  const auto Stored = co_await Parts.Store.watch(
      std::string(HeadKey), Seen, Parts.Time.now() + Settings.WatchTimeout);
  if (Stopped)
    co_return true;
  if (Stored.has_error())
    co_return Stored.error() == core::Error::DeadlineExceeded;
  // A store that answers with an old version would otherwise be polled without
  // pause.
  if (Stored->Version <= Seen)
    co_return false;
  const auto Applied =
      co_await applyHead(Parts.Store, Parts.Table, Stored->Value,
                         Parts.Time.now() + Settings.ReadTimeout);
  if (Applied.has_error())
    co_return false;
  Seen = Stored->Version;
  co_return true;
}

core::Awaitable<void> HeadWatch::backOff() {
  // Half fixed, half random: watchers that failed together come back apart.
  const auto Half = Backoff.count() / 2;
  const std::chrono::milliseconds Delay{
      Half + static_cast<std::int64_t>(Parts.Random() %
                                       static_cast<std::uint64_t>(Half + 1))};
  core::LogLine(core::LogLevel::Debug, "config.watch-failed")
      .field("retry_ms", Delay.count());
  Backoff = std::min(Backoff * 2, Settings.LongestBackoff);
  co_await Parts.Delays.sleepUntil(Parts.Time.now() + Delay);
}

} // namespace jujubecart::store::internal
