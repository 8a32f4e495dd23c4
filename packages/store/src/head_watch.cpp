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
  // The completion handler, not the coroutine, owns this object: the frame of
  // the coroutine refers to members and must be destroyed before them.
  boost::asio::co_spawn(
      Strand, run(),
      boost::asio::bind_cancellation_slot(
          Cancellation.slot(),
          [Self = shared_from_this()](const std::exception_ptr &) {}));
}

void HeadWatch::stop() noexcept {
  Stopped = true;
  boost::asio::post(Strand, [Self = shared_from_this()] {
    Self->Cancellation.emit(boost::asio::cancellation_type::all);
  });
}

core::Awaitable<void> HeadWatch::run() {
  while (!Stopped) {
    // The result is stored first because GCC 12 destroys the frame too early if
    // the else branch of a condition that contains a co_await has one, too.
    const bool Succeeded = co_await watchOnce();
    if (Succeeded)
      Backoff = Settings.InitialBackoff;
    else if (!Stopped)
      co_await backOff();
  }
}

core::Awaitable<bool> HeadWatch::watchOnce() {
  const auto Stored =
      co_await Env.Store.watch(std::string(HeadKey), AppliedVersion,
                               Env.Time.now() + Settings.WatchTimeout);
  if (Stopped)
    co_return true;
  if (Stored.has_error())
    co_return Stored.error() == core::Error::DeadlineExceeded;
  // Counts as a failure, so that a store that returns an old version at once is
  // not polled without a delay.
  if (Stored->Version <= AppliedVersion)
    co_return false;
  const auto Applied =
      co_await applyHead(Env.Store, Env.Table, Stored->Value,
                         Env.Time.now() + Settings.ReadTimeout);
  if (Applied.has_error())
    co_return false;
  AppliedVersion = Stored->Version;
  co_return true;
}

core::Awaitable<void> HeadWatch::backOff() {
  // Half of the delay is fixed and half is random, so that VMs whose watches
  // failed at the same time do not retry at the same time.
  const auto Half = Backoff.count() / 2;
  const std::chrono::milliseconds Delay{
      Half + static_cast<std::int64_t>(Env.Random() %
                                       static_cast<std::uint64_t>(Half + 1))};
  core::LogLine(core::LogLevel::Debug, "config.watch-failed")
      .field("retry_ms", Delay.count());
  Backoff = std::min(Backoff * 2, Settings.MaxBackoff);
  co_await Env.Sleeper.sleepUntil(Env.Time.now() + Delay);
}

} // namespace jujubecart::store::internal
