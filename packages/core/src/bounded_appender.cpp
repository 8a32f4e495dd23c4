#include "bounded_appender.hpp"

#include <algorithm>
#include <poll.h>
#include <sstream>
#include <string>
#include <unistd.h>

namespace jujubecart::core::internal {

namespace {

// Token bucket of the rate limit, one token a line. For comparison: a VM that
// serves 100 requests per second writes about 300 lines per second.
constexpr double LinesPerSecond = 1000;
constexpr double MaxTokens = 4000;

} // namespace

BoundedAppender::BoundedAppender()
    : Tokens(MaxTokens), LastRefill(std::chrono::steady_clock::now()) {}

BoundedAppender::~BoundedAppender() { destructorImpl(); }

void BoundedAppender::close() { closed = true; }

bool BoundedAppender::takeToken() {
  const auto Now = std::chrono::steady_clock::now();
  const double Elapsed =
      std::chrono::duration<double>(Now - LastRefill).count();
  LastRefill = Now;
  Tokens = std::min(MaxTokens, Tokens + Elapsed * LinesPerSecond);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

// Does not block: a pipe that poll() reports as writable accepts up to PIPE_BUF
// bytes at once.
bool BoundedAppender::write(const std::string &Line) {
  pollfd Ready{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
  if (::poll(&Ready, 1, 0) != 1 || (Ready.revents & POLLOUT) == 0)
    return false;
  return ::write(STDOUT_FILENO, Line.data(), Line.size()) > 0;
}

void BoundedAppender::reportDropped() {
  const std::string Line =
      "level=WARN event=log.dropped lines=" + std::to_string(Dropped) + "\n";
  if (write(Line))
    Dropped = 0;
}

void BoundedAppender::append(
    const log4cplus::spi::InternalLoggingEvent &Event) {
  if (!takeToken()) {
    ++Dropped;
    return;
  }
  if (Dropped > 0)
    reportDropped();
  std::ostringstream Text;
  layout->formatAndAppend(Text, Event);
  if (!write(Text.str()))
    ++Dropped;
}

} // namespace jujubecart::core::internal
