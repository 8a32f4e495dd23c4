#include "../callers/harness.hpp"

#include <jujubecart/platform/http_profile.hpp>

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::test;

namespace {

constexpr const char *Id = "9c41d07be2a35f68";

/// @brief 200 response with the fields that each success of the platform has.
std::string signedResponse(const std::string &RequestId,
                           const std::string &Body) {
  return response("200 OK", Body,
                  "Request-Id: " + RequestId + "\r\nResponse-Signature: s\r\n");
}

/// @brief Script that reads a request head and sends bytes.
/// @param Reset Resets the connection afterwards.
ScriptedBackend::Script respondWith(const std::string &Bytes,
                                    bool Reset = false) {
  return [Bytes, Reset](tcp::socket &Socket, int) {
    std::string Request;
    boost::system::error_code Code;
    asio::read_until(Socket, asio::dynamic_buffer(Request), "\r\n\r\n", Code);
    send(Socket, Bytes);
    std::this_thread::sleep_for(30ms);
    if (Reset)
      Socket.set_option(asio::socket_base::linger(true, 0), Code);
    if (Reset)
      Socket.close(Code);
  };
}

/// @brief Runs one exchange with a scripted backend server, using the
/// platform's header fields.
struct Fixture {
  explicit Fixture(ScriptedBackend::Script Script)
      : Backend(std::move(Script)) {}

  /// @brief Sends a request.
  /// @return Body of the response, or `failed` if it is not complete.
  core::Awaitable<std::string> exchange() {
    auto Request = std::make_shared<core::BackendRequest>();
    Request->Head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    Request->CallerRequestId = Id;
    Request->IsOrder = IsOrder;
    const auto Exchange =
        Transport.prepare({.Id = "i-1", .Address = Backend.address()}, Request);
    const std::error_code Failed = co_await Exchange->open(nullptr);
    std::string Body;
    std::array<char, 64> Buffer{};
    while (!Failed && !Exchange->complete()) {
      const auto Count = co_await Exchange->read(Buffer);
      if (!Count)
        break;
      Body.append(Buffer.data(), *Count);
    }
    Report = Exchange->report();
    co_return Failed || !Exchange->complete() ? "failed" : Body;
  }
  std::string run() {
    auto Result = asio::co_spawn(Io, exchange(), asio::use_future);
    Io.run();
    return Result.get();
  }

  ScriptedBackend Backend;
  asio::io_context Io;
  core::SystemClock Time;
  backends::ConnectionPool Pool{Io.get_executor(), {}, Time};
  backends::Transport Transport{Pool, Time, platform::httpProfile()};
  core::CallReport Report;
  bool IsOrder = false;
};

} // namespace

// Guards against passing a response to the wrong caller: a late, duplicate
// response to an earlier request arrives before the expected one.
Test(PlatformExchange, response_to_another_request_is_skipped) {
  Fixture Setup(respondWith(signedResponse("ffffffffffffffff", "wrong") +
                            signedResponse(Id, "right")));
  cr_assert_eq(Setup.run(), "right");
}

// Guards against rejecting a response that has neither Content-Length nor
// chunks and so ends with its connection.
Test(PlatformExchange, response_ended_by_connection_close_is_complete) {
  Fixture Setup(
      respondWith("HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(Id) +
                  "\r\nResponse-Signature: s\r\n\r\nuntil the end"));
  cr_assert_eq(Setup.run(), "until the end");
}

// Guards against taking a connection reset for the end of a response without
// length, which would pass a truncated body as complete.
Test(PlatformExchange, response_ended_by_connection_reset_is_incomplete) {
  Fixture Setup(
      respondWith("HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(Id) +
                      "\r\nResponse-Signature: s\r\n\r\nuntil the end",
                  true));
  cr_assert_eq(Setup.run(), "failed");
  cr_assert(Setup.Report.Outcome == core::CallOutcome::Broken);
}

// Guards against accepting a success response that no backend server signed.
Test(PlatformExchange, success_without_signature_is_rejected) {
  Fixture Setup(respondWith(
      response("200 OK", "x", "Request-Id: " + std::string(Id) + "\r\n")));
  cr_assert_eq(Setup.run(), "failed");
}

