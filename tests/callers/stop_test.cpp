#include "harness.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::test;

namespace {

constexpr const char *Get = "GET /tags HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr const char *Order = "PUT /tags HTTP/1.1\r\nHost: a\r\n"
                              "Idempotency-Key: k\r\nContent-Length: 2\r\n"
                              "\r\nhi";

ScriptedBackend::Script answerAfter(ScriptedBackend *&Self,
                                    std::chrono::milliseconds Delay) {
  return [&Self, Delay](tcp::socket &Socket, int) {
    while (!Self->readRequest(Socket).empty()) {
      std::this_thread::sleep_for(Delay);
      send(Socket, response("200 OK", "done"));
    }
  };
}

// A route whose requests may last longer than the stops of the tests.
Harness::Settings settingsWithRoute(bool Idempotent) {
  Harness::Settings Out;
  Out.Routes = {{.Name = "r",
                 .Host = "a",
                 .PathPrefix = "/tags",
                 .Idempotent = Idempotent,
                 .MaxAttempts = 2,
                 .TimeoutMs = 8000,
                 .ObjectiveMs = 500,
                 .Services = {{.Service = "tags", .Weight = 1}}}};
  return Out;
}

bool isRefusedAsNotRun(const std::string &Answer) {
  return statusOf(Answer) == 503 &&
         Answer.find("X-Outcome: not-run") != std::string::npos &&
         Answer.find("Connection: close") != std::string::npos;
}

/// @brief Sends a request, stops the server once the request (or its next
/// attempt) waits for a slot, and checks that nothing is cut off.
/// @return The answer.
std::string answerToWaitingRequest(Harness &Fixture, const char *Bytes,
                                   std::chrono::milliseconds Within) {
  auto Caller = Fixture.connect();
  send(Caller, Bytes);
  cr_assert(eventually([&] { return Fixture.Broker.Waiting == 1; }));
  auto Stopped = Fixture.stop(Within);
  std::string Answer = Harness::readResponse(Caller);
  Caller.close();
  cr_assert(Stopped.get().CutOff.empty());
  return Answer;
}

} // namespace

// Guards against a graceful stop that cuts off requests in flight or requests
// that arrive on an idle connection during the stop.
Test(Stop, request_in_flight_is_finished_and_idle_connections_close) {
  ScriptedBackend *Self = nullptr;
  ScriptedBackend Backend(answerAfter(Self, 200ms));
  // NOLINTNEXTLINE(clang-analyzer-deadcode.DeadStores): read by reference
  Self = &Backend;
  Harness Fixture({Backend.address()});
  auto Idle = Fixture.connect();
  auto Busy = Fixture.connect();
  send(Busy, Get);
  cr_assert(eventually([&] { return Backend.requests().size() == 1; }));
  auto Stopped = Fixture.stop(3s);
  const std::string Answer = Harness::readResponse(Busy);
  cr_assert_eq(statusOf(Answer), 200, "%s", Answer.c_str());
  cr_assert(Answer.find("Connection: close") != std::string::npos);
  // A request that arrives on an idle connection during the stop is served.
  send(Idle, Get);
  const std::string Last = Harness::readResponse(Idle);
  cr_assert_eq(statusOf(Last), 200, "%s", Last.c_str());
  // Both callers close, as `Connection: close` asks them to.
  Busy.close();
  Idle.close();
  const callers::StopReport Report = Stopped.get();
  cr_assert_eq(Report.InFlightAtStop, 1);
  cr_assert_eq(Report.Finished, 2);
  cr_assert(Report.CutOff.empty());
}

// Guards against a stop that waits for ever for a slow backend server, and
// against requests that are cut off without being reported.
Test(Stop, request_in_flight_at_the_deadline_is_reported) {
  ScriptedBackend *Self = nullptr;
  ScriptedBackend Backend(answerAfter(Self, 1500ms));
  // NOLINTNEXTLINE(clang-analyzer-deadcode.DeadStores): read by reference
  Self = &Backend;
  Harness Fixture({Backend.address()});
  auto Busy = Fixture.connect();
  send(Busy, Get);
  cr_assert(eventually([&] { return Backend.requests().size() == 1; }));
  const callers::StopReport Report = Fixture.stop(200ms).get();
  cr_assert_eq(Report.CutOff.size(), 1);
  cr_assert_eq(Report.CutOff[0].Service, "tags");
  cr_assert_neq(Report.CutOff[0].Id.Value, 0);
}

