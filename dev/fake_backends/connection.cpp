#include "fake_backends/connection.hpp"

#include "fake_backends/server.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

namespace jujubecart::dev {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::use_awaitable;

namespace {

// Simulated cost of a new connection, before its first request is read.
constexpr std::chrono::milliseconds ConnectionSetupDelay{1};

// Decrements a count of remaining faults; false if none was left.
bool consumeOne(std::uint64_t &Remaining) noexcept {
  if (Remaining == 0)
    return false;
  --Remaining;
  return true;
}

} // namespace

Connection::Connection(asio::ip::tcp::socket Socket, Server &Backend,
                       std::uint64_t Generation)
    : Socket(std::move(Socket)), Backend(Backend), Generation(Generation),
      WakeTimer(this->Socket.get_executor()) {}

asio::awaitable<void> Connection::run(std::shared_ptr<Connection> Self) {
  try {
    co_await Self->serve();
  } catch (const boost::system::system_error &) {
    // The peer closed or reset the connection.
  }
  --Self->Backend.counters().Open;
}

asio::awaitable<void> Connection::serve() {
  WakeTimer.expires_after(ConnectionSetupDelay);
  co_await WakeTimer.async_wait(use_awaitable);
  bool KeepOpen = true;
  while (KeepOpen) {
    Request Received;
    co_await http::async_read(Socket, Buffer, Received, use_awaitable);
    KeepOpen = co_await handle(std::move(Received));
  }
  boost::system::error_code Code;
  Socket.shutdown(asio::ip::tcp::socket::shutdown_both, Code);
}

bool Connection::isSilent() const noexcept {
  return Generation < Backend.faults().SilentBelowGeneration;
}

// Reads and discards until the peer closes the connection, which throws.
asio::awaitable<bool> Connection::discardUntilClosed() {
  char Discarded[4096];
  while (true)
    co_await Socket.async_read_some(asio::buffer(Discarded), use_awaitable);
}

Connection::Response Connection::makeResponse(unsigned Status,
                                              std::string Body) const {
  Response Message(http::int_to_status(Status), 11, std::move(Body));
  Message.set("X-Load", std::to_string(Backend.reportedLoad()));
  if (Backend.reportedDrain())
    Message.set("X-Drain", "1");
  return Message;
}

asio::awaitable<bool> Connection::handle(Request Received) {
  if (Received.target() == "/health") {
    Backend.countProbe();
    if (isSilent())
      co_return co_await discardUntilClosed();
    Response Message = makeResponse(200, Backend.health().dump());
    Message.keep_alive(Received.keep_alive());
    co_return co_await send(std::move(Message), false);
  }
  Backend.countArrival();
  if (isSilent())
    co_return co_await discardUntilClosed();
  const auto Draw = parseDraw(Received["X-Draw"]);
  const bool IsOrder = !Received["Idempotency-Key"].empty();
  if (!Draw || (IsOrder && Received.body() != makeRequestBody(*Draw))) {
    ++Backend.counters().Malformed;
    co_return co_await send(
        makeResponse(
            400, "X-Draw is missing or invalid, or the body does not match it"),
        false);
  }
  const auto Accepted = std::make_shared<Job>(Socket.get_executor());
  Accepted->Draw = *Draw;
  Accepted->OrderKey = std::string(Received["Idempotency-Key"]);
  if (consumeOne(Backend.faults().CloseAfterRead))
    co_return false;
  WakeTimer.expires_at(asio::steady_timer::time_point::max());
  Accepted->Done = [Self = shared_from_this()] { Self->WakeTimer.cancel(); };
  if (!Backend.submit(Accepted)) {
    Response Message = makeResponse(503, "rejected");
    Message.set("X-Outcome", "not-run");
    Message.keep_alive(Received.keep_alive());
    co_return co_await send(std::move(Message), false);
  }
  if (!co_await runJob(Accepted))
    co_return false;
  if (consumeOne(Backend.faults().DelayedResponses)) {
    WakeTimer.expires_after(Backend.faults().ResponseDelay);
    co_await WakeTimer.async_wait(use_awaitable);
  }
  if (isSilent())
    co_return co_await discardUntilClosed();
  Response Message = makeResponse(200, makeResponseBody(*Draw));
  Message.set("X-Draw", formatDraw(*Draw));
  Message.keep_alive(Received.keep_alive());
  const bool Truncate = consumeOne(Backend.faults().TruncatedResponses);
  co_return co_await send(std::move(Message), Truncate);
}

void Connection::watchForClose(const std::shared_ptr<bool> &Closed) {
  Socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [Self = shared_from_this(), Closed](boost::system::error_code Code) {
        if (Code)
          return;
        char Byte = 0;
        Self->Socket.non_blocking(true, Code);
        const std::size_t Count = Self->Socket.receive(
            asio::buffer(&Byte, 1), asio::socket_base::message_peek, Code);
        if (Count > 0 || Code == asio::error::would_block)
          return;
        *Closed = true;
        Self->WakeTimer.cancel();
      });
}

// Waits until the job is done or the peer has closed the connection, which
// cancels the job. Returns false if the peer has closed the connection.
asio::awaitable<bool> Connection::runJob(std::shared_ptr<Job> Accepted) {
  const auto Closed = std::make_shared<bool>(false);
  watchForClose(Closed);
  boost::system::error_code Code;
  co_await WakeTimer.async_wait(asio::redirect_error(use_awaitable, Code));
  Socket.cancel(Code);
  if (*Closed)
    Backend.cancel(Accepted);
  co_return !*Closed;
}

asio::awaitable<bool> Connection::send(Response Message, bool Truncate) {
  const bool KeepOpen = Message.keep_alive();
  Message.prepare_payload();
  if (!Truncate) {
    co_await http::async_write(Socket, Message, use_awaitable);
    co_return KeepOpen;
  }
  std::ostringstream Text;
  Text << Message;
  const std::string Bytes = Text.str();
  co_await asio::async_write(
      Socket, asio::buffer(Bytes.data(), Bytes.size() - 20), use_awaitable);
  co_return false;
}

} // namespace jujubecart::dev
