#include "call.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <charconv>
#include <jujubecart/core/log.hpp>

namespace jujubecart::callers::internal {

namespace asio = boost::asio;

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view LastChunk = "0\r\n\r\n";

std::string chunkHeader(std::size_t Size) {
  std::array<char, 20> Text{};
  char *End =
      std::to_chars(Text.data(), Text.data() + Text.size(), Size, 16).ptr;
  return std::string(Text.data(), End).append(LineEnd);
}

} // namespace

BodyFraming Call::responseFraming(const Attempt &Current) const {
  const core::BackendExchange &Exchange = *Current.Exchange;
  const unsigned Status = Exchange.head().result_int();
  if (Status == 204)
    return {};
  if (Request.isHead() || Status == 304) {
    // The length is that of the body which a GET request would have got.
    return {.Length = Exchange.contentLength()};
  }
  if (Exchange.complete())
    return {.Length = Current.Size};
  if (const auto Length = Exchange.contentLength())
    return {.Length = *Length};
  return {.Chunked = !Request.Http10};
}

std::string_view Call::connectionField(const BodyFraming &Framing) {
  const unsigned Status = ActiveAttempts.front()->Exchange->head().result_int();
  const bool Delimited = Framing.Length || Framing.Chunked ||
                         Request.isHead() || Status == 204 || Status == 304;
  CloseAfterResponse = CloseAfterResponse || !Delimited;
  if (!keepsConnection())
    return "close";
  return Request.Http10 ? "keep-alive" : "";
}

// The response itself goes on to the caller, since it may explain the failure.
unsigned Call::relayedStatus(const Attempt &Current) const {
  const unsigned Status = Current.Exchange->head().result_int();
  return promisesTooMuch(Status, idempotent(), Execution,
                         State.Dependencies.Profile)
             ? BadGateway
             : Status;
}

void Call::recordReplaced(const Attempt &Current, unsigned Status) const {
  ++State.Counters.ReplacedStatuses;
  core::LogLine(core::LogLevel::Warning, "response.status_replaced")
      .field("request", toString(Request.Id))
      .field("service", Service->Name)
      .field("server", Current.Grant.Server.Id)
      .field("server_status", Current.Exchange->head().result_int())
      .field("status", Status);
}

core::Awaitable<bool> Call::relay(AttemptPtr Current) {
  ActiveAttempts.assign(1, Current);
  AttemptTimeoutAt = core::TimePoint::max();
  const core::BackendExchange &Exchange = *Current->Exchange;
  const BodyFraming Framing = responseFraming(*Current);
  const unsigned Status = relayedStatus(*Current);
  if (Status != Exchange.head().result_int())
    recordReplaced(*Current, Status);
  const std::string Head = serializeResponseHead(
      Exchange.head(), Status, Request.Id, State.Dependencies.Profile, Framing,
      connectionField(Framing));
  const bool ResponseComplete = Exchange.complete();
  if (ResponseComplete)
    Current->release();
  const std::string Size = Framing.Chunked ? chunkHeader(Current->Size) : "";
  const std::array<asio::const_buffer, 4> Buffers{
      asio::buffer(Head), asio::buffer(Size),
      asio::buffer(Current->Buffer.get(), Current->Size),
      asio::buffer(Framing.Chunked ? LineEnd : "")};
  CurrentPhase = Phase::Writing;
  bool Delivered = co_await Link.write(Buffers);
  if (Delivered && !ResponseComplete)
    Delivered = co_await streamBody(Current, Framing.Chunked);
  Current->release();
  if (!Delivered || CancelledBy != CancelReason::None) {
    abortResponse(*Current);
    co_return false;
  }
  ++State.Counters.Completed;
  State.Times.record(workClass(), Current->report().Elapsed,
                     State.Dependencies.Time.now());
  logEnd(Status,
         Status == Exchange.head().result_int() ? "passed on"
                                                : "status replaced",
         Current->Grant.Server.Id);
  State.recordEvent("call.answered", Request.Id, Current->Grant.Server.Id,
                    std::to_string(Status), Key ? Key->High : 0);
  const bool Keep = keepsConnection();
  LingerNeeded = !Keep;
  co_return Keep;
}

core::Awaitable<bool> Call::streamBody(AttemptPtr Current, bool Chunked) {
  core::BackendExchange &Exchange = *Current->Exchange;
  if (!Current->Buffer) {
    Current->Capacity = State.Options.MaxBufferedResponseBytes;
    Current->Buffer = std::make_unique_for_overwrite<char[]>(Current->Capacity);
  }
  while (CancelledBy == CancelReason::None) {
    CurrentPhase = Phase::Attempting;
    Link.setTimeoutAt(Deadline);
    const auto Count =
        co_await Exchange.read({Current->Buffer.get(), Current->Capacity});
    if (!Count || CancelledBy != CancelReason::None)
      co_return false;
    if (Exchange.complete())
      Current->release();
    std::string Size = Chunked && *Count > 0 ? chunkHeader(*Count) : "";
    std::string End = Chunked && *Count > 0 ? std::string(LineEnd) : "";
    if (Chunked && Exchange.complete())
      End += LastChunk;
    const std::array<asio::const_buffer, 3> Buffers{
        asio::buffer(Size), asio::buffer(Current->Buffer.get(), *Count),
        asio::buffer(End)};
    CurrentPhase = Phase::Writing;
    if (!co_await Link.write(Buffers))
      co_return false;
    if (Exchange.complete())
      co_return true;
  }
  co_return false;
}

void Call::abortResponse(const Attempt &Current) {
  ++State.Counters.TruncatedResponses;
  logEnd(0, "response cut off", Current.Grant.Server.Id);
  State.recordEvent("call.rejected", Request.Id, Current.Grant.Server.Id,
                    "response cut off");
  Link.reset();
}

} // namespace jujubecart::callers::internal
