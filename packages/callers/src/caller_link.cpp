#include "caller_link.hpp"

#include "call.hpp"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <jujubecart/core/hash.hpp>
#include <netinet/tcp.h>
#include <poll.h>

namespace jujubecart::callers::internal {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Lingering close: after the last response, further bytes from the caller are
// read and discarded. Closing with unread bytes would make the kernel reset the
// connection, which can destroy the response before the caller has read it.
constexpr int MaxLingerReads = 64;
constexpr std::chrono::seconds MaxLingerTime{1};
// After the cut-off of a stop the process must end soon.
constexpr std::chrono::milliseconds MaxLingerTimeAtStop{200};
constexpr std::chrono::milliseconds CloseCheckInterval{100};

std::uint64_t hashCallerAddress(const tcp::socket &Socket) {
  boost::system::error_code Code;
  const auto Peer = Socket.remote_endpoint(Code);
  return Code ? 0 : core::hash64(Peer.address().to_string());
}

} // namespace

CallerLink::CallerLink(std::shared_ptr<ServerState> State, tcp::socket Caller)
    : State(std::move(State)), Socket(std::move(Caller)), Reader(*this->State),
      Timer(Socket.get_executor()), CloseCheck(Socket.get_executor()),
      CallerAddressHash(hashCallerAddress(Socket)) {
  ++this->State->Counters.OpenConnections;
}

CallerLink::~CallerLink() {
  {
    const std::lock_guard Lock(State->Mutex);
    State->Links.erase(this);
  }
  --State->Counters.OpenConnections;
}

core::Awaitable<void> CallerLink::run() {
  const auto Self = shared_from_this();
  boost::system::error_code Ignored;
  Socket.non_blocking(true, Ignored);
  Socket.set_option(tcp::no_delay(true), Ignored);
  while (co_await serveOne()) {
  }
  TimeoutAt = core::TimePoint::max();
  Timer.cancel();
  CloseCheck.cancel();
  Socket.close(Ignored);
}

core::Awaitable<bool> CallerLink::serveOne() {
  Idle = true;
  TimedOut = false;
  IdleSince = State->Dependencies.Time.now();
  setTimeoutAt(IdleSince + State->idleTimeout());
  const bool HasData = co_await Reader.waitForData(Socket);
  Idle = false;
  if (!HasData)
    co_return false;
  ++State->Counters.InFlight;
  bool Keep = false;
  bool Linger = false;
  {
    Call Served(*this, *State);
    Keep = co_await Served.run();
    Linger = Served.needsLinger();
  }
  ReportClose = false;
  setInFlight(std::nullopt);
  --State->Counters.InFlight;
  ++State->Counters.Answered;
  if (Linger)
    co_await linger();
  co_return Keep && !CutOff;
}

core::Awaitable<void> CallerLink::refuse() {
  const auto Self = shared_from_this();
  const core::RequestId Id = core::newRequestId();
  State->Counters.countRejected(RejectReason::ConnectionLimit);
  State->recordEvent("call.rejected", Id, {},
                     toString(RejectReason::ConnectionLimit));
  const std::string Response = serializeLocalResponse(
      {.Refusal = {.Id = Id,
                   .Status = 503,
                   .NotRun = true,
                   .RetryAfter = State->Options.RetryAfter},
       .Close = true,
       .Text = "too many connections"},
      State->Dependencies.Profile);
  if (co_await write(asio::buffer(Response)))
    co_await linger();
  boost::system::error_code Ignored;
  Timer.cancel();
  Socket.close(Ignored);
}

core::Awaitable<void> CallerLink::linger() {
  boost::system::error_code Failed;
  Socket.shutdown(tcp::socket::shutdown_send, Failed);
  TimedOut = false;
  setTimeoutAt(State->Dependencies.Time.now() +
               (CutOff ? MaxLingerTimeAtStop : MaxLingerTime));
  std::array<char, 4096> Dropped{};
  for (int Count = 0; Count < MaxLingerReads && !Failed && !TimedOut; ++Count) {
    const auto [Code, Size] = co_await Socket.async_read_some(
        asio::buffer(Dropped), asio::as_tuple(asio::use_awaitable));
    Failed = Code;
  }
}

