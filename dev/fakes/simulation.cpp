#include "fakes/simulation.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jujubecart::dev {

namespace asio = boost::asio;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

// Arbitrary fixed date (November 2023), so that timestamps in output look
// plausible.
constexpr std::chrono::seconds WallStart{1'700'000'000};

} // namespace

core::WallTime SimulatedClock::wallNow() const noexcept {
  return core::WallTime(WallStart +
                        std::chrono::duration_cast<core::WallTime::duration>(
                            Now.time_since_epoch()));
}

core::Awaitable<void> Simulation::sleepUntil(core::TimePoint Instant) {
  const auto Wakeup =
      std::make_shared<Timer>(Context, Timer::time_point::max());
  Sleepers.emplace(std::pair{std::max(Instant, ManualClock.now()), ++Sequence},
                   Wakeup);
  co_await Wakeup->async_wait(AsTuple);
}

core::Awaitable<void> Simulation::sleepFor(std::uint64_t Milliseconds) {
  return sleepUntil(ManualClock.now() +
                    std::chrono::milliseconds(Milliseconds));
}

core::Awaitable<void> Simulation::suspendForever() {
  for (;;) {
    Timer Never(Context, Timer::time_point::max());
    co_await Never.async_wait(AsTuple);
  }
}

void Simulation::runUntil(core::TimePoint End) {
  for (;;) {
    Context.restart();
    Context.poll();
    if (Sleepers.empty() || Sleepers.begin()->first.first > End) {
      ManualClock.advanceTo(std::max(End, ManualClock.now()));
      return;
    }
    const auto First = Sleepers.begin();
    ManualClock.advanceTo(First->first.first);
    if (const auto Wakeup = First->second.lock())
      Wakeup->cancel();
    Sleepers.erase(First);
  }
}

} // namespace jujubecart::dev
