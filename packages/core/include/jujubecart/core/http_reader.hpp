#ifndef JUJUBECART_CORE_HTTP_READER_HPP
#define JUJUBECART_CORE_HTTP_READER_HPP

#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/error.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <span>
#include <string_view>
#include <utility>

namespace jujubecart::core {

/// @brief Size limits of one message, in bytes.
struct HttpLimits {
  std::size_t MaxHeadBytes = 16384;
  std::uint64_t MaxBodyBytes = std::numeric_limits<std::uint64_t>::max();
};

/// @brief Gives the limits in force at the moment.
class HttpLimitSource {
public:
  virtual ~HttpLimitSource() = default;

  [[nodiscard]] virtual HttpLimits httpLimits() const = 0;
};

/// @brief Result of reading a message head.
enum class HeadError : std::uint8_t {
  None,
  /// The connection ended before the first byte of the head.
  Closed,
  /// The connection ended or failed within the head.
  Io,
  Malformed,
  TooLarge,
};

/// @brief Reads messages one after another from a connection.
///
/// Bytes after the end of a message stay in the buffer for the next one.
template <bool IsRequest> class HttpReader {
public:
  using Parser =
      boost::beast::http::parser<IsRequest, boost::beast::http::buffer_body>;
  using Message = typename Parser::value_type;

  explicit HttpReader(HttpLimits Limits);

  /// @brief Creates a reader whose limits may change. A message is within the
  /// limits if those at its beginning or later ones allow it.
  /// @param Source Must outlive the reader.
  explicit HttpReader(const HttpLimitSource &Source);
  HttpReader(const HttpReader &) = delete;
  HttpReader &operator=(const HttpReader &) = delete;

  /// @brief Waits until at least one byte of the next message is buffered.
  /// @return False if the connection ended or failed.
  [[nodiscard]] Awaitable<bool> waitForData(boost::asio::ip::tcp::socket &From);

  /// @brief Reads and validates the next message head.
  /// @param From Connection to read from.
  /// @param NoBody The message has no body, even if its fields announce one
  /// (response to HEAD).
  [[nodiscard]] Awaitable<HeadError>
  readHead(boost::asio::ip::tcp::socket &From, bool NoBody = false);

  /// @brief Reads the next bytes of the body.
  /// @return Number of bytes, 0 only at the end of the message;
  /// OutcomeUnknown if the connection failed, Malformed if the body is invalid
  /// or too large.
  [[nodiscard]] Awaitable<Result<std::size_t>>
  readBody(boost::asio::ip::tcp::socket &From, std::span<char> Into);

  /// @brief The current message; valid only after readHead() succeeded.
  [[nodiscard]] const Message &message() const noexcept {
    return Current->get();
  }

  /// @brief Moves the head out; the body can still be read.
  [[nodiscard]] typename Message::header_type releaseHead() {
    return std::move(Current->get().base());
  }

  /// @brief Parser of the current message; valid only after readHead()
  /// succeeded.
  [[nodiscard]] const Parser &parser() const noexcept { return *Current; }

  /// @brief Error message for HeadError::Malformed.
  [[nodiscard]] std::string_view malformedReason() const noexcept {
    return MalformedReason;
  }

  /// @brief Whether the current message has been read to its end.
  [[nodiscard]] bool complete() const noexcept {
    return Current && Current->is_done();
  }

  /// @brief Number of bytes received but not yet parsed; they belong to the
  /// next message once complete() is true.
  [[nodiscard]] std::size_t buffered() const noexcept { return Buffer.size(); }

  /// @brief Whether the body exceeds HttpLimits::MaxBodyBytes.
  [[nodiscard]] bool limitExceeded() const noexcept { return LimitExceeded; }

private:
  /// @brief Reads up to Size bytes into the buffer.
  /// @return False if the buffer is full, or the connection ended or failed.
  [[nodiscard]] Awaitable<bool> fill(boost::asio::ip::tcp::socket &From,
                                     std::size_t Size);
  /// @brief Validates and parses the first Size bytes of the buffer.
  [[nodiscard]] HeadError parseHead(std::size_t Size, bool NoBody);
  [[nodiscard]] bool finishAtEndOfStream(boost::asio::ip::tcp::socket &From);
  void setLimits(HttpLimits Current);
  /// @brief Raises the limits of the current message to those in force now.
  void raiseLimits();
  [[nodiscard]] bool exceedsHead(std::size_t Bytes);
  [[nodiscard]] bool exceedsBody(std::uint64_t Bytes);
  void watchChunks();

  HttpLimits Limits;
  /// Null if the limits never change.
  const HttpLimitSource *Source = nullptr;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Current;
  std::string_view MalformedReason;
  bool LimitExceeded = false;
  /// Sizes of the chunks of the current body that have begun, in bytes.
  std::uint64_t ChunkBytes = 0;
  /// Checks a chunk when its size is known.
  std::function<void(std::uint64_t, std::string_view,
                     boost::system::error_code &)>
      OnChunk;
  /// Whether the last read returned an end of stream, orderly or not.
  bool EndOfStream = false;
};

extern template class HttpReader<true>;
extern template class HttpReader<false>;

} // namespace jujubecart::core

#endif
