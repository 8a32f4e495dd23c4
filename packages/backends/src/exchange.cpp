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
constexpr std::size_t BodyChunk = 16384;
// A server that sends interim responses without end is treated as broken.
constexpr int MaxInterimResponses = 8;

namespace {

std::string chunkHeader(std::size_t Size) {
  std::array<char, 20> Text{};
  char *End =
      std::to_chars(Text.data(), Text.data() + Text.size(), Size, 16).ptr;
  return std::string(Text.data(), End) + "\r\n";
}

} // namespace

Exchange::~Exchange() {
  if (Link)
    Pool.close(std::move(Link));
}

core::Awaitable<std::error_code> Exchange::open(core::ByteSource *Body) {
  Control =
      std::make_shared<ConnectControl>(co_await asio::this_coro::executor);
  if (Aborted)
    co_return core::make_error_code(core::Error::Cancelled);
  auto Taken = co_await Pool.take(Server, Request->IsOrder, Control);
  if (!Taken)
    co_return Taken.error();
  Link = std::move(*Taken);
  if (Aborted)
    co_return fail(core::Error::Cancelled);
  Started = Time.now();
  if (const std::error_code Code = co_await sendRequest(Body))
    co_return Code;
  co_return co_await receiveHead();
}

core::Awaitable<bool> Exchange::write(std::string_view Prefix,
                                      std::span<const char> Data) {
  const bool Chunked =
      Request->Body == core::BackendRequest::Framing::Chunked && !Data.empty();
  const std::string Size = Chunked ? chunkHeader(Data.size()) : std::string();
  const std::array<asio::const_buffer, 4> Buffers{
      asio::buffer(Prefix), asio::buffer(Size),
      asio::buffer(Data.data(), Data.size()),
      asio::buffer(std::string_view(Chunked ? "\r\n" : ""))};
  const bool SentBefore = MaybeSent;
  // Set before the write, because a write that is aborted half way does not
  // tell how much of it was sent.
  MaybeSent = true;
  const auto [Code, Count] =
      co_await asio::async_write(Link->Socket, Buffers, UseTuple);
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
  const auto Buffer = std::make_unique_for_overwrite<char[]>(BodyChunk);
  std::string_view Prefix = Request->Head;
  while (true) {
    const auto Count = co_await Body->read({Buffer.get(), BodyChunk});
    if (!Count) {
      SourceFailed = true;
      co_return fail(core::Error::Cancelled);
    }
    if (Aborted || !Link)
      co_return fail(core::Error::Cancelled);
    std::string Last(Prefix);
    if (*Count == 0 && Request->Body == core::BackendRequest::Framing::Chunked)
      Last += "0\r\n\r\n";
    if (!Last.empty() || *Count > 0) {
      if (!co_await write(Last, {Buffer.get(), *Count})) {
        if (!MaybeSent)
          co_return fail(core::Error::Unavailable);
        // The server may have answered before it closed.
        co_return std::error_code();
      }
    }
    Prefix = {};
    if (*Count == 0)
      break;
    // A server that answers before the end of the body does not want the rest.
    boost::system::error_code Ignored;
    if (Link->Socket.available(Ignored) > 0)
      co_return std::error_code();
  }
  RequestComplete = true;
  co_return std::error_code();
}

core::Awaitable<std::error_code> Exchange::receiveHead() {
  for (int Interim = 0; Interim <= MaxInterimResponses; ++Interim) {
    const core::HeadError Failed =
        co_await Link->Reader.readHead(Link->Socket, Request->IsHead);
    if (Failed == core::HeadError::Malformed ||
        Failed == core::HeadError::TooLarge)
      co_return fail(core::Error::Malformed);
    if (Failed != core::HeadError::None)
      co_return fail(core::Error::OutcomeUnknown);
    const unsigned Status = Link->Reader.message().result_int();
    if (Status / 100 != 1) {
      const core::ResponseTraits Traits = Profile.readResponse(
          Link->Reader.message(), Request->CallerRequestId);
      if (!Traits.Foreign)
        co_return acceptHead(Traits);
      // A late second response to an earlier request of this connection.
      const bool Skipped = co_await skipResponse();
      if (!Skipped)
        break;
      continue;
    }
    // Upgrade is never forwarded, so a switch of protocols is unasked for.
    if (Status == 101)
      break;
  }
  co_return fail(core::Error::Malformed);
}