// Guards against a rejection that counts as a run, so that the request is not
// sent to another server, and against losing the load that it states.
Test(PlatformExchange, rejection_by_the_server_is_reported_as_not_run) {
  Fixture Setup(
      respondWith(response("503 Service Unavailable", "",
                           "Not-Executed: 1\r\nUpstream-Load: 2,4,2,400\r\n"
                           "Retry-After: 60\r\n")));
  Setup.run();
  cr_assert(Setup.Report.Outcome == core::CallOutcome::Rejected);
  cr_assert_eq(Setup.Report.Load->PacePercent, 400);
  cr_assert(Setup.Report.QuietUntil > Setup.Time.now() + 59s);
}

// Guards against missing that another process now has the server's address
// (status 421).
Test(PlatformExchange, response_of_another_instance_is_reported) {
  Fixture Setup(respondWith(response("421 Misdirected Request", "")));
  Setup.run();
  cr_assert(Setup.Report.Outcome == core::CallOutcome::Rejected);
  cr_assert(Setup.Report.OtherInstance);
}

namespace {

/// @brief Runs two orders one after another with a scripted backend server, the
/// second after the reuse window of the pool.
struct TwoOrders {
  /// @param Behave Handles the requests of a connection.
  /// @param ReuseWindow Time for which a connection needs no health request.
  explicit TwoOrders(ScriptedBackend::Script Behave,
                     std::chrono::milliseconds ReuseWindow = 1ms)
      : Backend(std::move(Behave)),
        Pool(Io.get_executor(), {.OrderReuseWindow = ReuseWindow}, Time) {}

  core::Awaitable<core::CallOutcome> order(const std::string &RequestId) {
    auto Request = std::make_shared<core::BackendRequest>();
    Request->Head = "POST / HTTP/1.1\r\nHost: a\r\n\r\n";
    Request->CallerRequestId = RequestId;
    Request->IsOrder = true;
    const auto Exchange =
        Transport.prepare({.Id = "i-1", .Address = Backend.address()}, Request);
    const std::error_code Failed = co_await Exchange->open(nullptr);
    std::array<char, 64> Buffer{};
    while (!Failed && !Exchange->complete()) {
      const auto Count = co_await Exchange->read(Buffer);
      if (!Count)
        break;
    }
    co_return Exchange->report().Outcome;
  }
  core::Awaitable<void> both() {
    First = co_await order(Id);
    std::this_thread::sleep_for(5ms);
    Second = co_await order(SecondId);
  }
  void run() {
    auto Result = asio::co_spawn(Io, both(), asio::use_future);
    Io.run();
    Result.get();
  }

  ScriptedBackend Backend;
  asio::io_context Io;
  core::SystemClock Time;
  backends::ConnectionPool Pool;
  backends::Transport Transport{Pool, Time, platform::httpProfile()};
  /// Id that the caller of the second order sent.
  std::string SecondId = Id;
  core::CallOutcome First = core::CallOutcome::NotSent;
  core::CallOutcome Second = core::CallOutcome::NotSent;
};

/// @brief Reads one request head; its method, or nothing at the end of the
/// connection.
std::string readMethod(tcp::socket &Socket) {
  std::string Request;
  boost::system::error_code Code;
  asio::read_until(Socket, asio::dynamic_buffer(Request), "\r\n\r\n", Code);
  return Code ? "" : Request.substr(0, Request.find(' '));
}

std::string orderResponse() {
  return response(
      "200 OK", "x",
      "Request-Id: " + std::string(Id) +
          "\r\nResponse-Signature: s\r\nUpstream-Load: 0,0,2,100\r\n");
}

} // namespace

// Guards against a new connection for each order, which the backend server pays
// for with a slot.
Test(PlatformExchange, order_reuses_a_connection_after_a_health_request) {
  std::atomic<int> Orders{0};
  std::atomic<int> Checks{0};
  TwoOrders With([&](tcp::socket &Socket, int) {
    for (std::string Method; !(Method = readMethod(Socket)).empty();) {
      ++(Method == "GET" ? Checks : Orders);
      send(Socket, Method == "GET"
                       ? response("200 OK", "", "Upstream-Load: 0,0,2,100\r\n")
                       : orderResponse());
    }
  });
  With.run();
  cr_assert(With.Second == core::CallOutcome::Completed);
  cr_assert_eq(Orders, 2);
  cr_assert_eq(Checks, 1);
  cr_assert_eq(With.Pool.counters().Connects, 1);
}

