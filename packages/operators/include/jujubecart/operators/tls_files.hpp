#ifndef JUJUBECART_OPERATORS_TLS_FILES_HPP
#define JUJUBECART_OPERATORS_TLS_FILES_HPP

#include <compare>
#include <string>

namespace jujubecart::operators {

/// @brief Paths of the PEM files for mutual TLS; without a certificate, plain
/// TCP is used.
struct TlsFiles {
  std::string Certificate;
  std::string Key;
  std::string Ca;

  [[nodiscard]] bool enabled() const noexcept { return !Certificate.empty(); }

  friend auto operator<=>(const TlsFiles &, const TlsFiles &) = default;
};

} // namespace jujubecart::operators

#endif
