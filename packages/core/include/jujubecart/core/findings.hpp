#ifndef JUJUBECART_CORE_FINDINGS_HPP
#define JUJUBECART_CORE_FINDINGS_HPP

#include <compare>
#include <string>
#include <vector>

namespace jujubecart::core {

/// @brief One validation diagnostic and its location.
struct Finding {
  std::string File;
  /// JSON pointer (RFC 6901) of the value.
  std::string Pointer;
  std::string Found;
  std::string Expected;

  friend auto operator<=>(const Finding &, const Finding &) = default;
};

/// @brief Collects diagnostics so that they are reported together.
class Findings {
public:
  /// @brief Creates an empty collection.
  /// @param File Name that each finding carries.
  explicit Findings(std::string File) : File(std::move(File)) {}

  /// @brief Adds a finding.
  /// @param Pointer JSON pointer of the value.
  /// @param Found What the file has.
  /// @param Expected What is valid.
  void add(std::string Pointer, std::string Found, std::string Expected);

  /// @brief All findings in the order in which they were added.
  [[nodiscard]] const std::vector<Finding> &items() const noexcept {
    return Items;
  }

  [[nodiscard]] bool empty() const noexcept { return Items.empty(); }

  /// @brief Formats one line per finding.
  [[nodiscard]] std::string text() const;

private:
  std::string File;
  std::vector<Finding> Items;
};

} // namespace jujubecart::core

#endif
