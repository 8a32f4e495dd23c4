#include <jujubecart/core/http_reader.hpp>

#include <jujubecart/core/http_rules.hpp>
#include <jujubecart/core/stream_end.hpp>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jujubecart::core {

namespace internal {

namespace http = boost::beast::http;

constexpr auto UseTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr std::size_t ReadSize = 4096;

std::string_view text(const boost::beast::flat_buffer &Buffer) noexcept {
  return {static_cast<const char *>(Buffer.cdata().data()), Buffer.size()};
}

} // namespace internal

template <bool IsRequest>
HttpReader<IsRequest>::HttpReader(HttpLimits Limits)
    : Limits(Limits), Buffer(Limits.MaxHeadBytes + internal::ReadSize) {}

template <bool IsRequest>
HttpReader<IsRequest>::HttpReader(const HttpLimitSource &Source)
    : HttpReader(Source.httpLimits()) {
  this->Source = &Source;
}

template <bool IsRequest>
void HttpReader<IsRequest>::setLimits(HttpLimits Current) {
  Limits = Current;
  // Bytes of the next messages may already be there.
  Buffer.max_size(
      std::max(Limits.MaxHeadBytes + internal::ReadSize, Buffer.size()));
}

template <bool IsRequest> void HttpReader<IsRequest>::raiseLimits() {
  if (Source == nullptr)
    return;
  const HttpLimits Current = Source->httpLimits();
  setLimits(
      {.MaxHeadBytes = std::max(Limits.MaxHeadBytes, Current.MaxHeadBytes),
       .MaxBodyBytes = std::max(Limits.MaxBodyBytes, Current.MaxBodyBytes)});
}

template <bool IsRequest>
bool HttpReader<IsRequest>::exceedsHead(std::size_t Bytes) {
  if (Bytes > Limits.MaxHeadBytes)
    raiseLimits();
  return Bytes > Limits.MaxHeadBytes;
}

template <bool IsRequest>
bool HttpReader<IsRequest>::exceedsBody(std::uint64_t Bytes) {
  if (Bytes > Limits.MaxBodyBytes)
    raiseLimits();
  return Bytes > Limits.MaxBodyBytes;
}

template <bool IsRequest>
Awaitable<bool> HttpReader<IsRequest>::fill(boost::asio::ip::tcp::socket &From,
                                            std::size_t Size) {
  const std::size_t Available = Buffer.max_size() - Buffer.size();
  if (Available == 0)
    co_return false;
  const auto [Code, Count] = co_await From.async_read_some(
      Buffer.prepare(std::min(Size, Available)), internal::UseTuple);
  Buffer.commit(Count);
  EndOfStream = Code == boost::asio::error::eof;
  co_return !Code;
}

template <bool IsRequest>
Awaitable<bool>
HttpReader<IsRequest>::waitForData(boost::asio::ip::tcp::socket &From) {
  if (Buffer.size() == 0)
    co_return co_await fill(From, internal::ReadSize);
  co_return true;
}

template <bool IsRequest>
Awaitable<HeadError>
HttpReader<IsRequest>::readHead(boost::asio::ip::tcp::socket &From,
                                bool NoBody) {
  Current.reset();
  if (Source != nullptr)
    setLimits(Source->httpLimits());
  std::size_t SearchedSize = 0;
  while (true) {
    // RFC 9112, 2.2: servers should ignore an empty line before the request
    // line.
    if (IsRequest && SearchedSize == 0 &&
        internal::text(Buffer).substr(0, 2) == "\r\n")
      Buffer.consume(2);
    const std::string_view Received = internal::text(Buffer);
    const std::size_t End =
        Received.find("\r\n\r\n", SearchedSize > 3 ? SearchedSize - 3 : 0);
    if (End != std::string_view::npos)
      co_return parseHead(End + 4, NoBody);
    // A head of this size has at least one more byte.
    if (exceedsHead(Received.size() + 1))
      co_return HeadError::TooLarge;
    // Without this check, a head that ends with bare line feeds would be
    // rejected only by the timeout.
    if (Received.find("\n\n") != std::string_view::npos) {
      MalformedReason = "line does not end with CRLF";
      co_return HeadError::Malformed;
    }
    SearchedSize = Received.size();
    if (!co_await fill(From, internal::ReadSize))
      co_return SearchedSize == 0 ? HeadError::Closed : HeadError::Io;
  }
}

