#include "call.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <charconv>

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

BodyFraming Call::framing(const Attempt &Which) const {
  const core::BackendExchange &From = *Which.Exchange;
  const unsigned Status = From.head().result_int();
  if (Status == 204)
    return {};
  if (What.isHead() || Status == 304) {
    // The length describes the response that GET would have had.
    return {.Length = From.contentLength()};
  }
  if (From.complete())
    return {.Length = Which.Size};
  if (const auto Length = From.contentLength())
    return {.Length = *Length};
  return {.Chunked = !What.Http10};
}

std::string_view Call::connectionField(const BodyFraming &Framing) {
  const unsigned Status = Active.front()->Exchange->head().result_int();
  const bool Delimited = Framing.Length || Framing.Chunked || What.isHead() ||
                         Status == 204 || Status == 304;
  Close = Close || !Delimited;
  if (!keepsConnection())
    return "close";
  return What.Http10 ? "keep-alive" : "";
}

core::Awaitable<bool> Call::relay(AttemptPtr Which) {
  Active.assign(1, Which);
  SilentDue = core::TimePoint::max();
  const core::BackendExchange &From = *Which->Exchange;
  const BodyFraming Framing = framing(*Which);
  const std::string Head = passedHead(From.head(), What.Id, State.Uses.Profile,
                                      Framing, connectionField(Framing));
  const bool Whole = From.complete();
  if (Whole)
    Which->release();
  const std::string Size = Framing.Chunked ? chunkHeader(Which->Size) : "";
  const std::array<asio::const_buffer, 4> Buffers{
      asio::buffer(Head), asio::buffer(Size),
      asio::buffer(Which->Data.get(), Which->Size),
      asio::buffer(Framing.Chunked ? LineEnd : "")};
  Now = Phase::Writing;
  bool Delivered = co_await Link.write(Buffers);
  if (Delivered && !Whole)
    Delivered = co_await stream(Which, Framing.Chunked);
  Which->release();
  if (!Delivered || Stopped != StopReason::None) {
    cutResponse(*Which);
    co_return false;
  }
  ++State.Counters.Completed;
  logEnd(From.head().result_int(), "passed on", Which->Grant.Server.Id);
  State.event("call.answered", What.Id, Which->Grant.Server.Id,
              std::to_string(From.head().result_int()), Key ? Key->High : 0);
  const bool Keep = keepsConnection();
  Linger = !Keep;
  co_return Keep;
}

core::Awaitable<bool> Call::stream(AttemptPtr Which, bool Chunked) {
  core::BackendExchange &From = *Which->Exchange;
  if (!Which->Data) {
    Which->Capacity = State.Options.BufferedResponse;
    Which->Data = std::make_unique_for_overwrite<char[]>(Which->Capacity);
  }
  while (Stopped == StopReason::None) {
    Now = Phase::Attempting;
    Link.setDue(Deadline);
    const auto Count = co_await From.read({Which->Data.get(), Which->Capacity});
    if (!Count || Stopped != StopReason::None)
      co_return false;
    if (From.complete())
      Which->release();
    std::string Size = Chunked && *Count > 0 ? chunkHeader(*Count) : "";
    std::string End = Chunked && *Count > 0 ? std::string(LineEnd) : "";
    if (Chunked && From.complete())
      End += LastChunk;
    const std::array<asio::const_buffer, 3> Buffers{
        asio::buffer(Size), asio::buffer(Which->Data.get(), *Count),
        asio::buffer(End)};
    Now = Phase::Writing;
    if (!co_await Link.write(Buffers))
      co_return false;
    if (From.complete())
      co_return true;
  }
  co_return false;
}

void Call::cutResponse(const Attempt &Which) {
  ++State.Counters.CutResponses;
  logEnd(0, "response cut off", Which.Grant.Server.Id);
  State.event("call.rejected", What.Id, Which.Grant.Server.Id,
              "response cut off");
  Link.reset();
}

} // namespace jujubecart::callers::internal
