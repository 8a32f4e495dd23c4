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
constexpr milliseconds ReadyInterval{100};

// A closed connection is readable (end of stream) while it is idle.
bool usable(CallerConnection &Connection) {
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

asio::awaitable<Pool::Item> Pool::open(std::size_t Entry) {
  auto Connection = std::make_unique<CallerConnection>(Executor);
  Connection->Entry = Entry;
  Connection->Stream.expires_after(ConnectTimeout);
  boost::system::error_code Code;
  co_await Connection->Stream.async_connect(
      Targets[Entry].Endpoint, asio::redirect_error(use_awaitable, Code));
  if (Code) {
    ++ConnectFailures;
    co_return nullptr;
  }
  Connection->Stream.socket().set_option(asio::ip::tcp::no_delay(true), Code);
  co_return Connection;
}

asio::awaitable<void> Pool::warm() {
  for (std::size_t Round = 0; Round < Plan.Connections; ++Round)
    for (std::size_t Entry = 0; Entry < Targets.size(); ++Entry)
      if (Item Connection = co_await open(Entry))
        put(std::move(Connection));
}

asio::awaitable<void> Pool::pollReady(std::size_t Entry) {
  if (Plan.Entries[Entry].Ready.empty())
    co_return;
  asio::steady_timer Timer(Executor);
  while (!Stopped) {
    try {
      (void)co_await httpCall(Plan.Entries[Entry].Ready, "/ready", "",
                              ConnectTimeout);
      Targets[Entry].InRotation = true;
    } catch (const std::exception &) {
      Targets[Entry].InRotation = false;
    }
    Timer.expires_after(ReadyInterval);
    co_await Timer.async_wait(use_awaitable);
  }
}

// If no entry VM is in rotation, all of them are tried.
std::size_t Pool::next() noexcept {
  for (std::size_t Count = 0; Count < Targets.size(); ++Count) {
    const std::size_t Entry = Position++ % Targets.size();
    if (Targets[Entry].InRotation)
      return Entry;
  }
  return Position++ % Targets.size();
}

asio::awaitable<Pool::Item> Pool::take() {
  for (std::size_t Attempt = 0; Attempt < 3; ++Attempt) {
    const std::size_t Entry = next();
    auto &Idle = Targets[Entry].Idle;
    while (!Idle.empty()) {
      Item Connection = std::move(Idle.front());
      Idle.pop_front();
      if (usable(*Connection))
        co_return Connection;
    }
    if (Item Connection = co_await open(Entry))
      co_return Connection;
  }
  co_return nullptr;
}

void Pool::put(Item Connection) {
  Connection->Stream.expires_never();
  Targets[Connection->Entry].Idle.push_back(std::move(Connection));
}

} // namespace jujubecart::dev
