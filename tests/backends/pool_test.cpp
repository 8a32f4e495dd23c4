#include "../callers/harness.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::test;

namespace {

/// @brief A pool that runs on its own thread, so that tests can block on it.
struct PoolFixture {
  explicit PoolFixture(backends::PoolOptions Options = {})
      : Pool(Io.get_executor(), std::move(Options), Time),
        Work(make_work_guard(Io)), Thread([this] { Io.run(); }) {}
  ~PoolFixture() {
    Io.stop();
    Thread.join();
  }

  core::BackendServer server(const ScriptedBackend &Backend,
                             std::uint32_t Connections = 100) const {
    return {
        .Id = "s", .Address = Backend.address(), .Connections = Connections};
  }

  std::future<backends::ConnectionPool::ConnectionPtr>
  acquire(core::BackendServer Server, bool RequireVerified = false) {
    return asio::co_spawn(Io,
                          acquireFromPool(std::move(Server), RequireVerified),
                          asio::use_future);
  }

  core::Awaitable<backends::ConnectionPool::ConnectionPtr>
  acquireFromPool(core::BackendServer Server, bool RequireVerified) {
    const auto Pending = std::make_shared<backends::PendingAcquire>(
        co_await asio::this_coro::executor);
    auto Acquired =
        co_await Pool.acquire(std::move(Server), RequireVerified, Pending);
    co_return Acquired ? std::move(*Acquired) : nullptr;
  }

  asio::io_context Io;
  core::SystemClock Time;
  backends::ConnectionPool Pool;
  asio::executor_work_guard<asio::io_context::executor_type> Work;
  std::thread Thread;
};

/// @brief Script that keeps a connection open and sends nothing.
ScriptedBackend::Script keepConnectionOpen() {
  return [](tcp::socket &Socket, int) {
    char Byte = 0;
    boost::system::error_code Code;
    Socket.read_some(asio::buffer(&Byte, 1), Code);
  };
}

} // namespace

// Guards against sending a request on an idle connection that the server has
// closed, or on which it has sent unsolicited bytes: the request would be lost
// or get the wrong response.
Test(Pool, dead_idle_connections_are_not_reused) {
  for (const std::string &Unsolicited :
       {std::string(), std::string("HTTP/1.1")}) {
    std::atomic<bool> BackendMayAct{false};
    ScriptedBackend Backend([&](tcp::socket &Socket, int Index) {
      while (!BackendMayAct)
        std::this_thread::sleep_for(1ms);
      if (Index == 0)
        send(Socket, Unsolicited);
    });
    PoolFixture Fixture;
    const auto Server = Fixture.server(Backend);
    Fixture.Pool.release(Fixture.acquire(Server).get());
    cr_assert_eq(Fixture.Pool.counters().Idle, 1);
    BackendMayAct = true;
    std::this_thread::sleep_for(50ms);
    cr_assert_not_null(Fixture.acquire(Server).get().get());
    cr_assert_eq(Fixture.Pool.counters().Stale, 1);
    cr_assert_eq(Fixture.Pool.counters().Connects, 2);
  }
}

// Guards against sending an order on a connection that may be dead without an
// error: the order must not be repeated if it gets no response.
Test(Pool, order_reuses_only_a_recently_verified_connection) {
  ScriptedBackend Backend(keepConnectionOpen());
  PoolFixture Fixture({.OrderReuseWindow = 50ms});
  const auto Server = Fixture.server(Backend);
  Fixture.Pool.release(Fixture.acquire(Server).get());
  Fixture.Pool.release(Fixture.acquire(Server, true).get());
  cr_assert_eq(Fixture.Pool.counters().Connects, 1);
  std::this_thread::sleep_for(80ms);
  Fixture.Pool.release(Fixture.acquire(Server, true).get());
  cr_assert_eq(Fixture.Pool.counters().Connects, 2);
}

// Guards against opening more connections than this VM's share of those that
// the server accepts from the whole fleet.
Test(Pool, share_of_the_fleet_is_not_exceeded) {
  ScriptedBackend Backend(keepConnectionOpen());
  PoolFixture Fixture({.ConnectTimeout = 100ms, .FleetSize = 50});
  const auto Server = Fixture.server(Backend, 100);
  auto First = Fixture.acquire(Server).get();
  auto Second = Fixture.acquire(Server).get();
  cr_assert(First && Second);
  cr_assert_null(Fixture.acquire(Server).get().get());
  // A waiting call gets the connection that another one releases.
  auto Waiting = Fixture.acquire(Server);
  std::this_thread::sleep_for(20ms);
  Fixture.Pool.release(std::move(First));
  cr_assert_not_null(Waiting.get().get());
  cr_assert_eq(Backend.connections(), 2);
  Fixture.Pool.setFleetSize(25);
  cr_assert_not_null(Fixture.acquire(Server).get().get());
}

// Guards against keeping idle connections forever, and against reusing them
// after a response of the same server did not arrive in time.
Test(Pool, idle_and_unverified_connections_are_closed) {
  ScriptedBackend Backend(keepConnectionOpen());
  PoolFixture Fixture({.IdleTimeout = 30ms});
  const auto Server = Fixture.server(Backend);
  Fixture.Pool.release(Fixture.acquire(Server).get());
  std::this_thread::sleep_for(50ms);
  Fixture.Pool.prune();
  cr_assert_eq(Fixture.Pool.counters().Open, 0);
  Fixture.Pool.release(Fixture.acquire(Server).get());
  Fixture.Pool.closeUnverified(Server.Address, Fixture.Time.now() - 1s);
  cr_assert_eq(Fixture.Pool.counters().Open, 1);
  Fixture.Pool.closeUnverified(Server.Address, Fixture.Time.now() + 1s);
  cr_assert_eq(Fixture.Pool.counters().Open, 0);
}

// Guards against calls within a zone that are counted as traffic between zones,
// and against a VM without a zone that counts all of its calls.
Test(Pool, bytes_are_counted_for_other_zones_only) {
  for (const std::string &Zone : {std::string("a"), std::string()}) {
    PoolFixture Fixture({.Zone = Zone});
    Fixture.Pool.recordBytes({.Id = "s", .Zone = "a"}, 100, 1000);
    Fixture.Pool.recordBytes({.Id = "t", .Zone = "b"}, 3, 50);
    const bool Counts = !Zone.empty();
    cr_assert_eq(Fixture.Pool.counters().BytesToOtherZones, Counts ? 3 : 0);
    cr_assert_eq(Fixture.Pool.counters().BytesFromOtherZones, Counts ? 50 : 0);
  }
}
