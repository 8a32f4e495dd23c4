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

/// @brief Reads the members of a JSON object and adds each error to Findings.
///
/// After an error, the functions return a default value, so that one pass
/// finds all errors.
class JsonReader {
public:
  /// @param Value Value to read; it must outlive the reader. A value that is
  /// not an object is reported and read as an empty object.
  /// @param Pointer JSON pointer of the value, used in findings.
  /// @param Report Receives the findings.
  JsonReader(const nlohmann::json &Value, std::string Pointer,
             Findings &Report);

  /// @brief Reads a required integer from Low to High, both included.
  [[nodiscard]] std::int64_t integer(std::string_view Key, std::int64_t Low,
                                     std::int64_t High);

  /// @brief Reads an optional integer from Low to High, both included.
  [[nodiscard]] std::int64_t integerOr(std::string_view Key, std::int64_t Low,
                                       std::int64_t High, std::int64_t Default);

  /// @brief Reads an optional number from Low to High, both included.
  [[nodiscard]] double numberOr(std::string_view Key, double Low, double High,
                                double Default);

  /// @brief Reads a required, non-empty string without control characters.
  [[nodiscard]] std::string string(std::string_view Key);

  /// @brief Reads an optional, non-empty string without control characters.
  [[nodiscard]] std::string stringOr(std::string_view Key,
                                     std::string_view Default);

  /// @brief Reads an optional boolean.
  [[nodiscard]] bool booleanOr(std::string_view Key, bool Default);

  /// @brief Reads a string that must be one of the choices.
  /// @param Default Index used if the key is absent; without it, the key is
  /// required.
  /// @return Index of the choice.
  [[nodiscard]] std::size_t choice(std::string_view Key,
                                   const std::vector<std::string> &Choices,
                                   std::optional<std::size_t> Default);

  /// @brief Reads a member that must be an object.
  /// @return The object, or nullptr if it is absent or of another type.
  [[nodiscard]] const nlohmann::json *object(std::string_view Key,
                                             bool Required);

  /// @brief Reads a member that must be an array.
  /// @return The array, or nullptr if it is absent or of another type.
  [[nodiscard]] const nlohmann::json *array(std::string_view Key,
                                            bool Required);

  /// @brief Reads an optional array of non-empty strings; invalid elements are
  /// reported and omitted.
  [[nodiscard]] std::vector<std::string> strings(std::string_view Key);

  /// @brief Reads an optional member of any type; JSON null if it is absent.
  [[nodiscard]] const nlohmann::json &value(std::string_view Key);

  /// @brief Reports each key that no earlier call has read; call it last.
  void rejectUnknownKeys();

  /// @brief JSON pointer of a member.
  [[nodiscard]] std::string pointer(std::string_view Key) const;

private:
  [[nodiscard]] const nlohmann::json *find(std::string_view Key, bool Required,
                                           std::string_view Expected);

  const nlohmann::json &Value;
  std::string BasePointer;
  Findings &Report;
  std::set<std::string, std::less<>> ReadKeys;
};

/// @brief Parses JSON text; duplicate keys of an object are reported.
/// @param Report Receives the findings; a syntax error with its position.
/// @return The value, or nothing if the text is not valid JSON.
[[nodiscard]] std::optional<nlohmann::json> parseJson(std::string_view Text,
                                                      Findings &Report);

} // namespace jujubecart::core

#endif
