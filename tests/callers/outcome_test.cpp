#include "harness.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::test;

namespace {

constexpr const char *Get = "GET /tags HTTP/1.1\r\nHost: a\r\n\r\n";

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

// Sends fixed bytes after one request and closes.
ScriptedBackend::Script sendAndClose(const std::string &Bytes) {
  return [Bytes](tcp::socket &Socket, int) {
    std::string Request;
    boost::system::error_code Code;
    asio::read_until(Socket, asio::dynamic_buffer(Request), "\r\n\r\n", Code);
    send(Socket, Bytes);
  };
}

std::string requestWithDeadlineIn(std::chrono::milliseconds Left) {
  const auto Now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return "GET /tags HTTP/1.1\r\nHost: a\r\nX-Deadline: " +
         std::to_string((Now + Left).count()) + "\r\n\r\n";
}

} // namespace

// Guards against an incomplete or invalid response that is relayed as if it
// were valid. The backend server may have run the request: outcome unknown.
Test(Outcome, broken_response_is_answered_502_unknown) {
  const std::vector<std::string> Broken{
      "",
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
      "HTTP/1.1 200 OK\r\n\r\nuntil the close",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
      response("200 OK", "0\r\n\r\n", "Transfer-Encoding: chunked\r\n"),
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "HTTP/1.1 200 OK\nContent-Length: 0\n\n",
      "HTTP/1.1 200 OK\r\nX-A: 1\r\n folded\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 101 Switching Protocols\r\n\r\n",
      "HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n",
      "nonsense\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-Big: " + std::string(40000, 'x') + "\r\n\r\n"};
  for (const std::string &Bytes : Broken) {
    ScriptedBackend Backend(sendAndClose(Bytes));
    Harness Fixture({Backend.address()}, {.RetryTokens = 0});
    const std::string Answer = Fixture.call(Get);
    cr_assert_eq(statusOf(Answer), 502, "%s: %s", Bytes.substr(0, 99).c_str(),
                 Answer.c_str());
    cr_assert(contains(Answer, "X-Outcome: unknown"));
    cr_assert(contains(Answer, "X-Request-Id: "));
  }
}

// Guards against a truncated response that the caller takes for a complete one.
// The backend server closes after the head was relayed, so only a reset of the
// caller's connection can report the failure.
Test(Outcome, response_truncated_after_its_head_resets_the_caller) {
  const std::string LargeBody(50000, 'x');
  for (const std::string &Bytes :
       {"HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n" + LargeBody,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc350\r\n" +
            LargeBody + "\r\n"}) {
    ScriptedBackend Backend(sendAndClose(Bytes));
    Harness Fixture({Backend.address()});
    auto Caller = Fixture.connect();
    send(Caller, Get);
    std::string Answer;
    boost::system::error_code Code;
    asio::read(Caller, asio::dynamic_buffer(Answer), Code);
    cr_assert(Code == asio::error::connection_reset, "%s",
              Code.message().c_str());
    cr_assert_not(contains(Answer, "\r\n0\r\n\r\n"));
    cr_assert(eventually(
        [&] { return Fixture.Server->counters().TruncatedResponses == 1; }));
  }
}

// Guards against calls that exceed their deadline, and against a late response
// that is given to the next request because its connection was reused.
Test(Outcome, late_response_is_never_given_to_another_request) {
  ScriptedBackend *Self = nullptr;
  ScriptedBackend Backend([&](tcp::socket &Socket, int Index) {
    while (!Self->readRequest(Socket).empty()) {
      if (Index == 0)
        std::this_thread::sleep_for(300ms);
      send(Socket, response("200 OK", "answer" + std::to_string(Index)));
    }
  });
  Self = &Backend;
  Harness Fixture({Backend.address()}, {.RetryTokens = 0});
  const auto Start = std::chrono::steady_clock::now();
  auto Caller = Fixture.connect();
  send(Caller, requestWithDeadlineIn(100ms));
  const std::string Late = Harness::readResponse(Caller);
  cr_assert_eq(statusOf(Late), 504, "%s", Late.c_str());
  cr_assert(contains(Late, "X-Outcome: unknown"));
  cr_assert_lt((std::chrono::steady_clock::now() - Start) / 1ms, 250);
  std::this_thread::sleep_for(300ms);
  send(Caller, Get);
  cr_assert(contains(Harness::readResponse(Caller), "answer1"));
  cr_assert_eq(static_cast<int>(Fixture.Broker.outcomes()[0]),
               static_cast<int>(core::CallOutcome::TimedOut));
}

