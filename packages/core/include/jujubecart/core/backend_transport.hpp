#ifndef JUJUBECART_CORE_BACKEND_TRANSPORT_HPP
#define JUJUBECART_CORE_BACKEND_TRANSPORT_HPP

#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/config.hpp>
#include <jujubecart/core/error.hpp>
#include <jujubecart/core/slot_broker.hpp>

#include <boost/beast/http/message.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace jujubecart::core {

/// @brief Stream from which a message body is read.
class ByteSource {
public:
  virtual ~ByteSource() = default;

  /// @brief Reads the next bytes into a buffer.
  /// @return Number of bytes, 0 at the end of the body.
  [[nodiscard]] virtual Awaitable<Result<std::size_t>>
  read(std::span<char> Buffer) = 0;
};

/// @brief A request in the form in which it is sent to a backend server.
struct BackendRequest {
  /// Serialized head, up to and including the empty line.
  std::string Head;
  /// How the end of the body is marked; None if there is no body.
  enum class Framing : std::uint8_t { None, Length, Chunked };
  Framing Body = Framing::None;
  /// The method is HEAD: the response has no body, even with Content-Length.
  bool IsHead = false;
  /// Not idempotent: sent at most once, and only on a connection that was
  /// verified as live.
  bool IsOrder = false;
  /// Id sent by the caller; a response with another id is rejected. Empty if
  /// the caller sent none.
  std::string CallerRequestId;
  /// A health check, which is sent without an id: a response with any id
  /// belongs to another request.
  bool IsHealthCheck = false;
  /// Asked right before the first byte is sent. If it returns false, nothing is
  /// sent and the exchange ends as Withheld. Empty if the request is always
  /// sent.
  std::function<bool()> MaySend;
};

/// @brief Why an exchange is aborted.
enum class AbortReason : std::uint8_t { TimedOut, Cancelled };

/// @brief One attempt: a request and its response on one connection.
///
/// Used from one strand. Destruction before the end of the response closes
/// the connection, so that a late response cannot be taken for the response
/// to a later request.
class BackendExchange {
public:
  using Head = boost::beast::http::response_header<>;

  virtual ~BackendExchange() = default;

  /// @brief Sends the request and waits for the head of the response.
  /// @param Body Body of the request, or nullptr; must live until open()
  /// completes.
  /// @return No error if head() is available; report() has the outcome.
  [[nodiscard]] virtual Awaitable<std::error_code> open(ByteSource *Body) = 0;

  /// @brief Head of the response; valid only after open() succeeded.
  [[nodiscard]] virtual const Head &head() const noexcept = 0;

  /// @brief Length of the body in bytes, or nothing if the head states none.
  [[nodiscard]] virtual std::optional<std::uint64_t>
  contentLength() const noexcept = 0;

  /// @brief Reads the next bytes of the response body.
  /// @return Number of bytes; 0 only if the response is complete.
  [[nodiscard]] virtual Awaitable<Result<std::size_t>>
  read(std::span<char> Buffer) = 0;

  /// @brief Whether the response has been read to its end.
  [[nodiscard]] virtual bool complete() const noexcept = 0;

  /// @brief Whether bytes of the request may have reached the server.
  [[nodiscard]] virtual bool sent() const noexcept = 0;

  /// @brief Closes the connection; a pending operation ends with an error.
  virtual void abort(AbortReason Reason) noexcept = 0;

  /// @brief Outcome so far, as reported to the dispatcher.
  [[nodiscard]] virtual CallReport report() const noexcept = 0;
};

/// @brief Creates exchanges with backend servers.
class BackendTransport {
public:
  virtual ~BackendTransport() = default;

  /// @brief Creates an exchange; I/O starts with BackendExchange::open().
  [[nodiscard]] virtual std::unique_ptr<BackendExchange>
  prepare(const BackendServer &Server,
          std::shared_ptr<const BackendRequest> Request) = 0;
};

} // namespace jujubecart::core

#endif
