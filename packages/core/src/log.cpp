#include <jujubecart/core/log.hpp>

#include "bounded_appender.hpp"

#include <algorithm>
#include <array>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

namespace jujubecart::core {

namespace internal {

log4cplus::Logger logger() {
  static log4cplus::Initializer Library;
  return log4cplus::Logger::getInstance("jujubecart");
}

log4cplus::LogLevel toLibraryLevel(LogLevel Level) noexcept {
  switch (Level) {
  case LogLevel::Debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case LogLevel::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case LogLevel::Warning:
    return log4cplus::WARN_LOG_LEVEL;
  case LogLevel::Error:
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

bool needsQuotes(char Character) noexcept {
  return Character <= ' ' || Character == '"' || Character == '=' ||
         Character == '\\' || Character == 0x7f;
}

} // namespace internal

void configureLog(std::string_view Vm, LogLevel MinLevel) {
  log4cplus::Logger Logger = internal::logger();
  log4cplus::SharedAppenderPtr Appender(new internal::BoundedAppender());
  const std::string Pattern =
      "time=%d{%Y-%m-%dT%H:%M:%S.%q}Z level=%p vm=" + escapeLogValue(Vm) +
      " %m%n";
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(Pattern));
  Logger.removeAllAppenders();
  Logger.addAppender(Appender);
  Logger.setLogLevel(internal::toLibraryLevel(MinLevel));
}

LogLine::LogLine(LogLevel Level, std::string_view Event)
    : Level(Level), Enabled(internal::logger().isEnabledFor(
                        internal::toLibraryLevel(Level))) {
  if (Enabled)
    Text = "event=" + escapeLogValue(Event);
}

LogLine::~LogLine() {
  if (Enabled)
    internal::logger().log(internal::toLibraryLevel(Level), Text, nullptr, 0);
}

LogLine &LogLine::field(std::string_view Key, std::string_view Value) {
  if (Enabled)
    Text += " " + std::string(Key) + "=" + escapeLogValue(Value);
  return *this;
}

std::string escapeLogValue(std::string_view Value) {
  if (!Value.empty() &&
      std::none_of(Value.begin(), Value.end(), internal::needsQuotes))
    return std::string(Value);
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Quoted = "\"";
  for (const char Character : Value) {
    const auto Byte = static_cast<unsigned char>(Character);
    if (Character == '"' || Character == '\\') {
      Quoted += '\\';
      Quoted += Character;
    } else if (Byte < ' ' || Byte >= 0x7f) {
      Quoted += "\\x";
      Quoted += Digits[Byte >> 4U];
      Quoted += Digits[Byte & 0xfU];
    } else {
      Quoted += Character;
    }
  }
  return Quoted + "\"";
}

} // namespace jujubecart::core
