#ifndef JUJUBECART_CORE_BACKEND_TRANSPORT_HPP
#define JUJUBECART_CORE_BACKEND_TRANSPORT_HPP

#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/config.hpp>
#include <jujubecart/core/error.hpp>
#include <jujubecart/core/slot_broker.hpp>

#include <boost/beast/http/message.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace jujubecart::core {

/// @brief Supplies a message body in order.
class ByteSource {
public:
  virtual ~ByteSource() = default;

  /// @brief Reads the next bytes into a buffer.
  /// @return Number of bytes, 0 at the end of the body.
  [[nodiscard]] virtual Awaitable<Result<std::size_t>>
  read(std::span<char> Buffer) = 0;
};

/// @brief One request, as sent to a backend server.
struct BackendRequest {
  /// Serialized head, up to and including the empty line.
  std::string Head;
  /// Nothing if there is no body.
  enum class Framing : std::uint8_t { None, Length, Chunked };
  Framing Body = Framing::None;
  /// The response to HEAD has no body whatever its fields say.
  bool IsHead = false;
  /// Must only be sent on a connection verified as live, and only once.
  bool IsOrder = false;
  /// Id that the response must repeat, if it repeats one.
  std::string CallerRequestId;
};

/// @brief Why an exchange is given up.
enum class AbortReason : std::uint8_t { TimedOut, Cancelled };

/// @brief One attempt: a request and its response on one connection.
///
/// Used from one strand. Destruction before the end of the response closes
/// the connection, so that nobody else can receive a late response.
class BackendExchange {
public:
  using Head = boost::beast::http::response_header<>;

  virtual ~BackendExchange() = default;

  /// @brief Sends the request and waits for the head of the response.
  /// @param Body Body of the request, or nullptr; must outlive the call.
  /// @return No error if head() is available; report() states the outcome.
  [[nodiscard]] virtual Awaitable<std::error_code> open(ByteSource *Body) = 0;

  /// @brief Head of the response, after open succeeded.
  [[nodiscard]] virtual const Head &head() const noexcept = 0;

  /// @brief Length of the body, or nothing if it is chunked.
  [[nodiscard]] virtual std::optional<std::uint64_t>
  contentLength() const noexcept = 0;

  /// @brief Reads the next bytes of the response body.
  /// @return Number of bytes; 0 only if the response is complete.
  [[nodiscard]] virtual Awaitable<Result<std::size_t>>
  read(std::span<char> Buffer) = 0;

  /// @brief Whether the whole response has been read.
  [[nodiscard]] virtual bool complete() const noexcept = 0;

  /// @brief Whether bytes of the request may have reached the server.
  [[nodiscard]] virtual bool sent() const noexcept = 0;

  /// @brief Closes the connection; a pending operation ends with an error.
  virtual void abort(AbortReason Reason) noexcept = 0;

  /// @brief Outcome so far, for the dispatcher.
  [[nodiscard]] virtual CallReport report() const noexcept = 0;
};

/// @brief Creates exchanges with backend servers.
class BackendTransport {
public:
  virtual ~BackendTransport() = default;

  /// @brief Prepares an exchange without I/O.
  [[nodiscard]] virtual std::unique_ptr<BackendExchange>
  prepare(const BackendServer &Server,
          std::shared_ptr<const BackendRequest> Request) = 0;
};

} // namespace jujubecart::core

#endif
