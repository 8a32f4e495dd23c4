#include "harness.hpp"

#include <criterion/criterion.h>

#include <latch>

using namespace jujubecart;
using namespace jujubecart::test;

namespace {

/// Time in which a close of the caller ends the work of a backend server.
constexpr std::chrono::milliseconds CancelBound{500};
// Fits into the receive buffer of a socket, so that the close arrives behind
// it.
constexpr std::size_t BodyBytes = 65536;

const std::string Get = "GET /tags/1 HTTP/1.1\r\nHost: a\r\n\r\n";

std::string uploadOf(std::size_t Size) {
  return "POST /tags/1 HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(Size) + "\r\n\r\n" + std::string(Size, 'x');
}

Harness::Settings longRequests(bool Idempotent) {
  Harness::Settings Out{.RetryTokens = 5};
  Out.DeadlineMs = 20000;
  Out.Routes = {{.Name = "r",
                 .Host = "a",
                 .PathPrefix = "/tags/",
                 .Idempotent = Idempotent,
                 .MaxAttempts = 2,
                 .TimeoutMs = 20000,
                 .ObjectiveMs = 500,
                 .Services = {{.Service = "tags", .Weight = 1}}}};
  return Out;
}

/// @brief Settings with which a body of BodyBytes is streamed.
Harness::Settings streamedUploads() {
  Harness::Settings Out = longRequests(false);
  Out.Options.BufferedBodyBudget = 4096;
  return Out;
}

/// @brief Whether a condition becomes true within CancelBound.
bool inTime(const std::function<bool()> &Condition) {
  const auto Until = std::chrono::steady_clock::now() + CancelBound;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= Until)
      return false;
    std::this_thread::sleep_for(5ms);
  }
  return true;
}

/// @brief Backend server that works on each request until its connection ends.
struct BusyBackend {
  BusyBackend()
      : Backend([this](tcp::socket &Socket, int) {
          Backend.readRequest(Socket);
          std::string Rest;
          boost::system::error_code Code;
          asio::read(Socket, asio::dynamic_buffer(Rest), Code);
          ++Dropped;
        }) {}

  bool working() { return Backend.requests().size() > std::size_t(Dropped); }

  std::atomic<int> Dropped{0};
  ScriptedBackend Backend;
};

/// @brief Keeps the threads of a harness busy, as on a VM that is late: what
/// arrives meanwhile is handled when the object is destroyed.
class Stall {
public:
  explicit Stall(Harness &Fixture) {
    for (int Count = 0; Count < Threads; ++Count)
      asio::post(Fixture.Io, [this] {
        Busy.count_down();
        End.wait();
        Ended.count_down();
      });
    Busy.wait();
  }
  Stall(const Stall &) = delete;
  Stall &operator=(const Stall &) = delete;
  ~Stall() {
    End.count_down();
    Ended.wait();
  }

private:
  static constexpr int Threads = 2;
  std::latch Busy{Threads};
  std::latch End{1};
  std::latch Ended{Threads};
};

} // namespace

// Guards against sending a request whose caller has given up by the time at
// which the VM, which is late, reads it: the request and the close wait in the
// socket together.
Test(CallerClose, request_read_together_with_its_close_is_not_sent) {
  constexpr int Callers = 8;
  for (const bool Idempotent : {true, false}) {
    ScriptedBackend *Self = nullptr;
    ScriptedBackend Backend([&](tcp::socket &Socket, int) {
      while (!Self->readRequest(Socket).empty()) {
        std::this_thread::sleep_for(50ms);
        send(Socket, response("200 OK", "x"));
      }
    });
    // NOLINTNEXTLINE(clang-analyzer-deadcode.DeadStores): read by reference
    Self = &Backend;
    Harness Fixture({Backend.address()}, longRequests(Idempotent));
    // Leaves idle connections, so that the late requests need no new ones.
    std::vector<std::future<int>> First;
    First.reserve(Callers);
    for (int Count = 0; Count < Callers; ++Count)
      First.push_back(std::async(std::launch::async,
                                 [&] { return statusOf(Fixture.call(Get)); }));
    for (std::future<int> &Each : First)
      cr_assert_eq(Each.get(), 200);
    const std::size_t Before = Backend.requests().size();
    {
      const Stall Late(Fixture);
      for (int Count = 0; Count < Callers; ++Count) {
        tcp::socket Caller = Fixture.connect();
        send(Caller, Get);
      }
    }
    cr_assert(eventually([&] {
      return Fixture.Server->counters().rejected(
                 callers::RejectReason::CallerGone) == Callers;
    }));
    cr_assert_eq(Backend.requests().size(), Before, "idempotent: %d",
                 int(Idempotent));
  }
}

