#include "harness.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::test;

namespace {

constexpr const char *Get = "GET /tags HTTP/1.1\r\nHost: a\r\n\r\n";

ScriptedBackend::Script answerAfter(ScriptedBackend *&Self,
                                    std::chrono::milliseconds Delay) {
  return [&Self, Delay](tcp::socket &Socket, int) {
    while (!Self->readRequest(Socket).empty()) {
      std::this_thread::sleep_for(Delay);
      send(Socket, response("200 OK", "done"));
    }
  };
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
