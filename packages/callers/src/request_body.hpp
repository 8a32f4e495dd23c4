#ifndef JUJUBECART_CALLERS_SRC_REQUEST_BODY_HPP
#define JUJUBECART_CALLERS_SRC_REQUEST_BODY_HPP

#include "body_budget.hpp"
#include "caller_link.hpp"

#include <jujubecart/core/backend_transport.hpp>

#include <vector>

namespace jujubecart::callers::internal {

/// @brief Request body: a buffered first part; the rest is streamed.
class RequestBody {
public:
  RequestBody(CallerLink &Link, BodyBudget &Budget)
      : Link(Link), Budget(Budget) {}
  RequestBody(const RequestBody &) = delete;
  RequestBody &operator=(const RequestBody &) = delete;
  ~RequestBody() { Budget.giveBack(TakenBytes); }

  /// @brief Buffers the first bytes of the body, or all of a shorter one.
  /// @param Size Number of bytes that every request may buffer.
  /// @param MaxSize Maximum number of bytes, while the budget has room.
  /// @return Whether reading succeeded; see malformed() for the cause.
  [[nodiscard]] core::Awaitable<bool> prefetch(std::size_t Size,
                                               std::size_t MaxSize);

  /// @brief Whether another attempt can send the body from its beginning: no
  /// byte after the buffered part has been read.
  [[nodiscard]] bool replayable() const noexcept { return !Streamed; }

  /// @brief Whether the whole body is buffered.
  [[nodiscard]] bool fullyBuffered() const noexcept { return FullyBuffered; }

  /// @brief Whether reading from the caller failed.
  [[nodiscard]] bool failed() const noexcept { return Failed; }

  /// @brief Whether reading failed because the body is malformed or larger than
  /// the limit; HttpReader::limitExceeded() tells these cases apart.
  [[nodiscard]] bool malformed() const noexcept { return Malformed; }

private:
  friend class BodyCursor;

  /// @brief Whether Bytes may be buffered, of which all beyond FreeBytes are
  /// taken from the budget.
  [[nodiscard]] bool reserve(std::size_t Bytes, std::size_t FreeBytes);

  CallerLink &Link;
  BodyBudget &Budget;
  /// Bytes taken from the budget.
  std::size_t TakenBytes = 0;
  std::vector<char> Prefix;
  bool FullyBuffered = false;
  bool Streamed = false;
  bool Failed = false;
  bool Malformed = false;
};

/// @brief Reads a request body for one attempt, from its beginning.
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
