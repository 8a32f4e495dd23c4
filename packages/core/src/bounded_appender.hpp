#ifndef JUJUBECART_CORE_SRC_BOUNDED_APPENDER_HPP
#define JUJUBECART_CORE_SRC_BOUNDED_APPENDER_HPP

#include <chrono>
#include <cstdint>
#include <log4cplus/appender.h>

namespace jujubecart::core::internal {

/// @brief Writes lines to standard output at a bounded rate and never waits
/// for its reader; what was left out is counted in a line of its own.
class BoundedAppender final : public log4cplus::Appender {
public:
  BoundedAppender();
  ~BoundedAppender() override;

  void close() override;

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override;

private:
  [[nodiscard]] bool takeToken();
  [[nodiscard]] bool write(const std::string &Line);
  void reportDropped();

  double Tokens;
  std::chrono::steady_clock::time_point Refilled;
  std::uint64_t Dropped = 0;
};

} // namespace jujubecart::core::internal

#endif