// Guards against requests that wait for a slot and lose their connection when
// the VM stops, although a refusal that they have not run would be true.
Test(Stop, request_that_waits_for_a_slot_is_refused_in_time) {
  ScriptedBackend Backend(answerWith("done"));
  for (const bool Idempotent : {true, false}) {
    Harness Fixture({Backend.address()}, settingsWithRoute(Idempotent));
    Fixture.Broker.MaxGrants = 0;
    const auto Started = std::chrono::steady_clock::now();
    const std::string Answer = answerToWaitingRequest(Fixture, Get, 800ms);
    cr_assert(isRefusedAsNotRun(Answer), "%s", Answer.c_str());
    // It is not told later than necessary that it has to go elsewhere.
    cr_assert_lt(std::chrono::steady_clock::now() - Started, 600ms);
  }
  cr_assert_eq(Backend.connections(), 0);
}

// Guards against an order that keeps its key claimed although it never left a
// VM that stopped, so that the caller cannot send it again.
Test(Stop, order_that_waits_for_a_slot_is_refused_and_its_key_released) {
  ScriptedBackend Backend(answerWith("done"));
  Harness::Settings TestSettings;
  TestSettings.Kind = core::ServiceKind::Order;
  TestSettings.DeadlineMs = 8000;
  Harness Fixture({Backend.address()}, TestSettings);
  Fixture.Broker.MaxGrants = 0;
  const std::string Answer = answerToWaitingRequest(Fixture, Order, 300ms);
  cr_assert(isRefusedAsNotRun(Answer), "%s", Answer.c_str());
  cr_assert_eq(Fixture.Broker.ClaimsReleased, 1);
}

// Guards against a reset in place of the response of an earlier attempt while
// the request waits for its next attempt.
Test(Stop, response_kept_from_an_earlier_attempt_is_delivered) {
  ScriptedBackend Failing([](tcp::socket &Socket, int) {
    std::string Request;
    boost::system::error_code Code;
    asio::read_until(Socket, asio::dynamic_buffer(Request), "\r\n\r\n", Code);
    send(Socket, response("500 Internal", "broken"));
  });
  Harness Fixture({Failing.address()}, settingsWithRoute(true));
  Fixture.Broker.MaxGrants = 1;
  const std::string Answer = answerToWaitingRequest(Fixture, Get, 800ms);
  cr_assert_eq(statusOf(Answer), 500, "%s", Answer.c_str());
}

// Guards against a false refusal of a request that may have run: its first
// attempt ended without a response and it waits for the second one.
Test(Stop, request_that_may_have_run_is_not_refused_as_not_run) {
  ScriptedBackend Breaking([](tcp::socket &Socket, int) {
    std::string Request;
    boost::system::error_code Code;
    asio::read_until(Socket, asio::dynamic_buffer(Request), "\r\n\r\n", Code);
  });
  Harness Fixture({Breaking.address()}, settingsWithRoute(true));
  Fixture.Broker.MaxGrants = 1;
  const std::string Answer = answerToWaitingRequest(Fixture, Get, 800ms);
  cr_assert_eq(statusOf(Answer), 502, "%s", Answer.c_str());
}

// Guards against a stop that breaks off a request at which a backend server
// works, because a hedge of the request waits for a slot.
Test(Stop, request_whose_hedge_waits_for_a_slot_is_finished) {
  ScriptedBackend *Self = nullptr;
  ScriptedBackend Backend(answerAfter(Self, 900ms));
  // NOLINTNEXTLINE(clang-analyzer-deadcode.DeadStores): read by reference
  Self = &Backend;
  Harness Fixture({Backend.address()}, settingsWithRoute(true));
  Fixture.Broker.MaxGrants = 1;
  Fixture.Broker.setHedgeDelay(50ms);
  const std::string Answer = answerToWaitingRequest(Fixture, Get, 1200ms);
  cr_assert_eq(statusOf(Answer), 200, "%s", Answer.c_str());
  cr_assert_eq(Fixture.Broker.Waiting, 0);
}