void CallerLink::setTimeoutAt(core::TimePoint When) {
  TimeoutAt = When;
  // A timer that fires earlier checks TimeoutAt and restarts itself, which
  // saves one timer operation per request.
  if (When < TimerExpiry)
    startTimer(When);
}

void CallerLink::startTimer(core::TimePoint When) {
  TimerExpiry = When;
  Timer.expires_at(When);
  Timer.async_wait(
      [Weak = weak_from_this()](const boost::system::error_code &Code) {
        const auto Self = Weak.lock();
        if (!Code && Self)
          Self->onTimer();
      });
}

void CallerLink::onTimer() {
  TimerExpiry = core::TimePoint::max();
  if (TimeoutAt == core::TimePoint::max())
    return;
  if (State->Dependencies.Time.now() < TimeoutAt) {
    startTimer(TimeoutAt);
    return;
  }
  TimeoutAt = core::TimePoint::max();
  if (Listener != nullptr) {
    Listener->onTimeout();
    return;
  }
  // A configuration may have raised the idle timeout meanwhile.
  if (const core::TimePoint Until = IdleSince + State->idleTimeout();
      Idle && State->Dependencies.Time.now() < Until)
    return setTimeoutAt(Until);
  TimedOut = true;
  cancelRead();
}

void CallerLink::watchForClose() {
  ReportClose = true;
  if (ReadableWaitPending)
    return;
  ReadableWaitPending = true;
  Socket.async_wait(
      tcp::socket::wait_read,
      [Weak = weak_from_this()](const boost::system::error_code &Code) {
        const auto Self = Weak.lock();
        if (!Self)
          return;
        if (Code)
          Self->ReadableWaitPending = false;
        else
          Self->onWatchEvent();
      });
}

void CallerLink::onReadable() {
  if (callerClosed())
    return Listener->onCallerClosed();
  boost::system::error_code Ignored;
  if (Socket.available(Ignored) == 0)
    return watchForClose();
  // The socket stays readable while bytes of the body or of a next request wait
  // in it, so a close behind them causes no further event.
  ReadableWaitPending = true;
  CloseCheck.expires_after(CloseCheckInterval);
  CloseCheck.async_wait(
      [Weak = weak_from_this()](const boost::system::error_code & /*Code*/) {
        if (const auto Self = Weak.lock())
          Self->onWatchEvent();
      });
}

void CallerLink::onWatchEvent() {
  ReadableWaitPending = false;
  if (ReportClose && Listener != nullptr)
    onReadable();
}

bool CallerLink::callerClosed() noexcept {
  // A peek cannot see a close behind unread bytes.
  pollfd Query{
      .fd = Socket.native_handle(), .events = POLLIN | POLLRDHUP, .revents = 0};
  if (!Socket.is_open() || ::poll(&Query, 1, 0) <= 0)
    return !Socket.is_open();
  if ((Query.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
    return true;
  char Byte = 0;
  boost::system::error_code Code;
  Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Code);
  return Code && Code != asio::error::would_block;
}

std::optional<std::chrono::milliseconds>
CallerLink::sinceLastSegment() noexcept {
  tcp_info Info{};
  socklen_t Size = sizeof Info;
  if (::getsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_INFO, &Info,
                   &Size) != 0)
    return std::nullopt;
  return std::chrono::milliseconds(Info.tcpi_last_ack_recv);
}

void CallerLink::cancelRead() noexcept {
  boost::system::error_code Ignored;
  Socket.cancel(Ignored);
}

void CallerLink::reset() noexcept {
  boost::system::error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

void CallerLink::closeIfIdle() noexcept {
  if (Idle)
    cancelRead();
}

void CallerLink::beginStop() noexcept {
  if (Listener != nullptr)
    Listener->onStop();
}

void CallerLink::cutOff() noexcept {
  CutOff = true;
  if (Listener != nullptr)
    return Listener->onCutOff();
  // A reset could destroy the last response before the caller has read it.
  boost::system::error_code Ignored;
  Socket.close(Ignored);
}

void CallerLink::setInFlight(std::optional<InFlightRequest> Request) {
  const std::lock_guard Lock(InFlightMutex);
  InFlight = std::move(Request);
}

std::optional<CallerLink::InFlightRequest> CallerLink::inFlight() const {
  const std::lock_guard Lock(InFlightMutex);
  return InFlight;
}

} // namespace jujubecart::callers::internal
