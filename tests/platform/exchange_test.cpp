#include "../../apps/jujubecartd/load_prober.hpp"
#include "../common/odd_responses.hpp"
#include "exchange_fixture.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::test;

// Guards against passing a response to the wrong caller: a late, duplicate
// response to an earlier request arrives before the expected one.
Test(PlatformExchange, response_to_another_request_is_skipped) {
  OneExchange Setup(respondWith(signedResponse("ffffffffffffffff", "wrong") +
                                signedResponse(Id, "right")));
  cr_assert_eq(Setup.run(), "right");
}

// Guards against a health check that takes the state and the load of a server
// from a late response to another request on the connection.
Test(PlatformExchange, health_check_skips_the_response_to_another_request) {
  const std::string Late = response("503 Service Unavailable", "",
                                    "Request-Id: " + std::string(Id) +
                                        "\r\nUpstream-Load: 9, 9, 9\r\n");
  OneExchange Setup(
      respondWith(Late + response("200 OK", "", "Upstream-Load: 1, 0, 9\r\n")));
  daemon::LoadProber Prober(Setup.Transport);
  auto Result = asio::co_spawn(
      Setup.Io,
      Prober.probe({.Id = "i-1", .Address = Setup.Backend.address()},
                   std::chrono::steady_clock::now() + 2s),
      asio::use_future);
  Setup.Io.run();
  const decision::ProbeResult Probed = Result.get();
  cr_assert(Probed.State == decision::ProbeState::Ok);
  cr_assert_eq(Probed.Load->InFlight, 1);
}

// Guards against rejecting a response that has neither Content-Length nor
// chunks and so ends with its connection.
Test(PlatformExchange, response_ended_by_connection_close_is_complete) {
  OneExchange Setup(
      respondWith("HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(Id) +
                  "\r\nResponse-Signature: s\r\n\r\nuntil the end"));
  cr_assert_eq(Setup.run(), "until the end");
}

// Guards against taking a connection reset for the end of a response without
// length, which would pass a truncated body as complete.
Test(PlatformExchange, response_ended_by_connection_reset_is_incomplete) {
  OneExchange Setup(
      respondWith("HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(Id) +
                      "\r\nResponse-Signature: s\r\n\r\nuntil the end",
                  true));
  cr_assert_eq(Setup.run(), "failed");
  cr_assert(Setup.Report.Outcome == core::CallOutcome::Broken);
}

// Guards against bytes that are no HTTP response and reach the caller as one.
Test(PlatformExchange, odd_response_is_rejected) {
  const std::string Fields =
      "Request-Id: " + std::string(Id) + "\r\nResponse-Signature: s\r\n";
  for (const tests::OddResponse &Each : tests::oddResponses("x", Fields)) {
    OneExchange Setup(respondWith(Each.Bytes));
    cr_expect_eq(Setup.run(), "failed", "%s", Each.Name);
    cr_expect(Setup.Report.Outcome == core::CallOutcome::Broken, "%s",
              Each.Name);
  }
}

// Guards against accepting a success response that no backend server signed.
Test(PlatformExchange, success_without_signature_is_rejected) {
  OneExchange Setup(respondWith(
      response("200 OK", "x", "Request-Id: " + std::string(Id) + "\r\n")));
  cr_assert_eq(Setup.run(), "failed");
}

// Guards against relaying a success whose signature or id would be removed as
// hop-by-hop on the way to the caller.
Test(PlatformExchange, success_with_signature_named_hop_by_hop_is_rejected) {
  for (const char *Name : {"Response-Signature", "Request-Id"}) {
    OneExchange Setup(respondWith(response(
        "200 OK", "x",
        "Request-Id: " + std::string(Id) +
            "\r\nResponse-Signature: s\r\nConnection: " + Name + "\r\n")));
    cr_assert_eq(Setup.run(), "failed", "%s", Name);
  }
}

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

/// @brief Script that responds to each order, and sends an interim response
/// before the one to each health request.
ScriptedBackend::Script interimBeforeHealth(const std::string &Interim) {
  return [Interim](tcp::socket &Socket, int) {
    for (std::string Method; !(Method = readMethod(Socket)).empty();) {
      if (Method == "GET") {
        send(Socket, Interim);
        // Arrives after the health check could have ended with the first.
        std::this_thread::sleep_for(20ms);
        send(Socket, response("200 OK", "health"));
      } else {
        send(Socket, orderResponse());
      }
    }
  };
}

} // namespace

// Guards against taking an interim response for the one to the health request:
// the real one would then be taken for the response to the order.
Test(PlatformExchange, interim_response_does_not_verify_a_connection) {
  TwoOrders With(interimBeforeHealth("HTTP/1.1 103 Early Hints\r\n\r\n"), 1ms,
                 2s);
  With.run();
  cr_assert(With.Second == core::CallOutcome::Completed);
  cr_assert_eq(With.Pool.counters().Connects, 1);
}