// Guards against load on backend servers for requests whose deadline had
// already passed on arrival.
Test(Outcome, passed_deadline_is_not_run) {
  ScriptedBackend Backend(answerWith("x"));
  Harness Fixture({Backend.address()});
  const std::string Answer = Fixture.call(requestWithDeadlineIn(-1ms));
  cr_assert_eq(statusOf(Answer), 504);
  cr_assert(contains(Answer, "X-Outcome: not-run"));
  cr_assert_eq(Backend.connections(), 0);
}

// Guards against slots that stay occupied until the deadline by attempts whose
// caller has closed its connection.
Test(Outcome, closed_caller_connection_cancels_the_attempt) {
  std::atomic<bool> Closed{false};
  ScriptedBackend *Self = nullptr;
  ScriptedBackend Backend([&](tcp::socket &Socket, int) {
    Self->readRequest(Socket);
    char Byte = 0;
    boost::system::error_code Code;
    Socket.read_some(asio::buffer(&Byte, 1), Code);
    Closed = static_cast<bool>(Code);
  });
  Self = &Backend;
  Harness Fixture({Backend.address()}, {.DeadlineMs = 20000});
  {
    auto Caller = Fixture.connect();
    send(Caller, Get);
    cr_assert(eventually([&] { return Backend.requests().size() == 1; }));
  }
  cr_assert(eventually([&] { return Closed.load(); }));
  cr_assert(eventually([&] { return !Fixture.Broker.outcomes().empty(); }));
  cr_assert_eq(static_cast<int>(Fixture.Broker.outcomes()[0]),
               static_cast<int>(core::CallOutcome::Cancelled));
}

// Guards against lookups that wait until their deadline for a backend server
// that keeps the connection open but never responds.
Test(Outcome, lookup_without_response_is_retried_within_its_deadline) {
  ScriptedBackend *Self = nullptr;
  ScriptedBackend Silent([&](tcp::socket &Socket, int) {
    Self->readRequest(Socket);
    Self->readRequest(Socket);
  });
  Self = &Silent;
  ScriptedBackend Healthy(answerWith("fine"));
  Harness Fixture({Silent.address(), Healthy.address()}, {.DeadlineMs = 600});
  cr_assert(contains(Fixture.call(Get), "fine"));
  // The retry budget held one token, so the next lookup ends at its deadline.
  const std::string Second = Fixture.call(Get);
  cr_assert_eq(statusOf(Second), 504);
  cr_assert_eq(Fixture.Server->counters().Retries, 1);
}

// Guards against a hedged request whose response is lost, or whose aborted
// attempt does not release its slot.
Test(Outcome, hedged_lookup_takes_the_first_response) {
  ScriptedBackend *Self = nullptr;
  ScriptedBackend Slow([&](tcp::socket &Socket, int) {
    Self->readRequest(Socket);
    Self->readRequest(Socket);
  });
  Self = &Slow;
  ScriptedBackend Fast(answerWith("fast"));
  Harness::Settings TestSettings{.DeadlineMs = 5000};
  TestSettings.Options.HedgeDelay = 20ms;
  Harness Fixture({Slow.address(), Fast.address()}, TestSettings);
  cr_assert(contains(Fixture.call(Get), "fast"));
  cr_assert_eq(Fixture.Server->counters().Hedges, 1);
  cr_assert(eventually([&] { return Fixture.Broker.outcomes().size() == 2; }));
}
