#ifndef JUJUBECART_CORE_JSON_READER_HPP
#define JUJUBECART_CORE_JSON_READER_HPP

#include <jujubecart/core/findings.hpp>

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecart::core {

/// @brief Reads one JSON object and reports every problem to Findings.
class JsonReader {
public:
  /// @brief Wraps an object; a value of another type is a finding.
  /// @param Value The value to read.
  /// @param Pointer JSON pointer of the value.
  /// @param Report Collects the diagnostics.
  JsonReader(const nlohmann::json &Value, std::string Pointer,
             Findings &Report);

  /// @brief Reads a required integer within a closed range.
  [[nodiscard]] std::int64_t integer(std::string_view Key, std::int64_t Low,
                                     std::int64_t High);

  /// @brief Reads an optional integer within a closed range.
  [[nodiscard]] std::int64_t integerOr(std::string_view Key, std::int64_t Low,
                                       std::int64_t High, std::int64_t Default);

  /// @brief Reads a required number within a closed range.
  [[nodiscard]] double numberOr(std::string_view Key, double Low, double High,
                                double Default);

  /// @brief Reads a required non-empty string of printable characters.
  [[nodiscard]] std::string string(std::string_view Key);

  /// @brief Reads an optional string.
  [[nodiscard]] std::string stringOr(std::string_view Key,
                                     std::string_view Default);

  /// @brief Reads an optional boolean.
  [[nodiscard]] bool booleanOr(std::string_view Key, bool Default);

  /// @brief Reads a string that must be one of some choices.
  /// @return The index of the choice, or Default if the key is absent.
  [[nodiscard]] std::size_t choice(std::string_view Key,
                                   const std::vector<std::string> &Choices,
                                   std::optional<std::size_t> Default);

  /// @brief Reads a member object, or nullptr if it is absent.
  [[nodiscard]] const nlohmann::json *object(std::string_view Key,
                                             bool Required);

  /// @brief Reads a member array, or nullptr if it is absent.
  [[nodiscard]] const nlohmann::json *array(std::string_view Key,
                                            bool Required);

  /// @brief Reads an optional array of non-empty strings.
  [[nodiscard]] std::vector<std::string> strings(std::string_view Key);

  /// @brief Reads an optional member of any type, or null.
  [[nodiscard]] const nlohmann::json &value(std::string_view Key);

  /// @brief Reports every key that was not read; call last.
  void rejectUnknownKeys();

  /// @brief JSON pointer of a member.
  [[nodiscard]] std::string pointer(std::string_view Key) const;

private:
  [[nodiscard]] const nlohmann::json *find(std::string_view Key, bool Required,
                                           std::string_view Expected);

  const nlohmann::json &Value;
  std::string Base;
  Findings &Report;
  std::set<std::string, std::less<>> Read;
};

/// @brief Parses text as JSON; a syntax error is a finding with its position.
/// @param Text The file's content.
/// @param Report Collects the diagnostics.
/// @return The value, or nothing if the text is not JSON.
[[nodiscard]] std::optional<nlohmann::json> parseJson(std::string_view Text,
                                                      Findings &Report);

} // namespace jujubecart::core

#endif
