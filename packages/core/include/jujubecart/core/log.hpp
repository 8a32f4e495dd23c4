#ifndef JUJUBECART_CORE_LOG_HPP
#define JUJUBECART_CORE_LOG_HPP

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace jujubecart::core {

/// @brief Severity of a log line, in ascending order.
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// @brief Configures logging to standard output. Logging never blocks: lines
/// beyond the rate limit, or that cannot be written at once, are dropped and
/// counted.
/// @param Vm Id of this VM, written to each line.
/// @param MinLevel Lines below this level are not written.
void configureLog(std::string_view Vm, LogLevel MinLevel);

/// @brief Builds one log line of `key=value` fields and writes it on
/// destruction.
class LogLine {
public:
  /// @param Event Event name such as `vm.started`; part of the external
  /// interface.
  LogLine(LogLevel Level, std::string_view Event);
  LogLine(const LogLine &) = delete;
  LogLine &operator=(const LogLine &) = delete;

  ~LogLine();

  /// @brief Adds a field; the value is escaped if needed.
  LogLine &field(std::string_view Key, std::string_view Value);

  template <std::integral Number>
  LogLine &field(std::string_view Key, Number Value) {
    return field(Key, std::string_view(std::to_string(Value)));
  }

  /// @brief Adds the message of an error code.
  template <typename Code>
    requires requires(const Code &Value) { Value.message(); }
  LogLine &field(std::string_view Key, const Code &Value) {
    return field(Key, std::string_view(Value.message()));
  }

private:
  LogLevel Level;
  bool Enabled;
  std::string Text;
};

/// @brief Quotes and escapes a value if it could otherwise be taken for another
/// field or a line end; prevents log injection.
[[nodiscard]] std::string escapeLogValue(std::string_view Value);

} // namespace jujubecart::core

#endif
