#include "exchange.hpp"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

namespace jujubecart::backends::internal {

namespace asio = boost::asio;

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t BodyChunkBytes = 16384;
// Limits the interim (1xx) responses and the responses to other requests that
// are skipped; a server that sends more is treated as broken. Few servers send
// more than two, and a faulty one may send them without end.
constexpr int MaxPrecedingResponses = 8;
// A faulty server may send a response without end; a skipped one that is longer
// than this ends the exchange.
constexpr std::size_t MaxSkippedBytes = 1 << 20;

namespace {

constexpr unsigned SwitchingProtocols = 101;
constexpr unsigned NoContent = 204;
constexpr unsigned NotModified = 304;

bool isInterim(unsigned Status) noexcept { return Status / 100 == 1; }

std::string chunkHeader(std::size_t Size) {
  std::array<char, 20> Text{};
  char *End =
      std::to_chars(Text.data(), Text.data() + Text.size(), Size, 16).ptr;
  return std::string(Text.data(), End) + "\r\n";
}

// Approximate size of a head on the network; the length of the status line is
// assumed.
std::size_t headSize(const core::BackendExchange::Head &Item) {
  constexpr std::string_view StatusLine = "HTTP/1.1 200 OK\r\n\r\n";
  constexpr std::string_view Separators = ": \r\n";
  std::size_t Size = StatusLine.size();
  for (const auto &Field : Item)
    Size +=
        Field.name_string().size() + Field.value().size() + Separators.size();
  return Size;
}

} // namespace

Exchange::~Exchange() {
  Pool.recordBytes(Server, BytesSent, BytesRead);
  if (Connection)
    Pool.close(std::move(Connection));
}

core::Awaitable<std::error_code> Exchange::open(core::ByteSource *Body) {
  Pending =
      std::make_shared<PendingAcquire>(co_await asio::this_coro::executor);
  if (Aborted)
    co_return core::make_error_code(core::Error::Cancelled);
  if (Request->IsOrder)
    Connection = co_await reuseForOrder();
  if (Aborted)
    co_return fail(core::Error::Cancelled);
  if (!Connection) {
    auto Acquired = co_await Pool.acquire(Server, Request->IsOrder, Pending);
    if (!Acquired)
      co_return Acquired.error();
    Connection = std::move(*Acquired);
  }
  if (Aborted)
    co_return fail(core::Error::Cancelled);
  Started = Time.now();
  if (const std::error_code Code = co_await sendRequest(Body))
    co_return Code;
  co_return co_await receiveHead(Body);
}

core::Awaitable<ConnectionPool::ConnectionPtr> Exchange::reuseForOrder() {
  ConnectionPool::ConnectionPtr Idle = Pool.takeVerifiable(Server.Address);
  if (!Idle || Pool.isVerified(*Idle))
    co_return Idle;
  // The timer closes the socket, which ends the health request.
  const std::shared_ptr<PendingAcquire> Waiting = Pending;
  Waiting->Connecting = &Idle->Socket;
  Waiting->Timer.expires_after(Pool.options().VerifyTimeout);
  Waiting->Timer.async_wait([Waiting](const boost::system::error_code &Code) {
    if (!Code)
      Waiting->abortConnect();
  });
  const bool Works = co_await verify(*Idle);
  Waiting->Connecting = nullptr;
  Waiting->Timer.cancel();
  if (Works && !Aborted)
    co_return Idle;
  Pool.close(std::move(Idle));
  co_return nullptr;
}

// Does not wait: an idle connection takes a request of this size at once.
bool Exchange::sendHealthRequest(backends::Connection &Item) const {
  Item.Used = true;
  const std::string Head = "GET " + Server.HealthPath +
                           " HTTP/1.1\r\nHost: " + Server.Address + "\r\n\r\n";
  boost::system::error_code Code;
  return Item.Socket.send(asio::buffer(Head), 0, Code) == Head.size() && !Code;
}

core::Awaitable<bool> Exchange::verify(backends::Connection &Item) {
  if (!sendHealthRequest(Item))
    co_return false;
  for (int Preceding = 0; Preceding <= MaxPrecedingResponses; ++Preceding) {
    const core::HeadError ReadError =
        co_await Item.Reader.readHead(Item.Socket, false);
    if (ReadError != core::HeadError::None)
      co_return false;
    const unsigned Status = Item.Reader.message().result_int();
    if (Status == SwitchingProtocols)
      co_return false;
    if (isInterim(Status))
      continue;
    const bool OtherResponse = hasRequestId(Item.Reader.message());
    const bool KeptAlive = Item.Reader.parser().keep_alive();
    const bool Skipped = co_await skipResponse(Item);
    if (!Skipped || !KeptAlive)
      co_return false;
    if (OtherResponse)
      continue;
    Item.LastVerified = Time.now();
    co_return Item.Reader.buffered() == 0;
  }
  co_return false;
}

core::Awaitable<bool> Exchange::write(std::string_view Prefix,
                                      std::span<const char> Data) {
  // Waiting for a connection or for the caller's body takes time, in which the
  // server or this VM may have stopped taking requests.
  if (!MaybeSent && Request->MaySend && !Request->MaySend()) {
    Withheld = true;
    co_return false;
  }
  const bool Chunked =
      Request->Body == core::BackendRequest::Framing::Chunked && !Data.empty();
  const std::string Size = Chunked ? chunkHeader(Data.size()) : std::string();
  const std::array<asio::const_buffer, 4> Buffers{
      asio::buffer(Prefix), asio::buffer(Size),
      asio::buffer(Data.data(), Data.size()),
      asio::buffer(std::string_view(Chunked ? "\r\n" : ""))};
  const bool SentBefore = MaybeSent;
  // Set before the write, because an aborted write does not tell how much was
  // sent.
  MaybeSent = true;
  const auto [Code, Count] =
      co_await asio::async_write(Connection->Socket, Buffers, UseTuple);
  BytesSent += Count;
  if (Code && Count == 0 && !Aborted)
    MaybeSent = SentBefore;
  co_return !Code;
}

core::Awaitable<std::error_code> Exchange::sendRequest(core::ByteSource *Body) {
  if (Body == nullptr || Request->Body == core::BackendRequest::Framing::None) {
    RequestComplete = co_await write(Request->Head, {});
    if (!MaybeSent)
      co_return fail(core::Error::Unavailable);
    co_return std::error_code();
  }
  co_return co_await sendBody(*Body, Request->Head);
}

core::Awaitable<std::error_code>
Exchange::sendBody(core::ByteSource &Body, std::string_view UnsentHead) {
  BodyPaused = false;
  const auto Buffer = std::make_unique_for_overwrite<char[]>(BodyChunkBytes);
  while (true) {
    const auto Count = co_await Body.read({Buffer.get(), BodyChunkBytes});
    if (!Count) {
      BodySourceFailed = true;
      co_return fail(core::Error::Cancelled);
    }
    if (Aborted || !Connection)
      co_return fail(core::Error::Cancelled);
    std::string Prefix(UnsentHead);
    if (*Count == 0 && Request->Body == core::BackendRequest::Framing::Chunked)
      Prefix += "0\r\n\r\n";
    if (!Prefix.empty() || *Count > 0) {
      if (!co_await write(Prefix, {Buffer.get(), *Count})) {
        if (!MaybeSent)
          co_return fail(core::Error::Unavailable);
        // The server may have sent a response before it closed the connection.
        co_return std::error_code();
      }
    }
    UnsentHead = {};
    if (*Count == 0)
      break;
    // A server that responds before the end of the body does not need the rest,
    // unless the response is one that is skipped.
    if (hasInput()) {
      BodyPaused = true;
      co_return std::error_code();
    }
  }
  RequestComplete = true;
  co_return std::error_code();
}

bool Exchange::hasInput() const {
  boost::system::error_code Ignored;
  return Connection->Reader.buffered() > 0 ||
         Connection->Socket.available(Ignored) > 0;
}

core::Awaitable<std::error_code> Exchange::receiveHead(core::ByteSource *Body) {
  for (int Preceding = 0; Preceding <= MaxPrecedingResponses; ++Preceding) {
    // A skipped response ended the sending; without the rest of the body, the
    // server would not respond.
    if (Preceding > 0 && BodyPaused && !hasInput()) {
      if (const std::error_code Code = co_await sendBody(*Body, {}))
        co_return Code;
    }
    const core::HeadError ReadError = co_await Connection->Reader.readHead(
        Connection->Socket, Request->IsHead);
    if (ReadError == core::HeadError::Malformed ||
        ReadError == core::HeadError::TooLarge)
      co_return fail(core::Error::Malformed);
    if (ReadError != core::HeadError::None)
      co_return fail(core::Error::OutcomeUnknown);
    const unsigned Status = Connection->Reader.message().result_int();
    if (!isInterim(Status)) {
      const core::ResponseTraits Traits = Profile.readResponse(
          Connection->Reader.message(), Request->CallerRequestId);
      // On a kept connection it may be a repeated response to an earlier
      // request; what it states proves nothing about this one.
      if (Traits.WithoutRequestId && Connection->Used)
        break;
      const bool OtherResponse = Traits.RequestIdMismatch ||
                                 (Request->IsHealthCheck &&
                                  hasRequestId(Connection->Reader.message()));
      if (!OtherResponse)
        co_return acceptHead(Traits);
      // A late, duplicate response to an earlier request on this connection.
      const bool Skipped = co_await skipResponse(*Connection);
      if (!Skipped)
        break;
      continue;
    }
    // The Upgrade field is never forwarded, so 101 Switching Protocols is
    // unsolicited.
    if (Status == SwitchingProtocols)
      break;
  }
  co_return fail(core::Error::Malformed);
}

core::Awaitable<bool> Exchange::skipResponse(backends::Connection &Item) {
  std::array<char, 4096> Discarded{};
  std::size_t Size = 0;
  while (!Item.Reader.complete()) {
    if (Item.Reader.parser().need_eof() || Size > MaxSkippedBytes)
      co_return false;
    const auto Count = co_await Item.Reader.readBody(Item.Socket, Discarded);
    if (!Count || Aborted)
      co_return false;
    Size += *Count;
  }
  co_return true;
}

std::error_code Exchange::acceptHead(const core::ResponseTraits &Traits) {
  constexpr unsigned FirstServerError = 500;
  const auto &Parser = Connection->Reader.parser();
  const unsigned Status = Connection->Reader.message().result_int();
  if ((Parser.need_eof() && !Profile.acceptsUnframedResponses()) ||
      Status < 200 || Status > 599 || Traits.Invalid)
    return fail(core::Error::Malformed);
  Report.Load = Traits.Load;
  Report.Limit = Traits.Limit;
  if (Traits.RetryAfter)
    Report.QuietUntil = Time.now() + *Traits.RetryAfter;
  if (Traits.ColdFor)
    Report.ColdUntil = Time.now() + *Traits.ColdFor;
  Report.Draining = Traits.Draining;
  Report.OtherInstance = Traits.OtherInstance;
  Connection->ReportsLoad = Traits.Load.has_value();
  // On a kept connection it may be a repeated response to an earlier request;
  // then the server may run this one.
  Rejected = Traits.NotRun && !(Traits.Unattributed && Connection->Used);
  // Only a refusal may promise that an order has not run.
  Report.ServerError =
      Status >= FirstServerError ||
      (Request->IsOrder && !Rejected && Profile.promisesNotRun(Status));
  // In a response to HEAD and in a 304, the length is that of the body which a
  // GET request would have got; it is unknown if the server does not state it.
  const bool MayHaveBody =
      !Request->IsHead && Status != NoContent && Status != NotModified;
  if (const auto Size = Parser.content_length())
    ResponseLength = *Size;
  else if (!Parser.chunked() && !Parser.need_eof() && MayHaveBody)
    ResponseLength = 0;
  Response = Connection->Reader.releaseHead();
  BytesRead += headSize(Response);
  if (Connection->Reader.complete())
    finish();
  return {};
}

core::Awaitable<core::Result<std::size_t>>
Exchange::read(std::span<char> Buffer) {
  if (Complete)
    co_return std::size_t{0};
  if (Aborted || !Connection)
    co_return fail(core::Error::Cancelled);
  const auto Count =
      co_await Connection->Reader.readBody(Connection->Socket, Buffer);
  if (!Count)
    co_return fail(static_cast<core::Error>(Count.error().value()));
  if (Aborted)
    co_return fail(core::Error::Cancelled);
  BytesRead += *Count;
  if (Connection->Reader.complete())
    finish();
  co_return *Count;
}

std::error_code Exchange::fail(core::Error Code) noexcept {
  Report.Elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
      Time.now() - Started);
  if (Connection)
    Pool.close(std::move(Connection));
  return core::make_error_code(Code);
}

