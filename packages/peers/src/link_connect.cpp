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

// Small frames must not wait for acknowledgements of earlier ones.
void configure(tcp::socket &Io) {
  boost::system::error_code Ignored;
  Io.set_option(tcp::no_delay(true), Ignored);
}

// Closes a socket whose connect or handshake takes too long.
class TimeLimit {
public:
  TimeLimit(tcp::socket &Io, std::chrono::milliseconds After)
      : Target(std::make_shared<tcp::socket *>(&Io)),
        Timer(Io.get_executor(), After) {
    Timer.async_wait([Target = Target](const boost::system::error_code &) {
      boost::system::error_code Ignored;
      if (tcp::socket *Late = std::exchange(*Target, nullptr))
        Late->close(Ignored);
    });
  }

  // Ends the limit; false if the time was over.
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
  asio::co_spawn(Sweeper.get_executor(), sweepLoop(shared_from_this()),
                 asio::detached);
  return Bound.address().to_string() + ":" + std::to_string(Bound.port());
}

core::Awaitable<void> LinkTable::acceptLoop(std::shared_ptr<LinkTable> Self) {
  asio::steady_timer Pause(Self->Acceptor.get_executor());
  while (!Self->Stopped) {
    const asio::any_io_executor Strand = asio::make_strand(Self->Executor);
    tcp::socket Io(Strand);
    const auto [Failed] =
        co_await Self->Acceptor.async_accept(Io, internal::AsTuple);
    if (Self->Stopped)
      co_return;
    if (Failed) {
      core::LogLine(core::LogLevel::Warning, "link.accept_failed")
          .field("reason", Failed);
      // Out of descriptors: retrying at once would spin.
      Pause.expires_after(std::chrono::milliseconds(50));
      co_await Pause.async_wait(internal::AsTuple);
      continue;
    }
    asio::co_spawn(Strand, Self->serve(Self, std::move(Io)), asio::detached);
  }
}

core::Awaitable<void> LinkTable::serve(std::shared_ptr<LinkTable> Self,
                                       tcp::socket Io) {
  auto Stream = co_await Self->secure(std::move(Io), false);
  if (Stream && !Self->Stopped)
    Self->adopt(std::move(Stream), false, {});
}

core::Awaitable<std::shared_ptr<internal::Stream>>
LinkTable::secure(tcp::socket Io, bool Dialed) {
  internal::configure(Io);
  if (Options.PlainTcp)
    co_return std::make_shared<internal::PlainStream>(std::move(Io));
  auto Context = Tls ? Tls->current() : nullptr;
  if (!Context)
    co_return nullptr;
  auto Secured =
      std::make_unique<internal::TlsStream::Socket>(std::move(Io), *Context);
  internal::TimeLimit Limit(Secured->next_layer(), Options.ConnectTimeout);
  const auto [Failed] = co_await Secured->async_handshake(
      Dialed ? asio::ssl::stream_base::client : asio::ssl::stream_base::server,
      internal::AsTuple);
  if (!Limit.finish() || Failed) {
    core::LogLine(core::LogLevel::Warning, "link.handshake_failed")
        .field("reason", Failed);
    co_return nullptr;
  }
  co_return std::make_shared<internal::TlsStream>(std::move(Context),
                                                  std::move(Secured));
}

core::Awaitable<void> LinkTable::dial(std::shared_ptr<LinkTable> Self,
                                      std::string Vm, std::string Address) {
  const auto Endpoint = core::parseEndpoint(Address);
  if (!Endpoint) {
    Self->settle(Vm, nullptr);
    co_return;
  }
  tcp::socket Io(co_await asio::this_coro::executor);
  internal::TimeLimit Limit(Io, Self->Options.ConnectTimeout);
  boost::system::error_code Failed =
      core::bindSource(Io, *Endpoint, Self->Options.Source);
  if (!Failed)
    std::tie(Failed) = co_await Io.async_connect(*Endpoint, internal::AsTuple);
  if (!Limit.finish() || Failed || Self->Stopped) {
    Self->settle(Vm, nullptr);
    co_return;
  }
  auto Stream = co_await Self->secure(std::move(Io), true);
  if (!Stream || Self->Stopped) {
    Self->settle(Vm, nullptr);
    co_return;
  }
  // The peer's Hello ends the dial.
  Self->adopt(std::move(Stream), true, Vm);
}

core::Awaitable<LinkPtr> LinkTable::connect(std::string Vm,
                                            std::string Address) {
  const auto Wait = std::make_shared<Dial>();
  bool Start = false;
  {
    const std::lock_guard Lock(Mutex);
    Peer &Entry = Peers[Vm];
    if (Entry.Primary)
      co_return Entry.Primary;
    if (Stopped || (!Entry.Dialing && Time.now() < Entry.NextDial))
      co_return nullptr;
    Entry.Dials.push_back(Wait);
    Start = !std::exchange(Entry.Dialing, true);
  }
  if (Start)
    asio::co_spawn(asio::make_strand(Executor),
                   dial(shared_from_this(), std::move(Vm), std::move(Address)),
                   asio::detached);
  co_return co_await Wait->wait();
}

void LinkTable::connectSeed(const std::string &Address) {
  connectLater(std::string(internal::SeedPrefix) + Address, Address);
}

void LinkTable::connectLater(const std::string &Vm,
                             const std::string &Address) {
  {
    const std::lock_guard Lock(Mutex);
    Peer &Entry = Peers[Vm];
    if (Stopped || Entry.Primary || Entry.Dialing ||
        Time.now() < Entry.NextDial)
      return;
    Entry.Dialing = true;
  }
  asio::co_spawn(asio::make_strand(Executor),
                 dial(shared_from_this(), Vm, Address), asio::detached);
}

} // namespace jujubecart::peers
