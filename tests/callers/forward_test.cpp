#include "harness.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::test;

namespace {

constexpr const char *Get = "GET /tags/1 HTTP/1.1\r\nHost: a\r\n\r\n";

bool has(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

// Guards against lost or altered responses on a kept-alive connection.
Test(Forward, two_requests_on_one_connection_are_answered) {
  ScriptedBackend Backend(answering("hello"));
  Harness Fleet({Backend.address()});
  auto Socket = Fleet.connect();
  for (int Count = 0; Count < 2; ++Count) {
    send(Socket, Get);
    const std::string Answer = Harness::readResponse(Socket);
    cr_assert_eq(statusOf(Answer), 200, "%s", Answer.c_str());
    cr_assert(has(Answer, "X-Request-Id: "));
    cr_assert(has(Answer, "\r\n\r\nhello"));
  }
  cr_assert_eq(Backend.connections(), 1);
  cr_assert(
      eventually([&] { return Fleet.Server->counters().Completed == 2; }));
}

// Guards against a forward without a rule or without a configuration.
Test(Forward, no_rule_and_no_configuration_are_not_run) {
  ScriptedBackend Backend(answering("hello"));
  Harness Fleet({Backend.address()});
  const std::string NoRule =
      Fleet.call("GET /other HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert_eq(statusOf(NoRule), 404);
  cr_assert(has(NoRule, "X-Outcome: not-run"));
  Harness Empty({}, {.Configured = false});
  const std::string NotReady = Empty.call(Get);
  cr_assert_eq(statusOf(NotReady), 503);
  cr_assert(has(NotReady, "X-Outcome: not-run"));
  cr_assert(has(NotReady, "Retry-After: "));
  cr_assert_eq(Backend.connections(), 0);
}

// Guards against bodies that are cut, repeated or buffered without bound.
Test(Forward, large_bodies_pass_unchanged_in_both_directions) {
  const std::string Big(300000, 'x');
  ScriptedBackend *Self = nullptr;
  ScriptedBackend Backend([&](tcp::socket &Socket, int) {
    while (!Self->readRequest(Socket).empty())
      send(Socket, response("200 OK", Big + "end"));
  });
  Self = &Backend;
  Harness Fleet({Backend.address()});
  const std::string Plain =
      Fleet.call("POST /tags HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k1\r\n"
                 "Content-Length: 300003\r\n\r\n" +
                 Big + "abc");
  cr_assert(has(Plain, Big + "end"));
  const std::string Chunked =
      Fleet.call("POST /tags HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k2\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n493e0\r\n" +
                 Big + "\r\n3\r\nabc\r\n0\r\n\r\n");
  cr_assert(has(Chunked, Big + "end"));
  const auto Seen = Backend.requests();
  cr_assert_eq(Seen.size(), 2);
  cr_assert(has(Seen[0], Big + "abc"));
  cr_assert(has(Seen[0], "X-Call-Depth: 1\r\n"));
  cr_assert(has(Seen[0], "X-Deadline: "));
  // "x" also occurs in the head, equally often in both requests.
  cr_assert_eq(std::count(Seen[1].begin(), Seen[1].end(), 'x'),
               std::count(Seen[0].begin(), Seen[0].end(), 'x'));
  cr_assert(has(Seen[1], "\r\n3\r\nabc") || has(Seen[1], "xabc"));
}

// Guards against chunked responses that lose their end or their framing.
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
  Harness Fleet({Backend.address()});
  const std::string Answer = Fleet.call(Get);
  cr_assert(has(Answer, "5\r\nfirst\r\n6\r\nsecond\r\n0\r\n\r\n"), "%s",
            Answer.c_str());
}
