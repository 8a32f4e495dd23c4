#include "harness.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::test;

namespace {

constexpr const char *Get = "GET /tags/1 HTTP/1.1\r\nHost: a\r\n\r\n";

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

// Guards against responses that are lost or altered when a caller reuses its
// connection and the pool reuses the connection to the backend server.
Test(Forward, two_requests_on_one_connection_are_answered) {
  ScriptedBackend Backend(answerWith("hello"));
  Harness Fixture({Backend.address()});
  auto Socket = Fixture.connect();
  for (int Count = 0; Count < 2; ++Count) {
    send(Socket, Get);
    const std::string Answer = Harness::readResponse(Socket);
    cr_assert_eq(statusOf(Answer), 200, "%s", Answer.c_str());
    cr_assert(contains(Answer, "X-Request-Id: "));
    cr_assert(contains(Answer, "\r\n\r\nhello"));
  }
  cr_assert_eq(Backend.connections(), 1);
  cr_assert(
      eventually([&] { return Fixture.Server->counters().Completed == 2; }));
}

// Guards against forwarding a request that matches no rule, or that arrives
// before a configuration is loaded. Both must be reported as not run.
Test(Forward, no_rule_and_no_configuration_are_not_run) {
  ScriptedBackend Backend(answerWith("hello"));
  Harness Fixture({Backend.address()});
  const std::string NoRule =
      Fixture.call("GET /other HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert_eq(statusOf(NoRule), 404);
  cr_assert(contains(NoRule, "X-Outcome: not-run"));
  Harness Unconfigured({}, {.Configured = false});
  const std::string NotReady = Unconfigured.call(Get);
  cr_assert_eq(statusOf(NotReady), 503);
  cr_assert(contains(NotReady, "X-Outcome: not-run"));
  cr_assert(contains(NotReady, "Retry-After: "));
  cr_assert_eq(Backend.connections(), 0);
}

// Guards against stating a length that the backend server did not state: a
// cache would take it for that of the resource.
Test(Forward, response_that_cannot_have_a_body_gets_no_invented_length) {
  for (const auto &[Method, Status] :
       {std::pair("HEAD", "200 OK"), std::pair("GET", "304 Not Modified")}) {
    ScriptedBackend *Self = nullptr;
    ScriptedBackend Backend([&, Line = Status](tcp::socket &Socket, int) {
      Self->readRequest(Socket);
      send(Socket, "HTTP/1.1 " + std::string(Line) + "\r\n\r\n");
    });
    Self = &Backend;
    Harness Fixture({Backend.address()});
    const std::string Answer =
        Fixture.call(std::string(Method) + " /tags/1 HTTP/1.1\r\nHost: a\r\n"
                                           "Connection: close\r\n\r\n");
    cr_expect_eq(statusOf(Answer), std::stoi(Status), "%s", Answer.c_str());
    cr_expect_not(contains(Answer, "Content-Length"), "%s", Answer.c_str());
  }
}

// Guards against bodies that are truncated, repeated or buffered without limit.
// Bodies larger than the buffers are streamed in pieces, with a Content-Length
// or chunked.
Test(Forward, large_bodies_pass_unchanged_in_both_directions) {
  const std::string LargeBody(300000, 'x');
  ScriptedBackend *Self = nullptr;
  ScriptedBackend Backend([&](tcp::socket &Socket, int) {
    while (!Self->readRequest(Socket).empty())
      send(Socket, response("200 OK", LargeBody + "end"));
  });
  Self = &Backend;
  Harness Fixture({Backend.address()});
  const std::string Plain =
      Fixture.call("POST /tags HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k1\r\n"
                   "Content-Length: 300003\r\n\r\n" +
                   LargeBody + "abc");
  cr_assert(contains(Plain, LargeBody + "end"));
  const std::string Chunked =
      Fixture.call("POST /tags HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k2\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n493e0\r\n" +
                   LargeBody + "\r\n3\r\nabc\r\n0\r\n\r\n");
  cr_assert(contains(Chunked, LargeBody + "end"));
  const auto Received = Backend.requests();
  cr_assert_eq(Received.size(), 2);
  cr_assert(contains(Received[0], LargeBody + "abc"));
  cr_assert(contains(Received[0], "X-Call-Depth: 1\r\n"));
  cr_assert(contains(Received[0], "X-Deadline: "));
  // "x" also occurs in the heads, equally often in both.
  cr_assert_eq(std::count(Received[1].begin(), Received[1].end(), 'x'),
               std::count(Received[0].begin(), Received[0].end(), 'x'));
  cr_assert(contains(Received[1], "\r\n3\r\nabc") ||
            contains(Received[1], "xabc"));
}

// Guards against a chunked response whose last chunk or framing is lost when
// its chunks arrive with a pause and a trailer follows. The trailer is not
// relayed.
Test(Forward, chunked_response_stays_complete) {
  ScriptedBackend *Self = nullptr;
  ScriptedBackend Backend([&](tcp::socket &Socket, int) {
    Self->readRequest(Socket);
    send(Socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "5\r\nfirst\r\n");
    std::this_thread::sleep_for(20ms);
    send(Socket, "6\r\nsecond\r\n0\r\nX-Trailer: 1\r\n\r\n");
    Self->readRequest(Socket);
  });
  Self = &Backend;
  Harness Fixture({Backend.address()});
  const std::string Answer = Fixture.call(Get);
  cr_assert(contains(Answer, "5\r\nfirst\r\n6\r\nsecond\r\n0\r\n\r\n"), "%s",
            Answer.c_str());
}

// Guards against a faulty backend server that sends a body without end: as long
// as the caller reads, it would occupy a slot and the VM past the deadline.
Test(Forward, response_without_end_ends_soon_after_the_deadline) {
  constexpr std::size_t MaxSentBytes = std::size_t{4} << 30;
  ScriptedBackend *Self = nullptr;
  ScriptedBackend Backend([&](tcp::socket &Socket, int) {
    Self->readRequest(Socket);
    send(Socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string Chunk = "4000\r\n" + std::string(16384, 'x') + "\r\n";
    boost::system::error_code Code;
    for (std::size_t Sent = 0; !Code && Sent < MaxSentBytes;)
      Sent += asio::write(Socket, asio::buffer(Chunk), Code);
  });
  // NOLINTNEXTLINE(clang-analyzer-deadcode.DeadStores): read by reference
  Self = &Backend;
  Harness Fixture({Backend.address()}, {.DeadlineMs = 300});
  tcp::socket Caller = Fixture.connect();
  const auto Start = std::chrono::steady_clock::now();
  send(Caller, "GET /tags/1 HTTP/1.1\r\nHost: a\r\n\r\n");
  std::vector<char> Discarded(65536);
  boost::system::error_code Code;
  while (!Code)
    Caller.read_some(asio::buffer(Discarded), Code);
  cr_assert_lt(std::chrono::steady_clock::now() - Start, 1s);
  cr_assert_eq(Fixture.Server->counters().TruncatedResponses, 1);
  cr_assert(eventually([&] { return !Fixture.Broker.outcomes().empty(); }));
  cr_assert(Fixture.Broker.outcomes().front() == core::CallOutcome::TimedOut);
}
