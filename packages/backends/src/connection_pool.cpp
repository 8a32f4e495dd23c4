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

// An idle connection must be open and silent: the end of the stream means that
// the server closed it, bytes mean a response that nobody asked for.
bool isQuiet(tcp::socket &Socket) noexcept {
  char Byte = 0;
  boost::system::error_code Code;
  Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Code);
  return Code == asio::error::would_block;
}

} // namespace internal

void ConnectControl::abort() noexcept {
  Aborted = true;
  boost::system::error_code Ignored;
  if (Connecting != nullptr)
    Connecting->close(Ignored);
  Timer.cancel();
}

ConnectionPool::ConnectionPool(boost::asio::any_io_executor Executor,
                               PoolOptions Options, const core::Clock &Time)
    : Executor(std::move(Executor)), Options(std::move(Options)), Time(Time),
      FleetSize(std::max<std::uint32_t>(this->Options.FleetSize, 1)) {}

std::uint32_t
ConnectionPool::share(const core::BackendServer &Server) const noexcept {
  return std::max<std::uint32_t>(Server.Connections / FleetSize, 1);
}

ConnectionPool::Step
ConnectionPool::nextStep(const core::BackendServer &Server, bool ProvenLive,
                         const std::shared_ptr<ConnectControl> &Control,
                         Owned &Out) {
  const core::TimePoint Oldest =
      Time.now() - (ProvenLive ? Options.OrderLiveWindow : Options.IdleTimeout);
  const std::lock_guard Lock(Mutex);
  Entry &Here = Servers[Server.Address];
  if (!Here.Idle.empty() && Here.Idle.back()->LastProven >= Oldest) {
    Out = std::move(Here.Idle.back());
    Here.Idle.pop_back();
    return Step::Reuse;
  }
  if (Here.Open >= share(Server) && !Here.Idle.empty()) {
    // The least recently used one makes room for a new connection.
    Here.Idle.erase(Here.Idle.begin());
    --Here.Open;
  }
  if (Here.Open < share(Server) &&
      Here.Connecting < Options.MaxConnectsPerServer) {
    ++Here.Open;
    ++Here.Connecting;
    return Step::Connect;
  }
  if (Here.Waiters.size() >= Options.MaxWaitingPerServer)
    return Step::Refuse;
  Control->Notified = false;
  Control->Timer.expires_after(Options.ConnectTimeout);
  Here.Waiters.push_back(Control);
  return Step::Wait;
}

core::Awaitable<core::Result<ConnectionPool::Owned>>
ConnectionPool::take(core::BackendServer Server, bool ProvenLive,
                     std::shared_ptr<ConnectControl> Control) {
  while (!Control->Aborted) {
    Owned Found;
    switch (nextStep(Server, ProvenLive, Control, Found)) {
    case Step::Reuse:
      if (internal::isQuiet(Found->Socket)) {
        ++Reused;
        co_return std::move(Found);
      }
      ++Stale;
      close(std::move(Found));
      break;
    case Step::Connect:
      co_return co_await connect(std::move(Server.Address), Control);
    case Step::Wait:
      co_await Control->Timer.async_wait(internal::UseTuple);
      if (!Control->Notified)
        co_return core::make_error_code(core::Error::Unavailable);
      break;
    case Step::Refuse:
      co_return core::make_error_code(core::Error::Unavailable);
    }
  }
  co_return core::make_error_code(core::Error::Cancelled);
}