template <bool IsRequest>
HeadError HttpReader<IsRequest>::parseHead(std::size_t Size, bool NoBody) {
  if (exceedsHead(Size))
    return HeadError::TooLarge;
  const std::string_view Head = internal::text(Buffer).substr(0, Size);
  const char *Problem =
      IsRequest ? validateHead(Head) : validateResponseHead(Head);
  if (Problem != nullptr) {
    MalformedReason = Problem;
    return HeadError::Malformed;
  }
  Current.emplace();
  Current->header_limit(static_cast<std::uint32_t>(Limits.MaxHeadBytes));
  Current->body_limit(boost::none);
  LimitExceeded = false;
  ChunkBytes = 0;
  if constexpr (!IsRequest)
    Current->skip(NoBody);
  boost::system::error_code Code;
  const std::size_t Used =
      Current->put(boost::asio::buffer(Buffer.cdata().data(), Size), Code);
  if (Code && Code != internal::http::error::need_buffer) {
    MalformedReason = "malformed message head";
    return HeadError::Malformed;
  }
  Buffer.consume(Used);
  if (!Current->is_header_done()) {
    MalformedReason = "malformed message head";
    return HeadError::Malformed;
  }
  const auto Length = Current->content_length();
  LimitExceeded = Length && exceedsBody(*Length);
  if constexpr (IsRequest)
    watchChunks();
  else if (!LimitExceeded)
    Current->body_limit(Limits.MaxBodyBytes);
  return HeadError::None;
}

// Not left to the limit of the parser, which cannot be raised within a body.
template <bool IsRequest> void HttpReader<IsRequest>::watchChunks() {
  if (!Current->chunked())
    return;
  if (!OnChunk)
    OnChunk = [this](std::uint64_t Size, std::string_view /*Extensions*/,
                     boost::system::error_code &Code) {
      // The sum of two sizes must not overflow.
      ChunkBytes += std::min(Size, std::numeric_limits<std::uint64_t>::max() -
                                       ChunkBytes);
      if (exceedsBody(ChunkBytes))
        Code = internal::http::error::body_limit;
    };
  Current->on_chunk_header(OnChunk);
}

// Ends a body that is delimited by the end of the connection. It is complete
// only if that was an orderly close.
template <bool IsRequest>
bool HttpReader<IsRequest>::finishAtEndOfStream(
    boost::asio::ip::tcp::socket &From) {
  if (!EndOfStream || !Current->need_eof() || !endedInOrder(From))
    return false;
  boost::system::error_code Code;
  Current->put_eof(Code);
  return !Code && Current->is_done();
}

template <bool IsRequest>
Awaitable<Result<std::size_t>>
HttpReader<IsRequest>::readBody(boost::asio::ip::tcp::socket &From,
                                std::span<char> Into) {
  auto &Body = Current->get().body();
  Body.data = Into.data();
  Body.size = Into.size();
  Body.more = true;
  // The parser reduces Body.size by the number of bytes that it writes.
  while (!Current->is_done() && Body.size == Into.size()) {
    boost::system::error_code Code;
    if (Buffer.size() == 0 && !co_await fill(From, internal::ReadSize * 4)) {
      if (finishAtEndOfStream(From))
        break;
      co_return make_error_code(Error::OutcomeUnknown);
    }
    Buffer.consume(Current->put(Buffer.cdata(), Code));
    if (Code == internal::http::error::need_more) {
      if (!co_await fill(From, internal::ReadSize))
        co_return make_error_code(Error::OutcomeUnknown);
    } else if (Code == internal::http::error::body_limit) {
      LimitExceeded = true;
      co_return make_error_code(Error::Malformed);
    } else if (Code && Code != internal::http::error::need_buffer) {
      co_return make_error_code(Error::Malformed);
    }
  }
  co_return Into.size() - Body.size;
}

template class HttpReader<true>;
template class HttpReader<false>;

} // namespace jujubecart::core
