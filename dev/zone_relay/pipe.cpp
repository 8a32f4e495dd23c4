#include "zone_relay/pipe.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace jujubecart::dev {

namespace asio = boost::asio;
using asio::use_awaitable;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t ReadBytes = 65536;
constexpr std::size_t MaxBufferedBytes = 4 << 20;
constexpr std::chrono::milliseconds FrozenPollInterval{2};

constexpr auto Never = steady_clock::time_point::max();

} // namespace

Pipe::Pipe(std::shared_ptr<Link> Connection, asio::ip::tcp::socket &From,
           asio::ip::tcp::socket &To, steady_clock::time_point NotBefore)
    : Connection(std::move(Connection)), From(From), To(To),
      NotBefore(NotBefore), DeliveryTimer(From.get_executor()),
      ChunkArrived(From.get_executor()), BufferDrained(From.get_executor()) {}

void Pipe::start() {
  const auto Executor = From.get_executor();
  asio::co_spawn(Executor, read(shared_from_this()), asio::detached);
  asio::co_spawn(Executor, deliver(shared_from_this()), asio::detached);
}

void Pipe::push(std::string Bytes) {
  BufferedBytes += Bytes.size();
  Chunks.push_back(
      {std::max(NotBefore, steady_clock::now() + Connection->Delay),
       std::move(Bytes)});
  ChunkArrived.cancel();
}

asio::awaitable<void> Pipe::readAll() {
  std::string Bytes(ReadBytes, '\0');
  while (true) {
    const std::size_t Count = co_await From.async_read_some(
        asio::buffer(Bytes.data(), Bytes.size()), use_awaitable);
    push(Bytes.substr(0, Count));
    while (BufferedBytes > MaxBufferedBytes) {
      boost::system::error_code Code;
      BufferDrained.expires_at(Never);
      co_await BufferDrained.async_wait(
          asio::redirect_error(use_awaitable, Code));
    }
  }
}

asio::awaitable<void> Pipe::read(std::shared_ptr<Pipe> Self) {
  try {
    co_await Self->readAll();
  } catch (const boost::system::system_error &) {
    // End of stream or reset; the receiver sees both as an end of stream.
  }
  Self->push({});
}

asio::awaitable<void> Pipe::waitFor(steady_clock::time_point Instant) {
  if (Instant <= steady_clock::now())
    co_return;
  boost::system::error_code Code;
  DeliveryTimer.expires_at(Instant);
  co_await DeliveryTimer.async_wait(asio::redirect_error(use_awaitable, Code));
}

asio::awaitable<void> Pipe::deliverAll() {
  while (true) {
    while (Chunks.empty()) {
      boost::system::error_code Code;
      ChunkArrived.expires_at(Never);
      co_await ChunkArrived.async_wait(
          asio::redirect_error(use_awaitable, Code));
    }
    co_await waitFor(Chunks.front().DeliverAt);
    while (Connection->State == PathState::Frozen)
      co_await waitFor(steady_clock::now() + FrozenPollInterval);
    const std::string Bytes = std::move(Chunks.front().Bytes);
    Chunks.pop_front();
    if (Bytes.empty())
      co_return;
    co_await asio::async_write(To, asio::buffer(Bytes), use_awaitable);
    BufferedBytes -= Bytes.size();
    BufferDrained.cancel();
  }
}

asio::awaitable<void> Pipe::deliver(std::shared_ptr<Pipe> Self) {
  try {
    co_await Self->deliverAll();
    boost::system::error_code Code;
    Self->To.shutdown(asio::ip::tcp::socket::shutdown_send, Code);
  } catch (const boost::system::system_error &) {
    // The receiver has closed its connection: close the one to the sender too,
    // so that the sender notices.
    Self->Connection->close();
    Self->BufferedBytes = 0;
    Self->BufferDrained.cancel();
  }
}

} // namespace jujubecart::dev
