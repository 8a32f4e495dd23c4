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
#include <limits>
#include <optional>
#include <span>
#include <string_view>
#include <utility>

namespace jujubecart::core {

/// @brief Limits of one message.
struct HttpLimits {
  std::size_t Head = 16384;
  std::uint64_t Body = std::numeric_limits<std::uint64_t>::max();
};

/// @brief Why a head was not accepted.
enum class HeadError : std::uint8_t {
  None,
  /// The peer closed before the first byte.
  Closed,
  /// The connection failed inside the head.
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

  /// @brief Creates a reader.
  explicit HttpReader(HttpLimits Limits);

  /// @brief Waits until at least one byte of the next message is there.
  [[nodiscard]] Awaitable<bool> waitForData(boost::asio::ip::tcp::socket &From);

  /// @brief Reads a head and checks it strictly.
  /// @param From Connection to read from.
  /// @param NoBody The message has no body whatever its fields say.
  [[nodiscard]] Awaitable<HeadError>
  readHead(boost::asio::ip::tcp::socket &From, bool NoBody = false);

  /// @brief Reads body bytes; 0 only at the end of the message.
  [[nodiscard]] Awaitable<Result<std::size_t>>
  readBody(boost::asio::ip::tcp::socket &From, std::span<char> Into);

  /// @brief The message whose head was read.
  [[nodiscard]] const Message &message() const noexcept {
    return Current->get();
  }

  /// @brief Moves the head out; body and connection state stay readable.
  [[nodiscard]] typename Message::header_type releaseHead() {
    return std::move(Current->get().base());
  }

  /// @brief The parser of the current message.
  [[nodiscard]] const Parser &parser() const noexcept { return *Current; }

  /// @brief Explains HeadError::Malformed.
  [[nodiscard]] std::string_view fault() const noexcept { return Fault; }

  /// @brief Whether the whole message has been read.
  [[nodiscard]] bool complete() const noexcept {
    return Current && Current->is_done();
  }

  /// @brief Bytes received after the end of the current message.
  [[nodiscard]] std::size_t buffered() const noexcept { return Buffer.size(); }

  /// @brief Whether the body is larger than the limit.
  [[nodiscard]] bool limitExceeded() const noexcept { return LimitExceeded; }

private:
  [[nodiscard]] Awaitable<bool> fill(boost::asio::ip::tcp::socket &From,
                                     std::size_t Size);
  [[nodiscard]] HeadError parseHead(std::size_t Size, bool NoBody);
  [[nodiscard]] bool endsHere();

  HttpLimits Limits;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Current;
  std::string_view Fault;
  bool LimitExceeded = false;
  /// Whether the peer closed its side in order.
  bool EndOfStream = false;
};

extern template class HttpReader<true>;
extern template class HttpReader<false>;

} // namespace jujubecart::core

#endif
