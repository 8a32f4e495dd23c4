#include <jujubecart/peers/link_table.hpp>

#include <jujubecart/core/endpoint.hpp>

#include "one_shot.hpp"
#include "seed.hpp"
#include "stream.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <jujubecart/core/log.hpp>
#include <tuple>

namespace jujubecart::peers {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace internal {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

// With Nagle's algorithm a small frame would wait until the peer has
// acknowledged the previous ones.
void disableNagle(tcp::socket &Connection) {
  boost::system::error_code Ignored;
  Connection.set_option(tcp::no_delay(true), Ignored);
}

// Closes a socket whose connect or TLS handshake takes too long.
class SocketTimeout {
public:
  SocketTimeout(tcp::socket &Connection, std::chrono::milliseconds Duration)
      : Target(std::make_shared<tcp::socket *>(&Connection)),
        Timer(Connection.get_executor(), Duration) {
    Timer.async_wait([Target = Target](const boost::system::error_code &) {
      boost::system::error_code Ignored;
      if (tcp::socket *Expired = std::exchange(*Target, nullptr))
        Expired->close(Ignored);
    });
  }

  // Disarms the timeout; false if it has already closed the socket.
  [[nodiscard]] bool finish() {
    Timer.cancel();
    return std::exchange(*Target, nullptr) != nullptr;
  }

private:
  std::shared_ptr<tcp::socket *> Target;
  asio::steady_timer Timer;
};

} // namespace internal

core::Result<std::string> LinkTable::listen() {
  const auto Endpoint = core::parseEndpoint(
      Options.Listen.empty() ? Options.Self.Address : Options.Listen);
  if (!Endpoint)
    return Endpoint.error();
  boost::system::error_code Failed;
  Acceptor.open(Endpoint->protocol(), Failed);
  if (!Failed)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Failed);
  if (!Failed)
    Acceptor.bind(*Endpoint, Failed);
  if (!Failed)
    Acceptor.listen(asio::socket_base::max_listen_connections, Failed);
  if (Failed)
    return std::error_code(Failed);
  const tcp::endpoint Bound = Acceptor.local_endpoint(Failed);
  asio::co_spawn(Acceptor.get_executor(), acceptLoop(shared_from_this()),
                 asio::detached);
  asio::co_spawn(SweepTimer.get_executor(), sweepLoop(shared_from_this()),
                 asio::detached);
  return Bound.address().to_string() + ":" + std::to_string(Bound.port());
}

core::Awaitable<void> LinkTable::acceptLoop(std::shared_ptr<LinkTable> Self) {
  asio::steady_timer Pause(Self->Acceptor.get_executor());
  while (!Self->Stopped) {
    const asio::any_io_executor Strand = asio::make_strand(Self->Executor);
    tcp::socket Connection(Strand);
    const auto [Failed] =
        co_await Self->Acceptor.async_accept(Connection, internal::AsTuple);
    if (Self->Stopped)
      co_return;
    if (Failed) {
      core::LogLine(core::LogLevel::Warning, "link.accept_failed")
          .field("reason", Failed);
      // The usual cause is a lack of file descriptors; retrying without a pause
      // would be a busy loop.
      Pause.expires_after(std::chrono::milliseconds(50));
      co_await Pause.async_wait(internal::AsTuple);
      continue;
    }
    asio::co_spawn(Strand, Self->acceptPeer(Self, std::move(Connection)),
                   asio::detached);
  }
}

core::Awaitable<void> LinkTable::acceptPeer(std::shared_ptr<LinkTable> Self,
                                            tcp::socket Connection) {
  auto Stream = co_await Self->performHandshake(std::move(Connection), false);
  if (Stream && !Self->Stopped)
    Self->addLink(std::move(Stream), false, {});
}

core::Awaitable<std::shared_ptr<internal::Stream>>
LinkTable::performHandshake(tcp::socket Connection, bool Dialed) {
  internal::disableNagle(Connection);
  if (Options.PlainTcp)
    co_return std::make_shared<internal::PlainStream>(std::move(Connection));
  auto Context = Tls ? Tls->current() : nullptr;
  if (!Context)
    co_return nullptr;
  auto TlsSocket = std::make_unique<internal::TlsStream::Socket>(
      std::move(Connection), *Context);
  internal::SocketTimeout Limit(TlsSocket->next_layer(),
                                Options.ConnectTimeout);
  const auto [Failed] = co_await TlsSocket->async_handshake(
      Dialed ? asio::ssl::stream_base::client : asio::ssl::stream_base::server,
      internal::AsTuple);
  if (!Limit.finish() || Failed) {
    core::LogLine(core::LogLevel::Warning, "link.handshake_failed")
        .field("reason", Failed);
    co_return nullptr;
  }
  co_return std::make_shared<internal::TlsStream>(std::move(Context),
                                                  std::move(TlsSocket));
}

core::Awaitable<void> LinkTable::dial(std::shared_ptr<LinkTable> Self,
                                      std::string Vm, std::string Address) {
  const auto Endpoint = core::parseEndpoint(Address);
  if (!Endpoint) {
    Self->completeDial(Vm, nullptr);
    co_return;
  }
  tcp::socket Connection(co_await asio::this_coro::executor);
  internal::SocketTimeout Limit(Connection, Self->Options.ConnectTimeout);
  boost::system::error_code Failed =
      core::bindSource(Connection, *Endpoint, Self->Options.SourceAddress);
  if (!Failed)
    std::tie(Failed) =
        co_await Connection.async_connect(*Endpoint, internal::AsTuple);
  if (!Limit.finish() || Failed || Self->Stopped) {
    Self->completeDial(Vm, nullptr);
    co_return;
  }
  auto Stream = co_await Self->performHandshake(std::move(Connection), true);
  if (!Stream || Self->Stopped) {
    Self->completeDial(Vm, nullptr);
    co_return;
  }
  // onHello() or onClosed() completes the dial.
  Self->addLink(std::move(Stream), true, Vm);
}

core::Awaitable<LinkPtr> LinkTable::connect(std::string Vm,
                                            std::string Address) {
  const auto Waiter = std::make_shared<DialWaiter>();
  bool StartsDial = false;
  {
    const std::lock_guard Lock(Mutex);
    Peer &Entry = Peers[Vm];
    if (Entry.Primary)
      co_return Entry.Primary;
    if (Stopped || (!Entry.Dialing && Time.now() < Entry.NextDialAt))
      co_return nullptr;
    Entry.DialWaiters.push_back(Waiter);
    StartsDial = !std::exchange(Entry.Dialing, true);
  }
  if (StartsDial)
    asio::co_spawn(asio::make_strand(Executor),
                   dial(shared_from_this(), std::move(Vm), std::move(Address)),
                   asio::detached);
  co_return co_await Waiter->wait();
}

void LinkTable::connectSeed(const std::string &Address) {
  connectInBackground(std::string(internal::SeedPrefix) + Address, Address);
}

void LinkTable::connectInBackground(const std::string &Vm,
                                    const std::string &Address) {
  {
    const std::lock_guard Lock(Mutex);
    Peer &Entry = Peers[Vm];
    if (Stopped || Entry.Primary || Entry.Dialing ||
        Time.now() < Entry.NextDialAt)
      return;
    Entry.Dialing = true;
  }
  asio::co_spawn(asio::make_strand(Executor),
                 dial(shared_from_this(), Vm, Address), asio::detached);
}

} // namespace jujubecart::peers
