#include "caller_link.hpp"

#include "call.hpp"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <jujubecart/core/hash.hpp>

namespace jujubecart::callers::internal {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Bytes read and dropped after the last answer, so that a reset by the kernel
// does not destroy the answer before the caller has read it.
constexpr int LingerReads = 64;
constexpr std::chrono::seconds LingerTime{1};

std::uint64_t hashPeer(const tcp::socket &Socket) {
  boost::system::error_code Code;
  const auto Peer = Socket.remote_endpoint(Code);
  return Code ? 0 : core::hash64(Peer.address().to_string());
}

} // namespace

CallerLink::CallerLink(std::shared_ptr<ServerState> State, tcp::socket Caller)
    : State(std::move(State)), Socket(std::move(Caller)),
      Reader(this->State->httpLimits()), Timer(Socket.get_executor()),
      PeerHash(hashPeer(Socket)) {
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
  Due = core::TimePoint::max();
  Timer.cancel();
  Socket.close(Ignored);
}

core::Awaitable<bool> CallerLink::serveOne() {
  Idle = true;
  TimedOut = false;
  setDue(State->Uses.Time.now() + State->idleTimeout());
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
  Watching = false;
  setCurrent(std::nullopt);
  --State->Counters.InFlight;
  ++State->Counters.Answered;
  if (Linger)
    co_await linger();
  co_return Keep && !CutOff;
}

core::Awaitable<void> CallerLink::refuse() {
  const auto Self = shared_from_this();
  const core::RequestId Id = core::newRequestId();
  State->Counters.reject(RejectReason::ConnectionLimit);
  State->event("call.rejected", Id, {},
               toString(RejectReason::ConnectionLimit));
  const std::string Answer =
      ownAnswer({.What = {.Id = Id,
                          .Status = 503,
                          .NotRun = true,
                          .RetryAfter = State->Options.RetryAfter},
                 .Close = true,
                 .Text = "too many connections"},
                State->Uses.Profile);
  if (co_await write(asio::buffer(Answer)))
    co_await linger();
  boost::system::error_code Ignored;
  Timer.cancel();
  Socket.close(Ignored);
}

core::Awaitable<void> CallerLink::linger() {
  boost::system::error_code Failed;
  Socket.shutdown(tcp::socket::shutdown_send, Failed);
  TimedOut = false;
  setDue(State->Uses.Time.now() + LingerTime);
  std::array<char, 4096> Dropped{};
  for (int Count = 0; Count < LingerReads && !Failed && !TimedOut; ++Count) {
    const auto [Code, Size] = co_await Socket.async_read_some(
        asio::buffer(Dropped), asio::as_tuple(asio::use_awaitable));
    Failed = Code;
  }
}

void CallerLink::setDue(core::TimePoint When) {
  Due = When;
  // A timer that is armed for an earlier instant looks at Due when it fires,
  // which spares one timer operation per request.
  if (When < Armed)
    arm(When);
}

void CallerLink::arm(core::TimePoint When) {
  Armed = When;
  Timer.expires_at(When);
  Timer.async_wait(
      [Weak = weak_from_this()](const boost::system::error_code &Code) {
        const auto Self = Weak.lock();
        if (!Code && Self)
          Self->onTimer();
      });
}

void CallerLink::onTimer() {
  Armed = core::TimePoint::max();
  if (Due == core::TimePoint::max())
    return;
  if (State->Uses.Time.now() < Due) {
    arm(Due);
    return;
  }
  Due = core::TimePoint::max();
  if (Listener != nullptr) {
    Listener->onDue();
    return;
  }
  TimedOut = true;
  cancelRead();
}

void CallerLink::watchDeparture() {
  Watching = true;
  if (WatchPending)
    return;
  WatchPending = true;
  Socket.async_wait(
      tcp::socket::wait_read,
      [Weak = weak_from_this()](const boost::system::error_code &Code) {
        const auto Self = Weak.lock();
        if (!Self)
          return;
        Self->WatchPending = false;
        if (!Code && Self->Watching && Self->Listener != nullptr)
          Self->onReadable();
      });
}

void CallerLink::onReadable() {
  char Byte = 0;
  boost::system::error_code Code;
  Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Code);
  // Bytes of a further request stay in the socket; whether the caller departs
  // after them shows when the response is written.
  if (!Code)
    return;
  if (Code == asio::error::would_block)
    watchDeparture();
  else
    Listener->onDeparted();
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

void CallerLink::endIdle() noexcept {
  if (Idle)
    cancelRead();
}

void CallerLink::cutOff() noexcept {
  CutOff = true;
  if (Listener != nullptr)
    Listener->onCutOff();
  else
    reset();
}

void CallerLink::setCurrent(std::optional<Current> Now) {
  const std::lock_guard Lock(CurrentMutex);
  InFlight = std::move(Now);
}

std::optional<CallerLink::Current> CallerLink::current() const {
  const std::lock_guard Lock(CurrentMutex);
  return InFlight;
}

} // namespace jujubecart::callers::internal
