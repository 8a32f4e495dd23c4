#include "fakes/simulation.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jujubecart::dev {

namespace asio = boost::asio;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

// Any fixed date will do; a plausible one keeps records readable.
constexpr std::chrono::seconds WallStart{1'700'000'000};

} // namespace

core::WallTime SimulatedClock::wallNow() const noexcept {
  return core::WallTime(WallStart +
                        std::chrono::duration_cast<core::WallTime::duration>(
                            Now.time_since_epoch()));
}

core::Awaitable<void> Simulation::sleepUntil(core::TimePoint Instant) {
  const auto Wait = std::make_shared<Timer>(Context, Timer::time_point::max());
  Sleeping.emplace(std::pair{std::max(Instant, Time.now()), ++Sequence}, Wait);
  co_await Wait->async_wait(AsTuple);
}

core::Awaitable<void> Simulation::sleepFor(std::uint64_t Milliseconds) {
  return sleepUntil(Time.now() + std::chrono::milliseconds(Milliseconds));
}

core::Awaitable<void> Simulation::halt() {
  for (;;) {
    Timer Never(Context, Timer::time_point::max());
    co_await Never.async_wait(AsTuple);
  }
}

void Simulation::runUntil(core::TimePoint End) {
  for (;;) {
    Context.restart();
    Context.poll();
    if (Sleeping.empty() || Sleeping.begin()->first.first > End) {
      Time.advanceTo(std::max(End, Time.now()));
      return;
    }
    const auto First = Sleeping.begin();
    Time.advanceTo(First->first.first);
    if (const auto Wait = First->second.lock())
      Wait->cancel();
    Sleeping.erase(First);
  }
}

} // namespace jujubecart::dev