// Guards against an order on a connection that no longer carries HTTP.
Test(PlatformExchange, switched_protocol_does_not_verify_a_connection) {
  TwoOrders With(
      interimBeforeHealth("HTTP/1.1 101 Switching Protocols\r\n\r\n"), 1ms, 2s);
  With.run();
  cr_assert(With.Second == core::CallOutcome::Completed);
  cr_assert_eq(With.Pool.counters().Connects, 2);
}

namespace {

/// @brief Body of four parts, each after a time in which the server can respond
/// to the one before.
class PausingSource final : public core::ByteSource {
public:
  core::Awaitable<core::Result<std::size_t>>
  read(std::span<char> Buffer) override {
    if (Reads == Parts.size())
      co_return std::size_t{0};
    if (Reads > 0)
      std::this_thread::sleep_for(20ms);
    const std::string_view Part = Parts[Reads++];
    co_return Part.copy(Buffer.data(), Buffer.size());
  }

private:
  static constexpr std::array<std::string_view, 4> Parts{"first", "second",
                                                         "third", "fourth"};
  std::size_t Reads = 0;
};

/// @brief Uploads to a server that sends bytes after it received the first part
/// of the body, and responds with the whole body after it received that.
/// @return Body of the response, or `failed`.
std::string uploadAround(const std::string &Early,
                         core::BackendRequest::Framing Framing) {
  const bool Chunked = Framing == core::BackendRequest::Framing::Chunked;
  OneExchange Setup([Early, Chunked](tcp::socket &Socket, int) {
    std::string Received;
    boost::system::error_code Code;
    asio::read_until(Socket, asio::dynamic_buffer(Received), "first", Code);
    send(Socket, Early);
    const std::string End = Chunked ? "0\r\n\r\n" : "fourth";
    asio::read_until(Socket, asio::dynamic_buffer(Received), End, Code);
    if (!Code)
      send(Socket,
           signedResponse(Id, Received.substr(Received.find("\r\n\r\n") + 4)));
  });
  PausingSource Source;
  Setup.Body = &Source;
  Setup.Framing = Framing;
  return Setup.run();
}

const std::array<std::string, 3> EarlyResponses{
    "HTTP/1.1 103 Early Hints\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n",
    signedResponse("ffffffffffffffff", "late")};

} // namespace

// Guards against an upload that stops for good at an interim response or at a
// late response to an earlier request, so that the server waits for the rest.
Test(PlatformExchange, upload_continues_after_a_skipped_response) {
  for (const std::string &Early : EarlyResponses)
    cr_expect_eq(uploadAround(Early, core::BackendRequest::Framing::Length),
                 "firstsecondthirdfourth", "%s", Early.c_str());
}

// The same for a chunked upload, whose last chunk must follow too.
Test(PlatformExchange, chunked_upload_continues_after_a_skipped_response) {
  for (const std::string &Early : EarlyResponses)
    cr_expect_eq(uploadAround(Early, core::BackendRequest::Framing::Chunked),
                 "5\r\nfirst\r\n6\r\nsecond\r\n5\r\nthird\r\n"
                 "6\r\nfourth\r\n0\r\n\r\n",
                 "%s", Early.c_str());
}

// Guards against an upload that goes on although the server has responded to
// it behind a skipped response.
Test(PlatformExchange, upload_ends_at_a_response_behind_a_skipped_one) {
  for (const std::string &Early : EarlyResponses)
    cr_expect_eq(uploadAround(Early + signedResponse(Id, "enough"),
                              core::BackendRequest::Framing::Chunked),
                 "enough", "%s", Early.c_str());
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
        OneExchange Setup(respondWith(Text.substr(0, Cut), Reset));
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
  OneExchange Setup(respondWithoutEnd("HTTP/1.1 200 OK\r\nX: ", Sent));
  cr_assert_eq(Setup.run(), "failed");
  cr_assert(Setup.Report.Outcome == core::CallOutcome::Broken);
  cr_assert_leq(Sent, 8U << 20);
}

// Guards against an exchange that skips a response to another request for as
// long as it lasts.
Test(PlatformExchange, skipped_response_without_end_ends_the_exchange) {
  std::atomic<std::size_t> Sent{0};
  OneExchange Setup(
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
    OneExchange Setup(respondWithoutEnd(Each.Start, Sent, Each.Repeated));
    cr_assert_eq(Setup.run(), "failed", "%s", Each.Name);
    cr_assert(Setup.Report.Outcome == core::CallOutcome::Broken, "%s: %d",
              Each.Name, int(Setup.Report.Outcome));
    cr_assert_leq(Sent, 8U << 20, "%s", Each.Name);
  }
}
