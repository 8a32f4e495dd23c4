#include "harness.hpp"

#include <algorithm>
#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::test;

namespace {

constexpr const char *Get = "GET /tags/1 HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr const char *Post =
    "POST /tags/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";

core::Route makeRoute(bool Idempotent) {
  return {.Name = "r",
          .Host = "a",
          .PathPrefix = "/tags/",
          .Idempotent = Idempotent,
          .MaxAttempts = 2,
          .TimeoutMs = 400,
          .ObjectiveMs = 200,
          .Services = {{.Service = "tags", .Weight = 1}}};
}

Harness::Settings makeSettings(bool Idempotent) {
  Harness::Settings Out;
  Out.Routes = {makeRoute(Idempotent)};
  Out.Options.BufferResponsesWithoutLength = true;
  return Out;
}

// Sends fixed bytes after one request and closes 50 ms later.
ScriptedBackend::Script replyWith(const std::string &Bytes) {
  return [Bytes](tcp::socket &Socket, int) {
    std::string Request;
    boost::system::error_code Code;
    asio::read_until(Socket, asio::dynamic_buffer(Request), "\r\n\r\n", Code);
    send(Socket, Bytes);
    std::this_thread::sleep_for(50ms);
  };
}

// Reads until the connection closes and sends nothing.
ScriptedBackend::Script neverAnswer() {
  return [](tcp::socket &Socket, int) {
    std::string Request;
    boost::system::error_code Code;
    asio::read(Socket, asio::dynamic_buffer(Request), Code);
  };
}

/// @brief The native profile, but 503 promises callers that their request has
/// not run.
class PromisingProfile final : public core::HttpProfile {
public:
  [[nodiscard]] std::optional<std::string_view>
  readRequest(const Fields &Head, const core::Clock &Time,
              core::RequestTraits &Out) const override {
    return Native.readRequest(Head, Time, Out);
  }
  [[nodiscard]] bool
  removesFromRequest(std::string_view Name,
                     bool HasWorkspaces) const noexcept override {
    return Native.removesFromRequest(Name, HasWorkspaces);
  }
  void writeRequest(std::string &Out, const core::OutgoingRequest &Request,
                    const core::Clock &Time) const override {
    Native.writeRequest(Out, Request, Time);
  }
  [[nodiscard]] core::ResponseTraits
  readResponse(const ResponseHead &Head, std::string_view Id) const override {
    return Native.readResponse(Head, Id);
  }
  [[nodiscard]] bool
  removesFromResponse(std::string_view Name) const noexcept override {
    return Native.removesFromResponse(Name);
  }
  void writeResponse(std::string &Out, core::RequestId Id) const override {
    Native.writeResponse(Out, Id);
  }
  void writeRefusal(std::string &Out,
                    const core::Refusal &Response) const override {
    LastRetryAfter = Response.RetryAfter;
    Native.writeRefusal(Out, Response);
  }
  /// Of the last refusal, which the native profile rounds up to seconds.
  mutable std::atomic<std::chrono::milliseconds> LastRetryAfter{0ms};

  [[nodiscard]] bool promisesNotRun(unsigned Status) const noexcept override {
    return Status == 503;
  }
  [[nodiscard]] bool
  dependsOnStatus(std::string_view Name) const noexcept override {
    return Native.dependsOnStatus(Name);
  }
  [[nodiscard]] bool acceptsUnframedResponses() const noexcept override {
    return Native.acceptsUnframedResponses();
  }

private:
  const core::HttpProfile &Native = core::nativeHttpProfile();
};

const std::string NotRun =
    response("503 Service Unavailable", "", "X-Outcome: not-run\r\n");

} // namespace

// Guards against a rejected request without an idempotency key. Only services
// without routes require the key.
Test(Routes, unsafe_request_needs_no_idempotency_key) {
  ScriptedBackend Backend(answerWith("done"));
  Harness Fixture({Backend.address()}, makeSettings(false));
  cr_assert_eq(statusOf(Fixture.call(Post)), 200);
}