void Exchange::finish() noexcept {
  Report.Elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
      Time.now() - Started);
  Complete = true;
  // Bytes after the response belong to no request of this connection, which
  // therefore cannot be reused. Neither can one with a refusal: the same
  // request may be sent to the server again, and a faulty one repeats the
  // refusal, which would then be taken for the response to that attempt.
  if (RequestComplete && !Rejected &&
      Connection->Reader.parser().keep_alive() &&
      Connection->Reader.buffered() == 0 && !Report.Draining)
    Pool.release(std::move(Connection));
  else
    Pool.close(std::move(Connection));
}

void Exchange::abort(core::AbortReason Reason) noexcept {
  if (Complete || Aborted)
    return;
  Aborted = Reason;
  if (Pending)
    Pending->abort();
  if (!Connection)
    return;
  // Without the reset, the kernel would still deliver what is in the send
  // buffer, and a server that reads late would run a cancelled request.
  boost::system::error_code Ignored;
  Connection->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Connection->Socket.close(Ignored);
  // A timeout after a short wait says little about the connection; without this
  // check a caller could empty the pool with deadlines of a few milliseconds.
  if (Reason == core::AbortReason::TimedOut &&
      Time.now() - Started >= Pool.options().MinUnresponsiveTime)
    Pool.closeUnverified(Connection->Address, Started);
}

core::CallReport Exchange::report() const noexcept {
  core::CallReport Out = Report;
  Out.Bytes = BytesSent + BytesRead;
  if (Rejected)
    Out.Outcome = core::CallOutcome::Rejected;
  else if (Complete)
    Out.Outcome = core::CallOutcome::Completed;
  else if (!MaybeSent)
    Out.Outcome =
        Withheld ? core::CallOutcome::Withheld : core::CallOutcome::NotSent;
  else if (Aborted == core::AbortReason::TimedOut)
    Out.Outcome = core::CallOutcome::TimedOut;
  else if (Aborted || BodySourceFailed)
    Out.Outcome = core::CallOutcome::Cancelled;
  else
    Out.Outcome = core::CallOutcome::Broken;
  return Out;
}

} // namespace jujubecart::backends::internal
