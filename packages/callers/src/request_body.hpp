#ifndef JUJUBECART_CALLERS_SRC_REQUEST_BODY_HPP
#define JUJUBECART_CALLERS_SRC_REQUEST_BODY_HPP

#include "caller_link.hpp"

#include <jujubecart/core/backend_transport.hpp>

#include <vector>

namespace jujubecart::callers::internal {

/// @brief Body of a request: a buffered beginning, the rest as it arrives.
class RequestBody {
public:
  explicit RequestBody(CallerLink &From) : From(From) {}

  /// @brief Reads up to a size, or the whole body if it is shorter.
  /// @return Whether the caller sent it without error.
  [[nodiscard]] core::Awaitable<bool> prefetch(std::size_t Size);

  /// @brief Whether another attempt can send the body from its beginning.
  [[nodiscard]] bool replayable() const noexcept { return !Streamed; }

  /// @brief Whether all of it is buffered.
  [[nodiscard]] bool buffered() const noexcept { return Whole; }

  /// @brief Whether reading from the caller failed.
  [[nodiscard]] bool failed() const noexcept { return Failed; }

  /// @brief Whether the caller's framing of the body was invalid.
  [[nodiscard]] bool malformed() const noexcept { return Malformed; }

private:
  friend class BodyCursor;

  CallerLink &From;
  std::vector<char> Prefix;
  bool Whole = false;
  bool Streamed = false;
  bool Failed = false;
  bool Malformed = false;
};

/// @brief Position of one attempt in the body.
class BodyCursor final : public core::ByteSource {
public:
  explicit BodyCursor(RequestBody &Body) : Body(Body) {}

  [[nodiscard]] core::Awaitable<core::Result<std::size_t>>
  read(std::span<char> Buffer) override;

private:
  RequestBody &Body;
  std::size_t Position = 0;
};

} // namespace jujubecart::callers::internal

#endif
