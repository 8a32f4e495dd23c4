#include "exchange_fixture.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::test;

// Guards against a rejection that counts as a run, so that the request is not
// sent to another server, and against losing the load that it states.
Test(PlatformExchange, rejection_by_the_server_is_reported_as_not_run) {
  OneExchange Setup(
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
  OneExchange Setup(respondWith(response("421 Misdirected Request", "")));
  Setup.run();
  cr_assert(Setup.Report.Outcome == core::CallOutcome::Rejected);
  cr_assert(Setup.Report.OtherInstance);
}

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
    OneExchange Setup(respondWith(
        response(Each.Status, "",
                 "Request-Id: " + std::string(Id) + "\r\n" + Each.Fields)));
    Setup.IsOrder = Each.IsOrder;
    Setup.run();
    cr_assert_eq(Setup.Report.ServerError, Each.ServerError, "%s %s %d",
                 Each.Status, Each.Fields, int(Each.IsOrder));
  }
}
