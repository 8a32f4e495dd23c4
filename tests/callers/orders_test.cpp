#include "harness.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::test;

namespace {

std::string orderRequest(const std::string &Key) {
  return "POST /tags HTTP/1.1\r\nHost: a\r\nIdempotency-Key: " + Key +
         "\r\nContent-Length: 3\r\n\r\nabc";
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

int countPosts(ScriptedBackend &Backend) {
  int Count = 0;
  for (const std::string &Each : Backend.requests())
    Count += Each.rfind("POST ", 0) == 0 ? 1 : 0;
  return Count;
}

// Answers the first request of each connection, reads the second one and
// closes. If the first request is a POST, closes without answering it.
ScriptedBackend::Script closeAfterSecondRequest(ScriptedBackend **Self) {
  return [Self](tcp::socket &Socket, int) {
    const std::string First = (*Self)->readRequest(Socket);
    if (First.rfind("POST ", 0) == 0)
      return;
    send(Socket, response("200 OK", "ok"));
    (*Self)->readRequest(Socket);
  };
}

} // namespace

// Guards against an order that runs twice: the backend server reads the order
// on a kept-alive or new connection and closes it without a response, and the
// order is sent again.
Test(Orders, order_read_before_the_server_closes_is_not_sent_again) {
  const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n"
                              "3\r\nabc\r\n0\r\n\r\n";
  const std::string Plain = "Content-Length: 3\r\n\r\nabc";
  const std::string Long =
      "Content-Length: 40000\r\n\r\n" + std::string(40000, 'x');
  for (const core::ServiceKind Kind :
       {core::ServiceKind::Lookup, core::ServiceKind::Order})
    for (const auto Window : {0ms, 10000ms})
      for (const auto Hedge : {0ms, 1ms})
        for (const std::string &Body : {Plain, Chunked, Long}) {
          ScriptedBackend *Self = nullptr;
          ScriptedBackend Backend(closeAfterSecondRequest(&Self));
          Self = &Backend;
          ScriptedBackend *OtherSelf = nullptr;
          ScriptedBackend Other(closeAfterSecondRequest(&OtherSelf));
          OtherSelf = &Other;
          Harness::Settings TestSettings{.Kind = Kind, .RetryTokens = 5};
          TestSettings.Options.HedgeDelay = Hedge;
          TestSettings.Options.MaxAttempts = 3;
          TestSettings.Pool.OrderReuseWindow = Window;
          Harness Fixture({Backend.address(), Other.address()}, TestSettings);
          cr_assert_eq(statusOf(Fixture.call("GET /tags HTTP/1.1\r\nHost: a\r\n"
                                             "Idempotency-Key: g\r\n\r\n")),
                       200);
          const std::string Answer =
              Fixture.call("POST /tags HTTP/1.1\r\nHost: a\r\n"
                           "Idempotency-Key: p\r\n" +
                           Body);
          cr_assert_eq(countPosts(Backend), 1);
          cr_assert_eq(countPosts(Other), 0);
          cr_assert_eq(statusOf(Answer), 502, "%s", Answer.c_str());
          cr_assert(contains(Answer, "X-Outcome: unknown"));
          cr_assert_eq(Fixture.Broker.ClaimsReleased, 0);
        }
}

// Guards against an order that runs again when a caller repeats the idempotency
// key of an order that was answered.
Test(Orders, repeated_key_is_rejected_with_unknown_outcome) {
  ScriptedBackend *Self = nullptr;
  ScriptedBackend Backend([&](tcp::socket &Socket, int) {
    while (!Self->readRequest(Socket).empty())
      send(Socket, response("201 Created", "made"));
  });
  Self = &Backend;
  Harness Fixture({Backend.address()}, {.Kind = core::ServiceKind::Order});
  cr_assert_eq(statusOf(Fixture.call(orderRequest("k"))), 201);
  const std::string Second = Fixture.call(orderRequest("k"));
  cr_assert_eq(statusOf(Second), 409);
  cr_assert(contains(Second, "X-Outcome: unknown"));
  cr_assert_eq(countPosts(Backend), 1);
}

// Guards against orders without an idempotency key, for which no claim can
// prevent a second run.
Test(Orders, missing_key_is_not_run) {
  ScriptedBackend Backend(answerWith("x"));
  Harness Fixture({Backend.address()}, {.Kind = core::ServiceKind::Order});
  for (const char *Head : {"GET /tags HTTP/1.1\r\nHost: a\r\n\r\n",
                           "DELETE /tags HTTP/1.1\r\nHost: a\r\n\r\n"}) {
    const std::string Answer = Fixture.call(Head);
    cr_assert_eq(statusOf(Answer), 400);
    cr_assert(contains(Answer, "X-Outcome: not-run"));
  }
  cr_assert_eq(Fixture.Broker.Granted, 0);
}

// Guards against orders that fail although they certainly did not run. After a
// refused connection or an explicit rejection, another server may get the
// order.
Test(Orders, order_that_certainly_did_not_run_goes_to_another_server) {
  ScriptedBackend *Rejecting = nullptr;
  ScriptedBackend First([&](tcp::socket &Socket, int) {
    Rejecting->readRequest(Socket);
    send(Socket,
         response("503 Service Unavailable", "busy", "X-Outcome: not-run\r\n"));
  });
  Rejecting = &First;
  ScriptedBackend *Self = nullptr;
  ScriptedBackend Second([&](tcp::socket &Socket, int) {
    while (!Self->readRequest(Socket).empty())
      send(Socket, response("201 Created", "made"));
  });
  Self = &Second;
  // Port 1 of the loopback refuses connections.
  for (const std::string &Address :
       {First.address(), std::string("127.0.0.1:1")}) {
    Harness Fixture({Address, Second.address()},
                    {.Kind = core::ServiceKind::Order});
    cr_assert_eq(statusOf(Fixture.call(orderRequest("k"))), 201);
    cr_assert_eq(Fixture.Server->counters().Retries, 1);
  }
  cr_assert_eq(countPosts(First), 1);
  cr_assert_eq(countPosts(Second), 2);
  cr_assert(contains(Second.requests()[0], "Idempotency-Key: k"));
}

// Guards against a claim that is kept after an order was reported as not run,
// so that the caller could not send the order again with the same key.
Test(Orders, order_reported_as_not_run_can_be_sent_again_by_the_caller) {
  Harness Fixture({"127.0.0.1:1"}, {.Kind = core::ServiceKind::Order});
  for (int Count = 0; Count < 2; ++Count) {
    const std::string Answer = Fixture.call(orderRequest("k"));
    cr_assert_eq(statusOf(Answer), 503, "%s", Answer.c_str());
    cr_assert(contains(Answer, "X-Outcome: not-run"));
    cr_assert(contains(Answer, "Retry-After: "));
  }
  cr_assert_eq(Fixture.Broker.ClaimsReleased, 2);
}

// Guards against retry amplification: if each level of a call chain retried,
// the attempts would multiply. Only calls of depth 0 are retried.
Test(Orders, nested_call_is_not_retried) {
  ScriptedBackend Second(answerWith("x"));
  Harness Fixture({"127.0.0.1:1", Second.address()});
  const std::string Answer =
      Fixture.call("GET /tags HTTP/1.1\r\nHost: a\r\nX-Call-Depth: 1\r\n\r\n");
  cr_assert_eq(statusOf(Answer), 503);
  cr_assert_eq(Second.connections(), 0);
}

// Guards against an outcome that the system does not know: `not-run` for an
// order that a backend server has run, or one that a server states beside
// something else than a refusal.
Test(Orders, outcome_not_run_is_stated_only_for_a_refusal) {
  struct Row {
    std::string Bytes;
    int Status;
    /// Empty if the response states no outcome.
    std::string Outcome;
  };
  const std::string Statement = "X-Outcome: not-run\r\n";
  const std::string Failure = response("503 Unavailable", "broken");
  const std::vector<Row> Rows{
      {response("503 Unavailable", "", Statement), 503, "not-run"},
      {Failure, 503, ""},
      {response("429 Too Many", "", Statement), 429, ""},
      {response("500 Internal", "", Statement), 500, ""},
      {response("200 OK", "done", Statement), 200, ""},
      {"HTTP/1.1 103 Early Hints\r\n" + Statement + "\r\n" + Failure, 503, ""},
      {"HTTP/1.1 503 Unavailable\r\nContent-Length: 9\r\n\r\nx", 502,
       "unknown"},
      {"", 502, "unknown"},
  };
  for (const Row &Each : Rows) {
    ScriptedBackend *Self = nullptr;
    ScriptedBackend Backend([&](tcp::socket &Socket, int) {
      Self->readRequest(Socket);
      send(Socket, Each.Bytes);
    });
    Self = &Backend;
    Harness Fixture({Backend.address()}, {.RetryTokens = 0});
    const std::string Answer = Fixture.call(orderRequest("k"));
    cr_expect_eq(statusOf(Answer), Each.Status, "%s: %s", Each.Bytes.c_str(),
                 Answer.c_str());
    cr_expect_eq(contains(Answer, "X-Outcome: not-run"),
                 Each.Outcome == "not-run", "%s", Each.Bytes.c_str());
    cr_expect_eq(contains(Answer, "X-Outcome: unknown"),
                 Each.Outcome == "unknown", "%s", Each.Bytes.c_str());
  }
}
