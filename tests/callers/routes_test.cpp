#include "harness.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::test;

namespace {

constexpr const char *Get = "GET /tags/1 HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr const char *Post =
    "POST /tags/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";

core::Route route(bool Idempotent) {
  return {.Name = "r",
          .Host = "a",
          .PathPrefix = "/tags/",
          .Idempotent = Idempotent,
          .MaxAttempts = 2,
          .TimeoutMs = 400,
          .ObjectiveMs = 200,
          .Services = {{.Service = "tags", .Weight = 1}}};
}

Harness::Settings settings(bool Idempotent) {
  Harness::Settings Out;
  Out.Routes = {route(Idempotent)};
  Out.Options.HoldResponses = true;
  return Out;
}

ScriptedBackend::Script replying(const std::string &Bytes) {
  return [Bytes](tcp::socket &Socket, int) {
    std::string Request;
    boost::system::error_code Code;
    asio::read_until(Socket, asio::dynamic_buffer(Request), "\r\n\r\n", Code);
    send(Socket, Bytes);
    std::this_thread::sleep_for(50ms);
  };
}

ScriptedBackend::Script silent() {
  return [](tcp::socket &Socket, int) {
    std::string Request;
    boost::system::error_code Code;
    asio::read(Socket, asio::dynamic_buffer(Request), Code);
  };
}

const std::string NotRun =
    response("503 Service Unavailable", "", "X-Outcome: not-run\r\n");

} // namespace

// Guards against order keys that a route does not ask for.
Test(Routes, unsafe_request_needs_no_idempotency_key) {
  ScriptedBackend Backend(answering("done"));
  Harness Fleet({Backend.address()}, settings(false));
  cr_assert_eq(statusOf(Fleet.call(Post)), 200);
}

Test(Routes, request_without_route_is_answered_404) {
  ScriptedBackend Backend(answering("done"));
  Harness Fleet({Backend.address()}, settings(true));
  cr_assert_eq(statusOf(Fleet.call("GET /other/ HTTP/1.1\r\nHost: a\r\n\r\n")),
               404);
  cr_assert_eq(statusOf(Fleet.call("GET /tags/ HTTP/1.1\r\nHost: b\r\n\r\n")),
               404);
}

// Guards against a failure of one server that reaches the caller although
// another one would answer.
Test(Routes, failure_of_a_server_is_retried_elsewhere) {
  ScriptedBackend Failing(replying(response("500 Internal", "broken")));
  ScriptedBackend Sound(answering("done"));
  Harness Fleet({Failing.address(), Sound.address()}, settings(true));
  cr_assert_eq(statusOf(Fleet.call(Get)), 200);
  cr_assert_eq(Failing.connections(), 1);
}

// Guards against a failure made up here in place of the server's own one.
Test(Routes, failure_is_passed_on_if_nothing_better_is_found) {
  ScriptedBackend Failing(replying(response("500 Internal", "broken")));
  Harness Fleet({Failing.address()}, settings(true));
  const std::string Answer = Fleet.call(Get);
  cr_assert_eq(statusOf(Answer), 500);
  cr_assert_neq(Answer.find("broken"), std::string::npos);
}

// Guards against an order that runs twice.
Test(Routes, unsafe_request_that_may_have_run_is_not_sent_again) {
  ScriptedBackend Broken(
      replying("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"));
  ScriptedBackend Second(answering("done"));
  Harness Fleet({Broken.address(), Second.address()}, settings(false));
  cr_assert_eq(statusOf(Fleet.call(Post)), 502);
  cr_assert_eq(Second.connections(), 0);
}

// Guards against an order that fails although it certainly was not run.
Test(Routes, unsafe_request_that_was_not_run_is_sent_elsewhere) {
  ScriptedBackend Full(replying(NotRun));
  ScriptedBackend Second(answering("done"));
  Harness Fleet({Full.address(), Second.address()}, settings(false));
  cr_assert_eq(statusOf(Fleet.call(Post)), 200);
}

// Guards against a second attempt without budget.
Test(Routes, retry_without_budget_is_not_made) {
  ScriptedBackend Full(replying(NotRun));
  ScriptedBackend Second(answering("done"));
  auto With = settings(true);
  With.RetryTokens = 0;
  Harness Fleet({Full.address(), Second.address()}, With);
  cr_assert_eq(statusOf(Fleet.call(Get)), 503);
  cr_assert_eq(Second.connections(), 0);
}

// Guards against budget spent on a server that refuses connections.
Test(Routes, refused_connection_is_retried_without_budget) {
  boost::asio::io_context Io;
  tcp::acceptor Closed(Io, {asio::ip::address_v4::loopback(), 0});
  const std::string Dead =
      "127.0.0.1:" + std::to_string(Closed.local_endpoint().port());
  Closed.close();
  ScriptedBackend Second(answering("done"));
  auto With = settings(false);
  With.RetryTokens = 0;
  Harness Fleet({Dead, Second.address()}, With);
  cr_assert_eq(statusOf(Fleet.call(Post)), 200);
}

// Guards against a caller that waits longer than the operators allow.
Test(Routes, timeout_of_the_route_ends_the_request) {
  ScriptedBackend Backend(silent());
  Harness Fleet({Backend.address()}, settings(true));
  const auto Begin = std::chrono::steady_clock::now();
  cr_assert_eq(statusOf(Fleet.call(Get)), 504);
  const auto Elapsed = std::chrono::steady_clock::now() - Begin;
  cr_assert(Elapsed >= 390ms && Elapsed < 900ms);
}

// Guards against a refusal that says "not run" of a request that may have run.
Test(Routes, rejection_after_an_attempt_that_may_have_run_promises_nothing) {
  ScriptedBackend Broken(
      replying("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"));
  ScriptedBackend Full(replying(NotRun));
  Harness Fleet({Broken.address(), Full.address()}, settings(true));
  cr_assert_eq(statusOf(Fleet.call(Get)), 502);
}

// Guards against callers that are cut off while the balancer still sends them.
Test(Routes, draining_server_still_accepts_and_asks_callers_to_close) {
  ScriptedBackend Backend(answering("done"));
  Harness Fleet({Backend.address()}, settings(true));
  Fleet.Server->drain();
  const std::string Answer = Fleet.call(Get);
  cr_assert_eq(statusOf(Answer), 200);
  cr_assert_neq(Answer.find("Connection: close"), std::string::npos);
}
