#include <jujubecart/core/sleeper.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jujubecart::core {

Awaitable<void> SystemSleeper::sleepUntil(TimePoint Instant) {
  boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor,
                                  Instant);
  co_await Timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

} // namespace jujubecart::core