// Guards against an order whose outcome is unknown because it was sent on a
// connection that the server had dropped without notice.
Test(PlatformExchange, order_is_not_sent_on_an_unresponsive_connection) {
  std::atomic<int> Orders{0};
  TwoOrders With([&](tcp::socket &Socket, int Index) {
    readMethod(Socket);
    ++Orders;
    send(Socket, orderResponse());
    // The first connection never answers again.
    if (Index == 0)
      std::this_thread::sleep_for(200ms);
  });
  With.run();
  cr_assert(With.Second == core::CallOutcome::Completed);
  cr_assert_eq(Orders, 2);
  cr_assert_eq(With.Pool.counters().Connects, 2);
}

// Guards against taking a late, duplicate response to an earlier request for
// the response to the health request, which would then be taken for the
// response to the order.
Test(PlatformExchange, duplicate_response_does_not_verify_a_connection) {
  TwoOrders With([&](tcp::socket &Socket, int) {
    for (std::string Method; !(Method = readMethod(Socket)).empty();) {
      if (Method == "GET")
        send(Socket, orderResponse() + response("200 OK", "health"));
      else
        send(Socket, orderResponse());
    }
  });
  With.run();
  cr_assert(With.Second == core::CallOutcome::Completed);
  cr_assert_eq(With.Pool.counters().Connects, 1);
}

namespace {

/// @brief Statement of the server that it did not run a request.
std::string refusal(const std::string &Fields) {
  return response("503 Service Unavailable", "",
                  "Not-Executed: 1\r\n" + Fields);
}

} // namespace

// Guards against an earlier refusal that the server writes once more: it would
// be taken for the answer to the next attempt of the same request, which the
// server runs.
Test(PlatformExchange, repeated_refusal_does_not_answer_the_next_attempt) {
  const std::string Refusal =
      refusal("Request-Id: " + std::string(Id) + "\r\n");
  TwoOrders With(
      [&](tcp::socket &Socket, int Index) {
        if (Index > 0) {
          readMethod(Socket);
          send(Socket, orderResponse());
          return;
        }
        while (!readMethod(Socket).empty())
          send(Socket, Refusal);
      },
      10s);
  With.run();
  cr_assert(With.First == core::CallOutcome::Rejected);
  cr_assert(With.Second == core::CallOutcome::Completed);
}

// Guards against an earlier refusal without an id on a kept connection: nothing
// shows that it belongs to the request for which a response is due, so it must
// not state that the request was not run.
Test(PlatformExchange, refusal_without_id_on_a_kept_connection_proves_nothing) {
  for (const char *Status :
       {"503 Service Unavailable", "421 Misdirected Request",
        "429 Too Many Requests"}) {
    TwoOrders With(
        [&](tcp::socket &Socket, int) {
          readMethod(Socket);
          send(Socket, orderResponse());
          while (!readMethod(Socket).empty())
            send(Socket,
                 response(Status, "", "Not-Executed: 1\r\n") + orderResponse());
        },
        10s);
    With.run();
    cr_assert(With.First == core::CallOutcome::Completed);
    cr_assert(With.Second == core::CallOutcome::Broken, "%s: %d", Status,
              int(With.Second));
  }
}

// Guards against an order without an id that is taken for not run, because an
// earlier refusal is repeated in front of its own response on a kept
// connection: no id shows to which of the two requests the refusal belongs.
Test(PlatformExchange, refusal_on_a_kept_connection_needs_the_id_of_the_order) {
  TwoOrders With(
      [&](tcp::socket &Socket, int) {
        readMethod(Socket);
        send(Socket, orderResponse());
        while (!readMethod(Socket).empty())
          send(Socket, refusal("Request-Id: " + std::string(Id) + "\r\n") +
                           response("200 OK", "x"));
      },
      10s);
  With.SecondId = "";
  With.run();
  cr_assert(With.First == core::CallOutcome::Completed);
  cr_assert_not(core::certainlyNotRun(With.Second), "%d", int(With.Second));
}

// Guards against a server that goes on getting orders although it fails them
// with a status that promises that they have not run, which it does not state;
// and against a server that is taken for faulty because it refuses properly.
Test(PlatformExchange, order_failed_with_a_promise_is_an_error_of_the_server) {
  struct Row {
    const char *Status;
    const char *Fields;
    bool IsOrder;
    bool ServerError;
  };
  const std::vector<Row> Rows{
      {"429 Too Many Requests", "", true, true},
      {"408 Request Timeout", "", true, true},
      {"503 Service Unavailable", "", true, true},
      {"404 Not Found", "", true, false},
      {"429 Too Many Requests", "Not-Executed: 1\r\n", true, false},
      {"421 Misdirected Request", "", true, false},
      {"429 Too Many Requests", "", false, false},
  };
  for (const Row &Each : Rows) {
    Fixture Setup(respondWith(
        response(Each.Status, "",
                 "Request-Id: " + std::string(Id) + "\r\n" + Each.Fields)));
    Setup.IsOrder = Each.IsOrder;
    Setup.run();
    cr_assert_eq(Setup.Report.ServerError, Each.ServerError, "%s %s %d",
                 Each.Status, Each.Fields, int(Each.IsOrder));
  }
}

