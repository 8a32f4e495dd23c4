#include "build_info.hpp"

#include "source_digest.hpp"

namespace jujubecart::daemon {

std::string_view productVersion() noexcept { return JUJUBECART_VERSION; }

std::string_view sourceDigest() noexcept { return JUJUBECART_SOURCE_DIGEST; }

} // namespace jujubecart::daemon
