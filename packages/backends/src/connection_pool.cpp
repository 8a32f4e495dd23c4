#include <jujubecart/backends/connection_pool.hpp>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <jujubecart/core/endpoint.hpp>
#include <jujubecart/core/http_rules.hpp>

namespace jujubecart::backends {

namespace internal {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

// An idle connection can be reused only if nothing can be read from it: end of
// stream means that the server closed it, and bytes are an unsolicited
// response.
bool isReusable(tcp::socket &Socket) noexcept {
  char Byte = 0;
  boost::system::error_code Code;
  Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Code);
  return Code == asio::error::would_block;
}

} // namespace internal

void PendingAcquire::abort() noexcept {
  Aborted = true;
  abortConnect();
  Timer.cancel();
}

void PendingAcquire::abortConnect() noexcept {
  boost::system::error_code Ignored;
  if (Connecting != nullptr)
    Connecting->close(Ignored);
}

ConnectionPool::ConnectionPool(boost::asio::any_io_executor Executor,
                               PoolOptions Options, const core::Clock &Time)
    : Executor(std::move(Executor)), Options(std::move(Options)), Time(Time),
      FleetSize(std::max<std::uint32_t>(this->Options.FleetSize, 1)) {}

std::uint32_t ConnectionPool::connectionShare(
    const core::BackendServer &Server) const noexcept {
  return std::max<std::uint32_t>(Server.Connections / FleetSize, 1);
}

ConnectionPool::Step ConnectionPool::reserveOrEnqueue(
    const core::BackendServer &Server, bool RequireVerified,
    const std::shared_ptr<PendingAcquire> &Pending, ConnectionPtr &Out) {
  const core::TimePoint VerifiedSince =
      Time.now() -
      (RequireVerified ? Options.OrderReuseWindow : Options.IdleTimeout);
  const std::lock_guard Lock(Mutex);
  ServerPool &Pool = Servers[Server.Address];
  if (!Pool.Idle.empty() && Pool.Idle.back()->LastVerified >= VerifiedSince) {
    Out = std::move(Pool.Idle.back());
    Pool.Idle.pop_back();
    return Step::Reuse;
  }
  if (Pool.Open >= connectionShare(Server) && !Pool.Idle.empty()) {
    // Closes the least recently used connection to make room for a new one.
    Pool.Idle.erase(Pool.Idle.begin());
    --Pool.Open;
  }
  if (Pool.Open < connectionShare(Server) &&
      Pool.Connecting < Options.MaxPendingConnectsPerServer) {
    ++Pool.Open;
    ++Pool.Connecting;
    return Step::Connect;
  }
  if (Pool.Waiters.size() >= Options.MaxWaitingPerServer)
    return Step::Refuse;
  Pending->Notified = false;
  Pending->Timer.expires_after(Options.ConnectTimeout);
  Pool.Waiters.push_back(Pending);
  return Step::Wait;
}

core::Awaitable<core::Result<ConnectionPool::ConnectionPtr>>
ConnectionPool::acquire(core::BackendServer Server, bool RequireVerified,
                        std::shared_ptr<PendingAcquire> Pending) {
  while (!Pending->Aborted) {
    ConnectionPtr Found;
    switch (reserveOrEnqueue(Server, RequireVerified, Pending, Found)) {
    case Step::Reuse:
      if (internal::isReusable(Found->Socket)) {
        ++Reused;
        co_return std::move(Found);
      }
      ++Stale;
      close(std::move(Found));
      break;
    case Step::Connect:
      co_return co_await connect(std::move(Server.Address), Pending);
    case Step::Wait:
      co_await Pending->Timer.async_wait(internal::UseTuple);
      if (!Pending->Notified)
        co_return core::make_error_code(core::Error::Unavailable);
      break;
    case Step::Refuse:
      co_return core::make_error_code(core::Error::Unavailable);
    }
  }
  co_return core::make_error_code(core::Error::Cancelled);
}

core::Awaitable<core::Result<ConnectionPool::ConnectionPtr>>
ConnectionPool::connect(std::string Address,
                        std::shared_ptr<PendingAcquire> Pending) {
  ++Connects;
  auto Opened = std::make_unique<Connection>(
      Executor, core::HttpLimits{Options.MaxHeadBytes});
  Opened->Address = Address;
  const auto Endpoint = core::parseEndpoint(Address);
  boost::system::error_code ConnectError = boost::asio::error::invalid_argument;
  if (Endpoint && Endpoint->port() != 0) {
    Pending->Connecting = &Opened->Socket;
    Pending->Timer.expires_after(Options.ConnectTimeout);
    Pending->Timer.async_wait([Pending](const boost::system::error_code &Code) {
      if (!Code)
        Pending->abortConnect();
    });
    ConnectError =
        core::bindSource(Opened->Socket, *Endpoint, Options.SourceAddress);
    if (!ConnectError)
      std::tie(ConnectError) =
          co_await Opened->Socket.async_connect(*Endpoint, internal::UseTuple);
    Pending->Connecting = nullptr;
    Pending->Timer.cancel();
  }
  if (!ConnectError && Opened->Socket.is_open()) {
    Opened->Socket.set_option(internal::tcp::no_delay(true), ConnectError);
    Opened->Socket.non_blocking(true, ConnectError);
  }
  if (ConnectError || Pending->Aborted || !Opened->Socket.is_open()) {
    ++FailedConnects;
    recordClosed(Address, true);
    co_return core::make_error_code(core::Error::Unavailable);
  }
  Opened->LastVerified = Time.now();
  const std::lock_guard Lock(Mutex);
  ServerPool &Pool = Servers[Address];
  --Pool.Connecting;
  notifyOne(Pool);
  co_return std::move(Opened);
}

