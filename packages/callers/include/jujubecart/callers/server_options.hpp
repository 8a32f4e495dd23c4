#ifndef JUJUBECART_CALLERS_SERVER_OPTIONS_HPP
#define JUJUBECART_CALLERS_SERVER_OPTIONS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace jujubecart::callers {

/// @brief Limits and timeouts of the server for callers.
///
/// While the configuration has a routing table, the table's limits replace
/// MaxHeadBytes, MaxBodyBytes, HeadTimeout and IdleTimeout.
struct ServerOptions {
  /// Connections above this limit are answered with 503 and closed.
  std::size_t MaxConnections = 20000;
  /// Bytes of a request head.
  std::size_t MaxHeadBytes = 16384;
  /// Bytes of a request body.
  std::uint64_t MaxBodyBytes = 16777216;
  /// Request bodies up to this size are read before a slot is acquired, so that
  /// a slow sender holds no slot and another attempt can send the body again.
  std::size_t MaxBufferedBodyBytes = 16384;
  /// Larger bodies up to this size are read before a slot is acquired as well,
  /// while BufferedBodyBudget has room for them; otherwise the part beyond
  /// MaxBufferedBodyBytes is streamed to the backend server.
  std::size_t MaxBufferedUploadBytes = 524288;
  /// Bytes that the bodies of all requests together may buffer beyond
  /// MaxBufferedBodyBytes; a fraction of the memory of a small VM (160 MB).
  std::size_t BufferedBodyBudget = 16777216;
  /// From the first byte of a request to the end of its head.
  std::chrono::milliseconds HeadTimeout{10000};
  /// For receiving the part of a body that is read before a slot is acquired.
  std::chrono::milliseconds BodyTimeout{10000};
  /// How long a connection may wait for the next request.
  std::chrono::milliseconds IdleTimeout{60000};
  /// For each write to a caller.
  std::chrono::milliseconds WriteTimeout{30000};
  /// Maximum buffer in bytes for each response being relayed. A response with a
  /// Content-Length up to this size is read in full before the caller gets the
  /// first byte.
  std::size_t MaxBufferedResponseBytes = 16384;
  /// Upper limit of a caller's deadline and of a service's default deadline.
  std::chrono::milliseconds MaxDeadline{30000};
  /// Attempts per request, including the first one; a route has its own limit.
  std::uint32_t MaxAttempts = 2;
  /// Another attempt is made only if more than this is left until the deadline.
  std::chrono::milliseconds MinRetryTime{20};
  /// Delay after which an idempotent request that is still pending is also sent
  /// to a second backend server; 0 disables hedging.
  std::chrono::milliseconds HedgeDelay{0};
  /// Nesting of calls that a request may state; deeper ones are rejected.
  std::uint32_t MaxCallDepth = 16;
  /// Value of `Retry-After` if the dispatcher does not supply one.
  std::chrono::milliseconds RetryAfter{1000};
  /// Whether responses without a Content-Length are also buffered, up to
  /// MaxBufferedResponseBytes, before the caller gets the first byte, so that a
  /// response that ends early can be replaced by another attempt.
  bool BufferResponsesWithoutLength = false;
  /// API keys are accepted only while the configuration is complete up to an
  /// instant at most this long ago. Not used without
  /// ServerDependencies::Freshness.
  std::chrono::milliseconds MaxKeyAge{0};
  /// How long idle connections can still send a request after stop() began.
  std::chrono::milliseconds StopIdleGrace{500};
};

} // namespace jujubecart::callers

#endif