core::Awaitable<core::Result<ConnectionPool::Owned>>
ConnectionPool::connect(std::string Address,
                        std::shared_ptr<ConnectControl> Control) {
  ++Connects;
  auto New =
      std::make_unique<Connection>(Executor, core::HttpLimits{Options.MaxHead});
  New->Address = Address;
  const auto To = core::parseEndpoint(Address);
  boost::system::error_code Failed = boost::asio::error::invalid_argument;
  if (To && To->port() != 0) {
    Control->Connecting = &New->Socket;
    Control->Timer.expires_after(Options.ConnectTimeout);
    Control->Timer.async_wait([Control](const boost::system::error_code &Code) {
      boost::system::error_code Ignored;
      if (!Code && Control->Connecting != nullptr)
        Control->Connecting->close(Ignored);
    });
    Failed = core::bindSource(New->Socket, *To, Options.Source);
    if (!Failed)
      std::tie(Failed) =
          co_await New->Socket.async_connect(*To, internal::UseTuple);
    Control->Connecting = nullptr;
    Control->Timer.cancel();
  }
  if (!Failed && New->Socket.is_open()) {
    New->Socket.set_option(internal::tcp::no_delay(true), Failed);
    New->Socket.non_blocking(true, Failed);
  }
  if (Failed || Control->Aborted || !New->Socket.is_open()) {
    ++FailedConnects;
    closed(Address, true);
    co_return core::make_error_code(core::Error::Unavailable);
  }
  New->LastProven = Time.now();
  const std::lock_guard Lock(Mutex);
  Entry &Here = Servers[Address];
  --Here.Connecting;
  notifyOne(Here);
  co_return std::move(New);
}

void ConnectionPool::giveBack(Owned Used) noexcept {
  Used->LastProven = Time.now();
  {
    const std::lock_guard Lock(Mutex);
    Entry &Here = Servers[Used->Address];
    if (Here.Idle.size() < Options.MaxIdlePerServer) {
      Here.Idle.push_back(std::move(Used));
      notifyOne(Here);
      return;
    }
  }
  close(std::move(Used));
}

void ConnectionPool::close(Owned Used) noexcept {
  boost::system::error_code Ignored;
  Used->Socket.close(Ignored);
  closed(Used->Address, false);
}

void ConnectionPool::closed(const std::string &Address,
                            bool WasConnecting) noexcept {
  const std::lock_guard Lock(Mutex);
  Entry &Here = Servers[Address];
  --Here.Open;
  if (WasConnecting)
    --Here.Connecting;
  notifyOne(Here);
}

void ConnectionPool::notifyOne(Entry &Server) noexcept {
  while (!Server.Waiters.empty()) {
    const auto Control = Server.Waiters.front().lock();
    Server.Waiters.pop_front();
    if (!Control)
      continue;
    boost::asio::post(Control->Timer.get_executor(), [Control] {
      Control->Notified = true;
      Control->Timer.cancel();
    });
    return;
  }
}

void ConnectionPool::distrust(const std::string &Address,
                              core::TimePoint Since) noexcept {
  const std::lock_guard Lock(Mutex);
  Entry &Here = Servers[Address];
  Here.Open -= static_cast<std::uint32_t>(std::erase_if(
      Here.Idle, [&](const Owned &Item) { return Item->LastProven < Since; }));
  notifyOne(Here);
}

void ConnectionPool::setFleetSize(std::uint32_t Size) noexcept {
  FleetSize = std::max<std::uint32_t>(Size, 1);
}

void ConnectionPool::prune() noexcept {
  const core::TimePoint Oldest = Time.now() - Options.IdleTimeout;
  const std::lock_guard Lock(Mutex);
  for (auto &[Address, Here] : Servers) {
    // Idle connections are in order of their last use.
    const auto Kept = std::find_if(
        Here.Idle.begin(), Here.Idle.end(),
        [&](const Owned &Item) { return Item->LastProven >= Oldest; });
    Here.Open -= static_cast<std::uint32_t>(Kept - Here.Idle.begin());
    Here.Idle.erase(Here.Idle.begin(), Kept);
  }
  std::erase_if(Servers, [](const auto &Item) {
    return Item.second.Open == 0 && Item.second.Waiters.empty();
  });
}

PoolCounters ConnectionPool::counters() const {
  PoolCounters Out{.Connects = Connects,
                   .FailedConnects = FailedConnects,
                   .Reused = Reused,
                   .Stale = Stale};
  const std::lock_guard Lock(Mutex);
  for (const auto &[Address, Here] : Servers) {
    Out.Open += Here.Open;
    Out.Idle += Here.Idle.size();
  }
  return Out;
}

} // namespace jujubecart::backends