// Guards against forwarding a request whose path or host matches no route, by
// falling back to the rules of the service.
Test(Routes, request_without_route_is_answered_404) {
  ScriptedBackend Backend(answerWith("done"));
  Harness Fixture({Backend.address()}, makeSettings(true));
  cr_assert_eq(
      statusOf(Fixture.call("GET /other/ HTTP/1.1\r\nHost: a\r\n\r\n")), 404);
  cr_assert_eq(statusOf(Fixture.call("GET /tags/ HTTP/1.1\r\nHost: b\r\n\r\n")),
               404);
}

// Guards against relaying a 5xx response of one backend server although another
// one would answer the idempotent request.
Test(Routes, server_error_is_retried_on_another_server) {
  ScriptedBackend Failing(replyWith(response("500 Internal", "broken")));
  ScriptedBackend Healthy(answerWith("done"));
  Harness Fixture({Failing.address(), Healthy.address()}, makeSettings(true));
  cr_assert_eq(statusOf(Fixture.call(Get)), 200);
  cr_assert_eq(Failing.connections(), 1);
}

// Guards against a generated error that replaces the 5xx response of the
// backend server when no further attempt succeeds.
Test(Routes, server_error_is_relayed_if_no_other_attempt_succeeds) {
  ScriptedBackend Failing(replyWith(response("500 Internal", "broken")));
  Harness Fixture({Failing.address()}, makeSettings(true));
  const std::string Answer = Fixture.call(Get);
  cr_assert_eq(statusOf(Answer), 500);
  cr_assert_neq(Answer.find("broken"), std::string::npos);
}

