#include "harness.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::test;

namespace {

std::string order(const std::string &Key) {
  return "POST /tags HTTP/1.1\r\nHost: a\r\nIdempotency-Key: " + Key +
         "\r\nContent-Length: 3\r\n\r\nabc";
}

bool has(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

int postsSeen(ScriptedBackend &Backend) {
  int Count = 0;
  for (const std::string &Each : Backend.requests())
    Count += Each.rfind("POST ", 0) == 0 ? 1 : 0;
  return Count;
}

// Answers the first request of each connection, reads the next one and closes.
ScriptedBackend::Script closesAfterSecond(ScriptedBackend *&Self) {
  return [&Self](tcp::socket &Socket, int) {
    const std::string First = Self->readRequest(Socket);
    if (First.rfind("POST ", 0) == 0)
      return;
    send(Socket, response("200 OK", "ok"));
    Self->readRequest(Socket);
  };
}

} // namespace

// Guards against an order that runs twice because a kept-alive connection was
// closed after the server had read the order.
Test(Orders, server_that_reads_an_order_and_closes_sees_it_once) {
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
          ScriptedBackend Backend(closesAfterSecond(Self));
          Self = &Backend;
          ScriptedBackend *OtherSelf = nullptr;
          ScriptedBackend Other(closesAfterSecond(OtherSelf));
          OtherSelf = &Other;
          Harness::Settings With{.Kind = Kind, .RetryTokens = 5};
          With.Options.HedgeDelay = Hedge;
          With.Options.MaxAttempts = 3;
          With.Pool.OrderLiveWindow = Window;
          Harness Fleet({Backend.address(), Other.address()}, With);
          cr_assert_eq(statusOf(Fleet.call("GET /tags HTTP/1.1\r\nHost: a\r\n"
                                           "Idempotency-Key: g\r\n\r\n")),
                       200);
          const std::string Answer =
              Fleet.call("POST /tags HTTP/1.1\r\nHost: a\r\n"
                         "Idempotency-Key: p\r\n" +
                         Body);
          cr_assert_eq(postsSeen(Backend), 1);
          cr_assert_eq(postsSeen(Other), 0);
          cr_assert_eq(statusOf(Answer), 502, "%s", Answer.c_str());
          cr_assert(has(Answer, "X-Outcome: unknown"));
          cr_assert_eq(Fleet.Broker.ClaimsReleased, 0);
        }
}

// Guards against a repeated key that runs again.
Test(Orders, repeated_key_is_rejected_with_unknown_outcome) {
  ScriptedBackend *Self = nullptr;
  ScriptedBackend Backend([&](tcp::socket &Socket, int) {
    while (!Self->readRequest(Socket).empty())
      send(Socket, response("201 Created", "made"));
  });
  Self = &Backend;
  Harness Fleet({Backend.address()}, {.Kind = core::ServiceKind::Order});
  cr_assert_eq(statusOf(Fleet.call(order("k"))), 201);
  const std::string Second = Fleet.call(order("k"));
  cr_assert_eq(statusOf(Second), 409);
  cr_assert(has(Second, "X-Outcome: unknown"));
  cr_assert_eq(postsSeen(Backend), 1);
}

// Guards against orders that no claim protects.
Test(Orders, missing_key_is_not_run) {
  ScriptedBackend Backend(answering("x"));
  Harness Fleet({Backend.address()}, {.Kind = core::ServiceKind::Order});
  for (const char *Head : {"GET /tags HTTP/1.1\r\nHost: a\r\n\r\n",
                           "DELETE /tags HTTP/1.1\r\nHost: a\r\n\r\n"}) {
    const std::string Answer = Fleet.call(Head);
    cr_assert_eq(statusOf(Answer), 400);
    cr_assert(has(Answer, "X-Outcome: not-run"));
  }
  cr_assert_eq(Fleet.Broker.Granted, 0);
}

// Guards against orders that are lost although they certainly did not run:
// no connection, or an explicit rejection, allows another server.
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
    Harness Fleet({Address, Second.address()},
                  {.Kind = core::ServiceKind::Order});
    cr_assert_eq(statusOf(Fleet.call(order("k"))), 201);
    cr_assert_eq(Fleet.Server->counters().Retries, 1);
  }
  cr_assert_eq(postsSeen(First), 1);
  cr_assert_eq(postsSeen(Second), 2);
  cr_assert(has(Second.requests()[0], "Idempotency-Key: k"));
}

// Guards against a claim that blocks the caller's repetition of an order that
// was reported as not run.
Test(Orders, order_reported_as_not_run_can_be_repeated_by_the_caller) {
  Harness Fleet({"127.0.0.1:1"}, {.Kind = core::ServiceKind::Order});
  for (int Count = 0; Count < 2; ++Count) {
    const std::string Answer = Fleet.call(order("k"));
    cr_assert_eq(statusOf(Answer), 503, "%s", Answer.c_str());
    cr_assert(has(Answer, "X-Outcome: not-run"));
    cr_assert(has(Answer, "Retry-After: "));
  }
  cr_assert_eq(Fleet.Broker.ClaimsReleased, 2);
}

// Guards against retries of nested calls, which multiply along a call chain.
Test(Orders, nested_call_is_not_retried) {
  ScriptedBackend Second(answering("x"));
  Harness Fleet({"127.0.0.1:1", Second.address()});
  const std::string Answer =
      Fleet.call("GET /tags HTTP/1.1\r\nHost: a\r\nX-Call-Depth: 1\r\n\r\n");
  cr_assert_eq(statusOf(Answer), 503);
  cr_assert_eq(Second.connections(), 0);
}
