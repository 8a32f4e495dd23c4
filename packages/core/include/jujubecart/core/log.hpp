#ifndef JUJUBECART_CORE_LOG_HPP
#define JUJUBECART_CORE_LOG_HPP

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace jujubecart::core {

/// @brief Severity of a log line.
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// @brief Configures logging to standard output; lines are left out, and
/// counted, rather than waited for.
/// @param Vm VM id that each line carries.
/// @param Lowest Lines below this level are dropped.
void configureLog(std::string_view Vm, LogLevel Lowest);

/// @brief Builds and writes one key=value line; values are escaped.
class LogLine {
public:
  /// @brief Starts a line.
  /// @param Level Its severity.
  /// @param Event Stable name of the event, such as `vm.started`.
  LogLine(LogLevel Level, std::string_view Event);
  LogLine(const LogLine &) = delete;
  LogLine &operator=(const LogLine &) = delete;

  /// @brief Writes the line.
  ~LogLine();

  /// @brief Adds a field.
  LogLine &field(std::string_view Key, std::string_view Value);

  /// @brief Adds a numeric field.
  template <std::integral Number>
  LogLine &field(std::string_view Key, Number Value) {
    return field(Key, std::string_view(std::to_string(Value)));
  }

  /// @brief Adds an error code as message text.
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

/// @brief Quotes a value if needed, so that it cannot start a new field or
/// line.
[[nodiscard]] std::string escapeLogValue(std::string_view Value);

} // namespace jujubecart::core

#endif
