#ifndef JUJUBECART_CORE_WHOLE_RESPONSE_HPP
#define JUJUBECART_CORE_WHOLE_RESPONSE_HPP

#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/http_rules.hpp>
#include <jujubecart/core/stream_end.hpp>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/result.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace boost::asio::ssl {
template <typename Inner> class stream;
} // namespace boost::asio::ssl

namespace jujubecart::core {

/// @brief A response that was read to its end.
struct WholeResponse {
  unsigned Status = 0;
  /// Names and values of the header fields.
  std::vector<std::pair<std::string, std::string>> Head;
  std::string Body;
  /// Whether the connection can carry another request: it stays open, and
  /// nothing was received behind the response.
  bool Reusable = false;
};

/// @brief Is told of the bytes of a response as they arrive, and may postpone
/// the deadline of the stream between two reads.
class ReceiveObserver {
public:
  virtual ~ReceiveObserver() = default;

  virtual void onReceived(std::size_t Bytes) = 0;
};

namespace internal {

inline bool endedInOrder(boost::beast::tcp_stream &From) noexcept {
  return core::endedInOrder(From.socket());
}

inline bool endedInOrder(boost::asio::ip::tcp::socket &From) noexcept {
  return core::endedInOrder(From);
}

// TLS reports an end of stream only after the message that closes the session,
// else an error.
template <typename Inner>
bool endedInOrder(boost::asio::ssl::stream<Inner> &) noexcept {
  return true;
}

/// @brief Reads until the buffer holds a message head, and validates it.
template <typename Stream>
[[nodiscard]] Awaitable<boost::system::error_code>
receiveResponseHead(Stream &From, boost::beast::flat_buffer &Buffer,
                    ReceiveObserver *Observer) {
  constexpr std::size_t ReadSize = 4096;
  namespace errc = boost::system::errc;
  std::size_t SearchedSize = 0;
  while (true) {
    const std::string_view Received(
        static_cast<const char *>(Buffer.cdata().data()), Buffer.size());
    const std::size_t End =
        Received.find("\r\n\r\n", SearchedSize > 3 ? SearchedSize - 3 : 0);
    if (End != std::string_view::npos)
      co_return validateResponseHead(Received.substr(0, End + 4)) == nullptr
          ? boost::system::error_code()
          : errc::make_error_code(errc::bad_message);
    SearchedSize = Received.size();
    if (SearchedSize == Buffer.max_size())
      co_return errc::make_error_code(errc::message_size);
    const auto [Code, Count] = co_await From.async_read_some(
        Buffer.prepare(std::min(ReadSize, Buffer.max_size() - SearchedSize)),
        boost::asio::as_tuple(boost::asio::use_awaitable));
    Buffer.commit(Count);
    if (Code)
      co_return Code;
    if (Observer != nullptr)
      Observer->onReceived(Count);
  }
}

/// @brief Reads the rest of a message into its parser.
template <typename Stream, typename Parser>
[[nodiscard]] Awaitable<boost::system::error_code>
receiveRest(Stream &From, boost::beast::flat_buffer &Buffer, Parser &Into,
            ReceiveObserver *Observer) {
  Into.eager(true);
  while (!Into.is_done()) {
    const std::size_t Before = Buffer.size();
    const auto [Code, Parsed] = co_await boost::beast::http::async_read_some(
        From, Buffer, Into, boost::asio::as_tuple(boost::asio::use_awaitable));
    if (Code)
      co_return Code;
    if (Observer != nullptr && Parsed + Buffer.size() > Before)
      Observer->onReceived(Parsed + Buffer.size() - Before);
  }
  co_return boost::system::error_code();
}

} // namespace internal

/// @brief Reads one response with its body; interim (1xx) ones are skipped.
/// @param From `tcp::socket`, `tcp_stream` or a TLS stream.
/// @param Buffer Bytes received before; keeps those behind the response.
/// @param MaxBodyBytes Largest body, in bytes.
/// @param Observer May be null.
/// @return The response, or an error if it is invalid, incomplete or too large
/// (http::error::body_limit), or if it cannot be known that it is complete.
template <typename Stream>
[[nodiscard]] Awaitable<boost::system::result<WholeResponse>>
readWholeResponse(Stream &From, boost::beast::flat_buffer &Buffer,
                  std::uint64_t MaxBodyBytes,
                  ReceiveObserver *Observer = nullptr) {
  namespace http = boost::beast::http;
  // A server sends one or two before a response; without a limit, a faulty one
  // would keep the reader busy for ever.
  constexpr int MaxInterimResponses = 8;
  constexpr unsigned FirstFinalStatus = 200;
  constexpr unsigned SwitchingProtocols = 101;
  for (int Count = 0; Count <= MaxInterimResponses; ++Count) {
    if (const auto Failed =
            co_await internal::receiveResponseHead(From, Buffer, Observer))
      co_return Failed;
    http::response_parser<http::string_body> Parser;
    Parser.body_limit(MaxBodyBytes);
    if (const auto Failed =
            co_await internal::receiveRest(From, Buffer, Parser, Observer))
      co_return Failed;
    const unsigned Status = Parser.get().result_int();
    // An upgrade is never requested.
    if (Status == SwitchingProtocols)
      break;
    if (Status < FirstFinalStatus)
      continue;
    if (Parser.need_eof() && !internal::endedInOrder(From))
      co_return boost::asio::error::make_error_code(
          boost::asio::error::connection_reset);
    WholeResponse Out{.Status = Status,
                      .Head = {},
                      .Body = std::move(Parser.get().body()),
                      .Reusable = Parser.keep_alive() && Buffer.size() == 0};
    for (const auto &Field : Parser.get())
      Out.Head.emplace_back(Field.name_string(), Field.value());
    co_return Out;
  }
  co_return boost::system::errc::make_error_code(
      boost::system::errc::bad_message);
}

} // namespace jujubecart::core

#endif