core::Awaitable<bool> Exchange::skipResponse() {
  std::array<char, 4096> Dropped{};
  while (!Link->Reader.complete()) {
    if (Link->Reader.parser().need_eof())
      co_return false;
    const auto Count = co_await Link->Reader.readBody(Link->Socket, Dropped);
    if (!Count || Aborted)
      co_return false;
  }
  co_return true;
}

std::error_code Exchange::acceptHead(const core::ResponseTraits &Traits) {
  constexpr unsigned FirstFailure = 500;
  const auto &Parser = Link->Reader.parser();
  const unsigned Status = Link->Reader.message().result_int();
  if ((Parser.need_eof() && !Profile.acceptsUnframedResponses()) ||
      Status < 200 || Status > 599 || Traits.Invalid)
    return fail(core::Error::Malformed);
  Report.Load = Traits.Load;
  Report.Draining = Traits.Draining;
  Report.OtherInstance = Traits.OtherInstance;
  Report.Failed = Status >= FirstFailure;
  Rejected = Traits.NotRun;
  if (const auto Size = Parser.content_length())
    Length = *Size;
  else if (!Parser.chunked() && !Parser.need_eof())
    Length = 0;
  Response = Link->Reader.releaseHead();
  if (Link->Reader.complete())
    finish();
  return {};
}

core::Awaitable<core::Result<std::size_t>>
Exchange::read(std::span<char> Buffer) {
  if (Complete)
    co_return std::size_t{0};
  if (Aborted || !Link)
    co_return fail(core::Error::Cancelled);
  const auto Count = co_await Link->Reader.readBody(Link->Socket, Buffer);
  if (!Count)
    co_return fail(static_cast<core::Error>(Count.error().value()));
  if (Aborted)
    co_return fail(core::Error::Cancelled);
  if (Link->Reader.complete())
    finish();
  co_return *Count;
}

std::error_code Exchange::fail(core::Error Code) noexcept {
  Report.Elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
      Time.now() - Started);
  if (Link)
    Pool.close(std::move(Link));
  return core::make_error_code(Code);
}

void Exchange::finish() noexcept {
  Report.Elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
      Time.now() - Started);
  Complete = true;
  // Bytes after the response belong to no request of ours.
  if (RequestComplete && Link->Reader.parser().keep_alive() &&
      Link->Reader.buffered() == 0 && !Report.Draining)
    Pool.giveBack(std::move(Link));
  else
    Pool.close(std::move(Link));
}

void Exchange::abort(core::AbortReason Reason) noexcept {
  if (Complete || Aborted)
    return;
  Aborted = Reason;
  if (Control)
    Control->abort();
  if (!Link)
    return;
  boost::system::error_code Ignored;
  Link->Socket.close(Ignored);
  // A short deadline says little about the connection; without this check a
  // caller could empty the pool with deadlines of a few milliseconds.
  if (Reason == core::AbortReason::TimedOut &&
      Time.now() - Started >= Pool.options().SilentAfter)
    Pool.distrust(Link->Address, Started);
}

core::CallReport Exchange::report() const noexcept {
  core::CallReport Out = Report;
  if (Rejected)
    Out.Outcome = core::CallOutcome::Rejected;
  else if (Complete)
    Out.Outcome = core::CallOutcome::Completed;
  else if (!MaybeSent)
    Out.Outcome = core::CallOutcome::NotSent;
  else if (Aborted == core::AbortReason::TimedOut)
    Out.Outcome = core::CallOutcome::TimedOut;
  else if (Aborted || SourceFailed)
    Out.Outcome = core::CallOutcome::Cancelled;
  else
    Out.Outcome = core::CallOutcome::Broken;
  return Out;
}

} // namespace jujubecart::backends::internal
