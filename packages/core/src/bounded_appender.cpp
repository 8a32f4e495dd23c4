#include "bounded_appender.hpp"

#include <algorithm>
#include <poll.h>
#include <sstream>
#include <string>
#include <unistd.h>

namespace jujubecart::core::internal {

namespace {

// A VM that serves 100 requests a second writes about 300 lines.
constexpr double LinesPerSecond = 1000;
constexpr double MostTokens = 4000;

} // namespace

BoundedAppender::BoundedAppender()
    : Tokens(MostTokens), Refilled(std::chrono::steady_clock::now()) {}

BoundedAppender::~BoundedAppender() { destructorImpl(); }

void BoundedAppender::close() { closed = true; }

bool BoundedAppender::takeToken() {
  const auto Now = std::chrono::steady_clock::now();
  const double Elapsed = std::chrono::duration<double>(Now - Refilled).count();
  Refilled = Now;
  Tokens = std::min(MostTokens, Tokens + Elapsed * LinesPerSecond);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

// A pipe that is ready takes a line of up to PIPE_BUF bytes without waiting.
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
