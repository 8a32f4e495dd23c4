#ifndef JUJUBECART_CORE_HTTP_LIMITS_HPP
#define JUJUBECART_CORE_HTTP_LIMITS_HPP

#include <cstddef>

namespace jujubecart::core {

/// Bytes that a client buffers outside of a response body: its head, or the
/// head of a chunk or trailer. Parsers limit the head only; a faulty server can
/// make the others endless.
constexpr std::size_t MaxHttpBufferBytes = 65536;

} // namespace jujubecart::core

#endif