// Guards against an unsafe request that runs twice: its response ended early,
// so the first backend server may have run it.
Test(Routes, unsafe_request_that_may_have_run_is_not_sent_again) {
  ScriptedBackend Broken(
      replyWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"));
  ScriptedBackend Second(answerWith("done"));
  Harness Fixture({Broken.address(), Second.address()}, makeSettings(false));
  cr_assert_eq(statusOf(Fixture.call(Post)), 502);
  cr_assert_eq(Second.connections(), 0);
}

// Guards against an unsafe request that fails although the first backend server
// rejected it without running it.
Test(Routes, unsafe_request_that_was_not_run_is_retried_on_another_server) {
  ScriptedBackend Rejecting(replyWith(NotRun));
  ScriptedBackend Second(answerWith("done"));
  Harness Fixture({Rejecting.address(), Second.address()}, makeSettings(false));
  cr_assert_eq(statusOf(Fixture.call(Post)), 200);
}

// Guards against a caller that is told to return after its objective (200 ms)
// although the server that rejected its request has a free slot, and against
// one that returns at once to a full server.
Test(Routes, rejection_with_a_free_slot_asks_the_caller_back_in_time) {
  const PromisingProfile Profile;
  const auto RetryAfter = [&](const char *Load) {
    ScriptedBackend Rejecting(replyWith(response(
        "503 Service Unavailable", "",
        std::string("X-Outcome: not-run\r\nX-Load: ") + Load + "\r\n")));
    Harness::Settings TestSettings = makeSettings(false);
    TestSettings.Profile = &Profile;
    TestSettings.RetryTokens = 0;
    Harness Fixture({Rejecting.address()}, TestSettings);
    cr_assert_eq(statusOf(Fixture.call(Post)), 503);
    return Profile.LastRetryAfter.load();
  };
  cr_assert_leq(RetryAfter("0") / 1ms, 13);
  cr_assert_geq(RetryAfter("2") / 1ms, 500);
}

// Guards against calls that end although the budget allows another attempt or
// the next server has room, because a rejection came after their objective.
Test(Routes, rejection_after_the_objective_is_repeated) {
  const auto Status = [](const char *Fields, int RetryTokens) {
    ScriptedBackend *Self = nullptr;
    ScriptedBackend Rejecting([&](tcp::socket &Socket, int) {
      Self->readRequest(Socket);
      std::this_thread::sleep_for(50ms);
      send(Socket, response("503 Service Unavailable", "",
                            std::string("X-Outcome: not-run\r\n") + Fields));
    });
    Self = &Rejecting;
    ScriptedBackend Second(answerWith("ok"));
    Harness::Settings TestSettings = makeSettings(true);
    TestSettings.Routes.front().ObjectiveMs = 20;
    TestSettings.RetryTokens = RetryTokens;
    Harness Fixture({Rejecting.address(), Second.address()}, TestSettings);
    return statusOf(Fixture.call(Get));
  };
  cr_expect_eq(Status("X-Load: 0\r\n", 10), 200, "with a full budget");
  cr_expect_eq(Status("X-Load: 2\r\n", 1), 200, "full server");
  cr_expect_eq(Status("", 1), 200, "no load report");
  cr_expect_eq(Status("X-Load: 0\r\nX-Drain: 1\r\n", 1), 200, "draining");
  cr_expect_eq(Status("X-Load: 0\r\n", 1), 503, "with a low budget");
}

// Guards against an order that has run and is answered with a status that
// promises the opposite, because the backend server answered so.
Test(Routes, order_that_may_have_run_is_not_answered_as_not_run) {
  const PromisingProfile Profile;
  ScriptedBackend Failing(replyWith(response("503 Unavailable", "broken")));
  for (const bool Idempotent : {true, false}) {
    Harness::Settings TestSettings = makeSettings(Idempotent);
    TestSettings.Profile = &Profile;
    TestSettings.RetryTokens = 0;
    Harness Fixture({Failing.address()}, TestSettings);
    const std::string Answer = Fixture.call(Idempotent ? Get : Post);
    cr_assert_eq(statusOf(Answer), Idempotent ? 503 : 502, "%s",
                 Answer.c_str());
    cr_assert_eq(Answer.find("X-Outcome: not-run"), std::string::npos);
  }
}

// Guards against a request to a backend server that has stated since the grant
// that it wants none, and against an unused grant that counts as an attempt, a
// retry or a failure of the server.
Test(Routes, request_goes_elsewhere_if_its_server_wants_none_since_the_grant) {
  ScriptedBackend Avoided(answerWith("wrong"));
  ScriptedBackend Second(answerWith("done"));
  for (const bool Idempotent : {true, false}) {
    Harness::Settings TestSettings = makeSettings(Idempotent);
    TestSettings.RetryTokens = 0;
    Harness Fixture({Avoided.address(), Second.address()}, TestSettings);
    Fixture.Broker.avoid("s0");
    cr_assert_eq(statusOf(Fixture.call(Idempotent ? Get : Post)), 200);
    cr_assert(
        eventually([&] { return Fixture.Broker.outcomes().size() == 2; }));
    cr_assert(Fixture.Broker.outcomes() ==
              (std::vector{core::CallOutcome::Withheld,
                           core::CallOutcome::Completed}));
  }
  cr_assert_eq(Avoided.connections(), 0);
}

// Guards against a request that is sent although its server came to want none
// while a connection to it was set up or the body was on its way.
Test(Routes, request_is_withheld_if_its_server_wants_none_before_it_is_sent) {
  ScriptedBackend Avoided(answerWith("wrong"));
  Harness::Settings TestSettings = makeSettings(false);
  TestSettings.Options.MaxBufferedBodyBytes = 0;
  TestSettings.Options.MaxBufferedUploadBytes = 0;
  Harness Fixture({Avoided.address()}, TestSettings);
  auto Caller = Fixture.connect();
  send(Caller, "POST /tags/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n");
  cr_assert(eventually([&] { return Avoided.connections() == 1; }));
  Fixture.Broker.avoid("s0");
  send(Caller, "high");
  const std::string Answer = Harness::readResponse(Caller);
  cr_assert_eq(statusOf(Answer), 503, "%s", Answer.c_str());
  cr_assert_neq(Answer.find("X-Outcome: not-run"), std::string::npos);
  cr_assert(Avoided.requests().empty());
}

// Guards against retries that exceed the retry budget when a backend server
// rejects requests.
Test(Routes, retry_without_budget_is_not_made) {
  ScriptedBackend Rejecting(replyWith(NotRun));
  ScriptedBackend Second(answerWith("done"));
  auto TestSettings = makeSettings(true);
  TestSettings.RetryTokens = 0;
  Harness Fixture({Rejecting.address(), Second.address()}, TestSettings);
  cr_assert_eq(statusOf(Fixture.call(Get)), 503);
  cr_assert_eq(Second.connections(), 0);
}

// Guards against retries that fail for lack of budget after a refused
// connection, which put no load on a backend server and need no token.
Test(Routes, refused_connection_is_retried_without_budget) {
  boost::asio::io_context Io;
  tcp::acceptor Closed(Io, {asio::ip::address_v4::loopback(), 0});
  const std::string ClosedAddress =
      "127.0.0.1:" + std::to_string(Closed.local_endpoint().port());
  Closed.close();
  ScriptedBackend Second(answerWith("done"));
  auto TestSettings = makeSettings(false);
  TestSettings.RetryTokens = 0;
  Harness Fixture({ClosedAddress, Second.address()}, TestSettings);
  cr_assert_eq(statusOf(Fixture.call(Post)), 200);
}

// Guards against a request that exceeds the timeout of its route, here 400 ms,
// when the backend server does not respond.
Test(Routes, timeout_of_the_route_ends_the_request) {
  ScriptedBackend Backend(neverAnswer());
  Harness Fixture({Backend.address()}, makeSettings(true));
  const auto Begin = std::chrono::steady_clock::now();
  cr_assert_eq(statusOf(Fixture.call(Get)), 504);
  const auto Elapsed = std::chrono::steady_clock::now() - Begin;
  cr_assert(Elapsed >= 390ms && Elapsed < 900ms);
}

// Guards against a response that says "not run" although an earlier attempt may
// have run: the last attempt was rejected, the one before ended early.
Test(Routes, rejection_after_an_attempt_that_may_have_run_is_answered_502) {
  ScriptedBackend Broken(
      replyWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"));
  ScriptedBackend Rejecting(replyWith(NotRun));
  Harness Fixture({Broken.address(), Rejecting.address()}, makeSettings(true));
  cr_assert_eq(statusOf(Fixture.call(Get)), 502);
}

// Guards against refused connections while this VM drains: callers are still
// directed to it, so it must serve them and ask them to close.
Test(Routes, draining_server_still_accepts_and_asks_callers_to_close) {
  ScriptedBackend Backend(answerWith("done"));
  Harness Fixture({Backend.address()}, makeSettings(true));
  const core::TimePoint Now = Fixture.Time.now();
  Fixture.Server->drain({.LeaveAt = Now, .CutOffAt = Now + 10s});
  const std::string Answer = Fixture.call(Get);
  cr_assert_eq(statusOf(Answer), 200);
  cr_assert_neq(Answer.find("Connection: close"), std::string::npos);
}

// Guards against a safe request that waits until its deadline for a server that
// hangs, and against a hanging server that is not reported as such.
Test(Routes, safe_request_is_hedged_when_its_grant_says_so) {
  ScriptedBackend Hanging(neverAnswer());
  ScriptedBackend Good(answerWith("done"));
  Harness Fixture({Hanging.address(), Good.address()}, makeSettings(true));
  Fixture.Broker.setHedgeDelay(30ms);
  cr_assert(Fixture.call(Get).ends_with("done"));
  cr_assert_eq(Fixture.Server->counters().Hedges, 1);
  cr_assert(eventually([&] { return Fixture.Broker.outcomes().size() == 2; }));
  const auto Outcomes = Fixture.Broker.outcomes();
  cr_assert_eq(
      std::count(Outcomes.begin(), Outcomes.end(), core::CallOutcome::TimedOut),
      1);
}

// Guards against an order that runs twice because its first attempt is slow,
// and against a second attempt that no grant allows.
Test(Routes, request_is_not_hedged_if_it_is_unsafe_or_its_grant_does_not_say) {
  for (const bool Idempotent : {false, true}) {
    ScriptedBackend Hanging(neverAnswer());
    ScriptedBackend Good(answerWith("done"));
    Harness Fixture({Hanging.address(), Good.address()},
                    makeSettings(Idempotent));
    if (!Idempotent)
      Fixture.Broker.setHedgeDelay(30ms);
    cr_assert_eq(statusOf(Fixture.call(Idempotent ? Get : Post)), 504);
    cr_assert_eq(Good.connections(), 0);
  }
}
