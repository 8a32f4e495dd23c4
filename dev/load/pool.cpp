#include "load/pool.hpp"

#include "common/endpoint.hpp"
#include "common/http_call.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jujubecart::dev {

namespace asio = boost::asio;
using asio::use_awaitable;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds ConnectTimeout{1000};
constexpr milliseconds ReadyPollInterval{100};

// An idle connection is usable if a read would block. If the peer has closed
// it, a read returns the end of the stream or an error.
bool isUsable(CallerConnection &Connection) {
  auto &Socket = Connection.Stream.socket();
  boost::system::error_code Code;
  Socket.non_blocking(true, Code);
  char Byte = 0;
  Socket.receive(asio::buffer(&Byte, 1), asio::socket_base::message_peek, Code);
  return Code == asio::error::would_block;
}

} // namespace

Pool::Pool(const asio::any_io_executor &Executor, const Experiment &Plan)
    : Executor(Executor), Plan(Plan) {
  for (const EntryVm &Entry : Plan.Entries) {
    Targets.emplace_back();
    Targets.back().Endpoint = parseEndpoint(Entry.Address);
  }
}

asio::awaitable<Pool::ConnectionPtr> Pool::open(std::size_t EntryIndex) {
  auto Connection = std::make_unique<CallerConnection>(Executor);
  Connection->EntryIndex = EntryIndex;
  Connection->Stream.expires_after(ConnectTimeout);
  boost::system::error_code Code;
  co_await Connection->Stream.async_connect(
      Targets[EntryIndex].Endpoint, asio::redirect_error(use_awaitable, Code));
  if (Code) {
    ++ConnectFailures;
    co_return nullptr;
  }
  Connection->Stream.socket().set_option(asio::ip::tcp::no_delay(true), Code);
  co_return Connection;
}

asio::awaitable<void> Pool::openInitial() {
  for (std::size_t Round = 0; Round < Plan.ConnectionsPerEntry; ++Round)
    for (std::size_t EntryIndex = 0; EntryIndex < Targets.size(); ++EntryIndex)
      if (ConnectionPtr Connection = co_await open(EntryIndex))
        release(std::move(Connection));
}

asio::awaitable<void> Pool::pollReady(std::size_t EntryIndex) {
  if (Plan.Entries[EntryIndex].ReadyAddress.empty())
    co_return;
  asio::steady_timer Timer(Executor);
  while (!Stopped) {
    try {
      (void)co_await httpCall(Plan.Entries[EntryIndex].ReadyAddress, "/ready",
                              "", ConnectTimeout);
      Targets[EntryIndex].InRotation = true;
    } catch (const std::exception &) {
      Targets[EntryIndex].InRotation = false;
    }
    Timer.expires_after(ReadyPollInterval);
    co_await Timer.async_wait(use_awaitable);
  }
}

// Next entry VM in rotation, round robin. If none is in rotation, the next one
// regardless of its state.
std::size_t Pool::nextTarget() noexcept {
  for (std::size_t Count = 0; Count < Targets.size(); ++Count) {
    const std::size_t EntryIndex = RoundRobinIndex++ % Targets.size();
    if (Targets[EntryIndex].InRotation)
      return EntryIndex;
  }
  return RoundRobinIndex++ % Targets.size();
}

asio::awaitable<Pool::ConnectionPtr> Pool::acquire() {
  for (std::size_t Attempt = 0; Attempt < 3; ++Attempt) {
    const std::size_t EntryIndex = nextTarget();
    auto &Idle = Targets[EntryIndex].Idle;
    while (!Idle.empty()) {
      ConnectionPtr Connection = std::move(Idle.front());
      Idle.pop_front();
      if (isUsable(*Connection))
        co_return Connection;
    }
    if (ConnectionPtr Connection = co_await open(EntryIndex))
      co_return Connection;
  }
  co_return nullptr;
}

void Pool::release(ConnectionPtr Connection) {
  Connection->Stream.expires_never();
  Targets[Connection->EntryIndex].Idle.push_back(std::move(Connection));
}

} // namespace jujubecart::dev
