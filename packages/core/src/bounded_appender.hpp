#ifndef JUJUBECART_CORE_SRC_BOUNDED_APPENDER_HPP
#define JUJUBECART_CORE_SRC_BOUNDED_APPENDER_HPP

#include <chrono>
#include <cstdint>
#include <log4cplus/appender.h>

namespace jujubecart::core::internal {

/// @brief Writes log lines to standard output with a rate limit and without
/// blocking on a slow reader. Lines that do not fit are dropped; their number
/// is logged before the next line.
class BoundedAppender final : public log4cplus::Appender {
public:
  BoundedAppender();
  ~BoundedAppender() override;

  void close() override;

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override;

private:
  [[nodiscard]] bool takeToken();
  /// @brief Writes a line unless that would block.
  [[nodiscard]] bool write(const std::string &Line);
  void reportDropped();

  double Tokens;
  std::chrono::steady_clock::time_point LastRefill;
  /// Number of lines dropped since the last report.
  std::uint64_t Dropped = 0;
};

} // namespace jujubecart::core::internal

#endif
