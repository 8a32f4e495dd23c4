#ifndef JUJUBECART_OPERATORS_TLS_FILES_HPP
#define JUJUBECART_OPERATORS_TLS_FILES_HPP

#include <compare>
#include <string>

namespace jujubecart::operators {

/// @brief PEM files for mutual TLS; all empty means plain TCP.
struct TlsFiles {
  std::string Certificate;
  std::string Key;
  std::string Ca;

  [[nodiscard]] bool enabled() const noexcept { return !Certificate.empty(); }

  friend auto operator<=>(const TlsFiles &, const TlsFiles &) = default;
};

} // namespace jujubecart::operators

#endif
