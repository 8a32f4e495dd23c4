#ifndef JUJUBECART_APPS_JUJUBECARTD_BUILD_INFO_HPP
#define JUJUBECART_APPS_JUJUBECARTD_BUILD_INFO_HPP

#include <string_view>

namespace jujubecart::daemon {

/// @brief Version of the product.
[[nodiscard]] std::string_view productVersion() noexcept;

/// @brief Digest of the sources that this program was built from; `cmake -P
/// cmake/SourceDigest.cmake` prints that of a work tree.
[[nodiscard]] std::string_view sourceDigest() noexcept;

} // namespace jujubecart::daemon

#endif