// Guards against a caller that is still sending its body when the VM stops and
// loses its connection without an answer.
Test(Stop, request_whose_body_is_incomplete_is_refused_in_time) {
  ScriptedBackend Backend(answerWith("done"));
  Harness Fixture({Backend.address()}, settingsWithRoute(false));
  auto Caller = Fixture.connect();
  send(Caller, "POST /tags HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab");
  cr_assert(eventually([&] { return Fixture.Events.count("call.received"); }));
  auto Stopped = Fixture.stop(800ms);
  const std::string Answer = Harness::readResponse(Caller);
  cr_assert(isRefusedAsNotRun(Answer), "%s", Answer.c_str());
  Caller.close();
  cr_assert(Stopped.get().CutOff.empty());
}

// Guards against requests that arrive late in a stop, are passed on and then
// cut off without an answer: their responses take longer than the time left.
Test(Stop, request_that_arrives_too_late_for_its_response_is_refused) {
  ScriptedBackend *Self = nullptr;
  ScriptedBackend Backend(answerAfter(Self, 700ms));
  // NOLINTNEXTLINE(clang-analyzer-deadcode.DeadStores): read by reference
  Self = &Backend;
  for (const bool Idempotent : {true, false}) {
    Harness Fixture({Backend.address()}, settingsWithRoute(Idempotent));
    // Longer than the objective of the route, so only a response can tell.
    cr_assert_eq(statusOf(Fixture.call(Get)), 200);
    auto Caller = Fixture.connect();
    send(Caller, "GET /tags HTTP/1.1\r\nHo");
    cr_assert(
        eventually([&] { return Fixture.Server->counters().InFlight == 1; }));
    const std::size_t Before = Backend.requests().size();
    auto Stopped = Fixture.stop(1000ms);
    std::this_thread::sleep_for(400ms);
    send(Caller, "st: a\r\n\r\n");
    const std::string Answer = Harness::readResponse(Caller);
    cr_assert(isRefusedAsNotRun(Answer), "%s", Answer.c_str());
    Caller.close();
    cr_assert(Stopped.get().CutOff.empty());
    cr_assert_eq(Backend.requests().size(), Before);
  }
}

// Guards against a stop that refuses requests for which enough time is left.
Test(Stop, request_that_arrives_in_time_for_its_response_is_served) {
  ScriptedBackend Backend(answerWith("done"));
  Harness Fixture({Backend.address()}, settingsWithRoute(false));
  auto Caller = Fixture.connect();
  send(Caller, "GET /tags HTTP/1.1\r\nHo");
  cr_assert(
      eventually([&] { return Fixture.Server->counters().InFlight == 1; }));
  auto Stopped = Fixture.stop(2000ms);
  std::this_thread::sleep_for(700ms);
  send(Caller, "st: a\r\n\r\n");
  const std::string Answer = Harness::readResponse(Caller);
  cr_assert_eq(statusOf(Answer), 200, "%s", Answer.c_str());
  Caller.close();
  cr_assert(Stopped.get().CutOff.empty());
}

// Guards against unlimited connections, and against closing a connection above
// the limit without a response.
Test(Limits, connection_above_the_limit_is_answered_503) {
  ScriptedBackend Backend(answerWith("x"));
  Harness::Settings TestSettings;
  TestSettings.Options.MaxConnections = 1;
  Harness Fixture({Backend.address()}, TestSettings);
  auto First = Fixture.connect();
  send(First, Get);
  cr_assert_eq(statusOf(Harness::readResponse(First)), 200);
  auto Second = Fixture.connect();
  const std::string Answer = Harness::readResponse(Second);
  cr_assert_eq(statusOf(Answer), 503, "%s", Answer.c_str());
  cr_assert(Answer.find("X-Outcome: not-run") != std::string::npos);
}

// Guards against callers that send their head or body slowly and thereby occupy
// a connection or a slot without limit.
Test(Limits, slow_sender_is_answered_408_without_a_slot) {
  ScriptedBackend Backend(answerWith("x"));
  Harness::Settings TestSettings;
  TestSettings.Options.HeadTimeout = 50ms;
  TestSettings.Options.BodyTimeout = 50ms;
  Harness Fixture({Backend.address()}, TestSettings);
  for (const char *Bytes :
       {"GET /tags HT", "PUT /tags HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k"
                        "\r\nContent-Length: 9\r\n\r\nabc"}) {
    const std::string Answer = Fixture.call(Bytes);
    cr_assert_eq(statusOf(Answer), 408, "%s", Answer.c_str());
    cr_assert(Answer.find("X-Outcome: not-run") != std::string::npos);
  }
  cr_assert_eq(Fixture.Broker.Granted, 0);
}
