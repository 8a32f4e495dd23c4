#ifndef JUJUBECART_CORE_FINDINGS_HPP
#define JUJUBECART_CORE_FINDINGS_HPP

#include <compare>
#include <string>
#include <vector>

namespace jujubecart::core {

/// @brief A validation error and its location in a JSON file.
struct Finding {
  std::string File;
  /// JSON pointer (RFC 6901) of the value.
  std::string Pointer;
  std::string Found;
  std::string Expected;

  friend auto operator<=>(const Finding &, const Finding &) = default;
};

/// @brief Collects the validation errors of a file, to report them together.
class Findings {
public:
  /// @param File Name of the file, copied into each finding.
  explicit Findings(std::string File) : File(std::move(File)) {}

  /// @param Pointer JSON pointer of the invalid value.
  /// @param Found Description of the value in the file.
  /// @param Expected Description of valid values.
  void add(std::string Pointer, std::string Found, std::string Expected);

  /// @brief All findings, in the order of add().
  [[nodiscard]] const std::vector<Finding> &items() const noexcept {
    return Items;
  }

  [[nodiscard]] bool empty() const noexcept { return Items.empty(); }

  /// @brief All findings as text, one line each.
  [[nodiscard]] std::string text() const;

private:
  std::string File;
  std::vector<Finding> Items;
};

} // namespace jujubecart::core

#endif