// Guards against a response whose head ends early with the connection and that
// is taken for a complete one without a body.
Test(PlatformExchange, head_that_ends_early_is_no_response) {
  const std::string Whole = signedResponse(Id, "x");
  const std::string Unframed =
      "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(Id) +
      "\r\nResponse-Signature: s\r\n\r\n";
  for (const std::string &Text : {Whole, Unframed}) {
    const std::size_t HeadSize = Text.find("\r\n\r\n") + 4;
    for (const bool Reset : {false, true})
      for (std::size_t Cut = 1; Cut < HeadSize;
           Cut += Cut + 6 < HeadSize ? 9 : 1) {
        Fixture Setup(respondWith(Text.substr(0, Cut), Reset));
        cr_assert_eq(Setup.run(), "failed", "%zu bytes", Cut);
        cr_assert(Setup.Report.Outcome == core::CallOutcome::Broken);
      }
  }
}

namespace {

/// @brief Script that reads a request and then sends bytes without end, until
/// the other side closes the connection.
/// @param Repeated Sent again and again after the start.
ScriptedBackend::Script
respondWithoutEnd(const std::string &Start, std::atomic<std::size_t> &Sent,
                  const std::string &Repeated = std::string(4096, 'x')) {
  return [Start, Repeated, &Sent](tcp::socket &Socket, int) {
    readMethod(Socket);
    send(Socket, Start);
    const std::string &Bytes = Repeated;
    boost::system::error_code Code;
    while (!Code)
      Sent += asio::write(Socket, asio::buffer(Bytes), Code);
  };
}

} // namespace

// Guards against reading a response head without end into memory.
Test(PlatformExchange, head_without_end_is_rejected_at_the_limit) {
  std::atomic<std::size_t> Sent{0};
  Fixture Setup(respondWithoutEnd("HTTP/1.1 200 OK\r\nX: ", Sent));
  cr_assert_eq(Setup.run(), "failed");
  cr_assert(Setup.Report.Outcome == core::CallOutcome::Broken);
  cr_assert_leq(Sent, 8U << 20);
}

// Guards against an exchange that skips a response to another request for as
// long as it lasts.
Test(PlatformExchange, skipped_response_without_end_ends_the_exchange) {
  std::atomic<std::size_t> Sent{0};
  Fixture Setup(
      respondWithoutEnd("HTTP/1.1 200 OK\r\nRequest-Id: ffffffffffffffff\r\n"
                        "Content-Length: 1000000000000\r\n\r\n",
                        Sent));
  cr_assert_eq(Setup.run(), "failed");
  cr_assert(Setup.Report.Outcome == core::CallOutcome::Broken);
}

// Guards against bytes without end where the end of a response is due: they
// would be read until the deadline, at the cost of all other calls, or held in
// memory.
Test(PlatformExchange, bytes_without_end_that_are_no_response_are_rejected) {
  struct Case {
    const char *Name;
    std::string Start;
    std::string Repeated;
  };
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
  const std::vector<Case> Cases{
      {"no status line", "", std::string(4096, 'x')},
      {"empty lines", "", "\r\n\r\n\r\n\r\n"},
      {"header fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"chunk extension", Chunked + "\r\n5;a=", std::string(4096, 'x')},
      {"trailer field", Chunked + "\r\n0\r\nA: ", std::string(4096, 'x')},
      {"trailer fields", Chunked + "\r\n0\r\n", "A: b\r\n"},
  };
  for (const Case &Each : Cases) {
    std::atomic<std::size_t> Sent{0};
    Fixture Setup(respondWithoutEnd(Each.Start, Sent, Each.Repeated));
    cr_assert_eq(Setup.run(), "failed", "%s", Each.Name);
    cr_assert(Setup.Report.Outcome == core::CallOutcome::Broken, "%s: %d",
              Each.Name, int(Setup.Report.Outcome));
    cr_assert_leq(Sent, 8U << 20, "%s", Each.Name);
  }
}