bool ConnectionPool::isVerified(const Connection &Item) const noexcept {
  return Time.now() - Item.LastVerified <= Options.OrderReuseWindow;
}

ConnectionPool::ConnectionPtr
ConnectionPool::takeVerifiable(const std::string &Address) {
  ConnectionPtr Found;
  {
    const std::lock_guard Lock(Mutex);
    ServerPool &Pool = Servers[Address];
    if (Pool.Idle.empty())
      return nullptr;
    const Connection &Last = *Pool.Idle.back();
    const bool Outdated = Time.now() - Last.LastVerified > Options.IdleTimeout;
    if (Outdated || (!Last.ReportsLoad && !isVerified(Last)))
      return nullptr;
    Found = std::move(Pool.Idle.back());
    Pool.Idle.pop_back();
  }
  if (internal::isReusable(Found->Socket)) {
    ++Reused;
    return Found;
  }
  ++Stale;
  close(std::move(Found));
  return nullptr;
}

void ConnectionPool::release(ConnectionPtr Item) noexcept {
  Item->LastVerified = Time.now();
  Item->Used = true;
  {
    const std::lock_guard Lock(Mutex);
    ServerPool &Pool = Servers[Item->Address];
    if (Pool.Idle.size() < Options.MaxIdlePerServer) {
      Pool.Idle.push_back(std::move(Item));
      notifyOne(Pool);
      return;
    }
  }
  close(std::move(Item));
}

void ConnectionPool::close(ConnectionPtr Item) noexcept {
  boost::system::error_code Ignored;
  Item->Socket.close(Ignored);
  recordClosed(Item->Address, false);
}

void ConnectionPool::recordClosed(const std::string &Address,
                                  bool WasConnecting) noexcept {
  const std::lock_guard Lock(Mutex);
  ServerPool &Pool = Servers[Address];
  --Pool.Open;
  if (WasConnecting)
    --Pool.Connecting;
  notifyOne(Pool);
}

void ConnectionPool::notifyOne(ServerPool &Pool) noexcept {
  while (!Pool.Waiters.empty()) {
    const auto Pending = Pool.Waiters.front().lock();
    Pool.Waiters.pop_front();
    if (!Pending)
      continue;
    boost::asio::post(Pending->Timer.get_executor(), [Pending] {
      Pending->Notified = true;
      Pending->Timer.cancel();
    });
    return;
  }
}

void ConnectionPool::closeUnverified(const std::string &Address,
                                     core::TimePoint Since) noexcept {
  const std::lock_guard Lock(Mutex);
  ServerPool &Pool = Servers[Address];
  Pool.Open -= static_cast<std::uint32_t>(
      std::erase_if(Pool.Idle, [&](const ConnectionPtr &Item) {
        return Item->LastVerified < Since;
      }));
  notifyOne(Pool);
}

void ConnectionPool::setFleetSize(std::uint32_t Size) noexcept {
  FleetSize = std::max<std::uint32_t>(Size, 1);
}

void ConnectionPool::prune() noexcept {
  const core::TimePoint VerifiedSince = Time.now() - Options.IdleTimeout;
  const std::lock_guard Lock(Mutex);
  for (auto &[Address, Pool] : Servers) {
    // Idle is in order of the last use, so the outdated ones come first.
    const auto FirstKept = std::find_if(
        Pool.Idle.begin(), Pool.Idle.end(), [&](const ConnectionPtr &Item) {
          return Item->LastVerified >= VerifiedSince;
        });
    Pool.Open -= static_cast<std::uint32_t>(FirstKept - Pool.Idle.begin());
    Pool.Idle.erase(Pool.Idle.begin(), FirstKept);
  }
  std::erase_if(Servers, [](const auto &Item) {
    return Item.second.Open == 0 && Item.second.Waiters.empty();
  });
}

void ConnectionPool::recordBytes(const core::BackendServer &Server,
                                 std::uint64_t Sent,
                                 std::uint64_t Received) noexcept {
  if (Options.Zone.empty() || Server.Zone == Options.Zone)
    return;
  BytesToOtherZones += Sent;
  BytesFromOtherZones += Received;
}

PoolCounters ConnectionPool::counters() const {
  PoolCounters Out{.Connects = Connects,
                   .FailedConnects = FailedConnects,
                   .Reused = Reused,
                   .Stale = Stale,
                   .BytesToOtherZones = BytesToOtherZones,
                   .BytesFromOtherZones = BytesFromOtherZones};
  const std::lock_guard Lock(Mutex);
  for (const auto &[Address, Pool] : Servers) {
    Out.Open += Pool.Open;
    Out.Idle += Pool.Idle.size();
  }
  return Out;
}

} // namespace jujubecart::backends