// Guards against work that goes on for a caller that has left because bytes of
// its next request wait in the socket in front of the close.
Test(CallerClose, close_behind_a_next_request_cancels_the_request) {
  BusyBackend Busy;
  Harness Fixture({Busy.Backend.address()}, longRequests(true));
  tcp::socket Caller = Fixture.connect();
  send(Caller, Get);
  cr_assert(eventually([&] { return Busy.working(); }));
  send(Caller, Get);
  std::this_thread::sleep_for(50ms);
  Caller.close();
  cr_assert(inTime([&] { return Busy.Dropped == 1; }));
}

// Guards against a request that waits for a slot and is granted one although
// its caller has left: the rest of its body waits in the socket in front of
// the close.
Test(CallerClose, close_behind_an_unread_body_ends_the_wait_for_a_slot) {
  BusyBackend Busy;
  Harness Fixture({Busy.Backend.address()}, streamedUploads());
  Fixture.Broker.MaxGrants = 0;
  tcp::socket Caller = Fixture.connect();
  send(Caller, uploadOf(BodyBytes));
  cr_assert(eventually([&] { return Fixture.Broker.Waiting == 1; }));
  Caller.close();
  cr_assert(inTime([&] { return Fixture.Broker.Waiting == 0; }));
}

// Guards against a backend server that goes on with a response because the
// close of the caller arrived while the VM was writing.
Test(CallerClose, close_while_the_response_is_written_cancels_the_request) {
  std::atomic<bool> Dropped{false};
  ScriptedBackend *Self = nullptr;
  ScriptedBackend Backend([&](tcp::socket &Socket, int) {
    Self->readRequest(Socket);
    send(Socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string Chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";
    boost::system::error_code Code;
    while (!Code)
      asio::write(Socket, asio::buffer(Chunk), Code);
    Dropped = true;
  });
  // NOLINTNEXTLINE(clang-analyzer-deadcode.DeadStores): read by reference
  Self = &Backend;
  Harness Fixture({Backend.address()}, longRequests(true));
  tcp::socket Caller = Fixture.connect();
  send(Caller, Get);
  cr_assert(eventually([&] { return !Backend.requests().empty(); }));
  // The caller reads nothing, so the VM is soon blocked in a write.
  std::this_thread::sleep_for(300ms);
  Caller.shutdown(tcp::socket::shutdown_send);
  cr_assert(inTime([&] { return Dropped.load(); }));
}

// Guards against a request that reaches a backend server after its caller has
// left, from the send buffer of the connection on which it was cancelled.
Test(CallerClose, cancelled_request_is_not_delivered_from_the_send_buffer) {
  std::latch Cancelled(1);
  std::promise<boost::system::error_code> End;
  ScriptedBackend Backend([&](tcp::socket &Socket, int) {
    // A server that reads late.
    Cancelled.wait();
    std::string Bytes;
    boost::system::error_code Code;
    asio::read(Socket, asio::dynamic_buffer(Bytes), Code);
    End.set_value(Code);
  });
  Harness Fixture({Backend.address()}, streamedUploads());
  {
    tcp::socket Caller = Fixture.connect();
    send(Caller, uploadOf(BodyBytes));
    cr_assert(eventually([&] { return Backend.connections() == 1; }));
    std::this_thread::sleep_for(100ms);
  }
  cr_assert(eventually(
      [&] { return Fixture.Server->counters().OpenConnections == 0; }));
  Cancelled.count_down();
  cr_assert_eq(End.get_future().get(), asio::error::connection_reset);
}
