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

constexpr std::chrono::milliseconds ConnectionSetup{1};

bool takeOne(std::uint64_t &Left) noexcept {
  if (Left == 0)
    return false;
  --Left;
  return true;
}

} // namespace

Connection::Connection(asio::ip::tcp::socket Socket, Server &Owner,
                       std::uint64_t Generation)
    : Socket(std::move(Socket)), Owner(Owner), Generation(Generation),
      Wake(this->Socket.get_executor()) {}

asio::awaitable<void> Connection::run(std::shared_ptr<Connection> Self) {
  try {
    co_await Self->serve();
  } catch (const boost::system::system_error &) {
    // The peer closed or reset the connection.
  }
  --Self->Owner.counters().Open;
}

asio::awaitable<void> Connection::serve() {
  Wake.expires_after(ConnectionSetup);
  co_await Wake.async_wait(use_awaitable);
  bool KeepOpen = true;
  while (KeepOpen) {
    Request Received;
    co_await http::async_read(Socket, Buffer, Received, use_awaitable);
    KeepOpen = co_await handle(std::move(Received));
  }
  boost::system::error_code Code;
  Socket.shutdown(asio::ip::tcp::socket::shutdown_both, Code);
}

bool Connection::silent() const noexcept {
  return Generation < Owner.faults().SilentBelow;
}

// Reads and discards until the peer gives up.
asio::awaitable<bool> Connection::beSilent() {
  char Discarded[4096];
  while (true)
    co_await Socket.async_read_some(asio::buffer(Discarded), use_awaitable);
}

Connection::Response Connection::answer(unsigned Status,
                                        std::string Body) const {
  Response Answer(http::int_to_status(Status), 11, std::move(Body));
  Answer.set("X-Load", std::to_string(Owner.reportedLoad()));
  if (Owner.reportedDrain())
    Answer.set("X-Drain", "1");
  return Answer;
}

asio::awaitable<bool> Connection::handle(Request Received) {
  if (Received.target() == "/health") {
    Owner.noteProbe();
    if (silent())
      co_return co_await beSilent();
    Response Answer = answer(200, Owner.health().dump());
    Answer.keep_alive(Received.keep_alive());
    co_return co_await send(std::move(Answer), false);
  }
  Owner.noteArrival();
  if (silent())
    co_return co_await beSilent();
  const auto Draw = parseDraw(Received["X-Draw"]);
  const bool Order = !Received["Idempotency-Key"].empty();
  if (!Draw || (Order && Received.body() != requestBody(*Draw))) {
    ++Owner.counters().Malformed;
    co_return co_await send(answer(400, "unexpected request"), false);
  }
  const auto Item = std::make_shared<Job>(Socket.get_executor());
  Item->Draw = *Draw;
  Item->OrderKey = std::string(Received["Idempotency-Key"]);
  if (takeOne(Owner.faults().CloseAfterRead))
    co_return false;
  Wake.expires_at(asio::steady_timer::time_point::max());
  Item->Done = [Self = shared_from_this()] { Self->Wake.cancel(); };
  if (!Owner.submit(Item)) {
    Response Answer = answer(503, "rejected");
    Answer.set("X-Outcome", "not-run");
    Answer.keep_alive(Received.keep_alive());
    co_return co_await send(std::move(Answer), false);
  }
  if (!co_await runJob(Item))
    co_return false;
  if (takeOne(Owner.faults().Late)) {
    Wake.expires_after(Owner.faults().LateBy);
    co_await Wake.async_wait(use_awaitable);
  }
  if (silent())
    co_return co_await beSilent();
  Response Answer = answer(200, responseBody(*Draw));
  Answer.set("X-Draw", drawText(*Draw));
  Answer.keep_alive(Received.keep_alive());
  const bool Cut = takeOne(Owner.faults().Truncate);
  co_return co_await send(std::move(Answer), Cut);
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
        Self->Wake.cancel();
      });
}

// Returns false if the peer closed the connection before the service ended.
asio::awaitable<bool> Connection::runJob(std::shared_ptr<Job> Item) {
  const auto Closed = std::make_shared<bool>(false);
  watchForClose(Closed);
  boost::system::error_code Code;
  co_await Wake.async_wait(asio::redirect_error(use_awaitable, Code));
  Socket.cancel(Code);
  if (*Closed)
    Owner.cancel(Item);
  co_return !*Closed;
}

asio::awaitable<bool> Connection::send(Response Answer, bool Cut) {
  const bool KeepOpen = Answer.keep_alive();
  Answer.prepare_payload();
  if (!Cut) {
    co_await http::async_write(Socket, Answer, use_awaitable);
    co_return KeepOpen;
  }
  std::ostringstream Text;
  Text << Answer;
  const std::string Bytes = Text.str();
  co_await asio::async_write(
      Socket, asio::buffer(Bytes.data(), Bytes.size() - 20), use_awaitable);
  co_return false;
}

} // namespace jujubecart::dev
