#include "harness.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::test;

namespace {

constexpr const char *Get = "GET /tags HTTP/1.1\r\nHost: a\r\n\r\n";

bool has(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

// Sends fixed bytes after one request and closes.
ScriptedBackend::Script sending(std::string Bytes) {
  return [Bytes](tcp::socket &Socket, int) {
    std::string Request;
    boost::system::error_code Code;
    asio::read_until(Socket, asio::dynamic_buffer(Request), "\r\n\r\n", Code);
    send(Socket, Bytes);
  };
}

std::string deadlineIn(std::chrono::milliseconds Left) {
  const auto Now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return "GET /tags HTTP/1.1\r\nHost: a\r\nX-Deadline: " +
         std::to_string((Now + Left).count()) + "\r\n\r\n";
}

} // namespace

// Guards against a broken response that the caller takes for a complete one.
Test(Outcome, broken_response_is_answered_502_unknown) {
  const std::vector<std::string> Broken{
      "",
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
      "HTTP/1.1 200 OK\r\n\r\nuntil the close",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "HTTP/1.1 200 OK\nContent-Length: 0\n\n",
      "HTTP/1.1 200 OK\r\nX-A: 1\r\n folded\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 101 Switching Protocols\r\n\r\n",
      "HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n",
      "nonsense\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-Big: " + std::string(40000, 'x') + "\r\n\r\n"};
  for (const std::string &Bytes : Broken) {
    ScriptedBackend Backend(sending(Bytes));
    Harness Fleet({Backend.address()}, {.RetryTokens = 0});
    const std::string Answer = Fleet.call(Get);
    cr_assert_eq(statusOf(Answer), 502, "%s: %s", Bytes.substr(0, 99).c_str(),
                 Answer.c_str());
    cr_assert(has(Answer, "X-Outcome: unknown"));
    cr_assert(has(Answer, "X-Request-Id: "));
  }
}

// Guards against a truncated stream that ends like a complete one.
Test(Outcome, response_cut_after_its_head_resets_the_caller) {
  const std::string Big(50000, 'x');
  for (const std::string &Bytes :
       {"HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n" + Big,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc350\r\n" + Big +
            "\r\n"}) {
    ScriptedBackend Backend(sending(Bytes));
    Harness Fleet({Backend.address()});
    auto Caller = Fleet.connect();
    send(Caller, Get);
    std::string Answer;
    boost::system::error_code Code;
    asio::read(Caller, asio::dynamic_buffer(Answer), Code);
    cr_assert(Code == asio::error::connection_reset, "%s",
              Code.message().c_str());
    cr_assert_not(has(Answer, "\r\n0\r\n\r\n"));
    cr_assert(
        eventually([&] { return Fleet.Server->counters().CutResponses == 1; }));
  }
}

// Guards against calls that outlive their deadline, and against a late
// response that the next request receives.
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
  Harness Fleet({Backend.address()}, {.RetryTokens = 0});
  const auto Start = std::chrono::steady_clock::now();
  auto Caller = Fleet.connect();
  send(Caller, deadlineIn(100ms));
  const std::string Late = Harness::readResponse(Caller);
  cr_assert_eq(statusOf(Late), 504, "%s", Late.c_str());
  cr_assert(has(Late, "X-Outcome: unknown"));
  cr_assert_lt((std::chrono::steady_clock::now() - Start) / 1ms, 250);
  std::this_thread::sleep_for(300ms);
  send(Caller, Get);
  cr_assert(has(Harness::readResponse(Caller), "answer1"));
  cr_assert_eq(static_cast<int>(Fleet.Broker.outcomes()[0]),
               static_cast<int>(core::CallOutcome::TimedOut));
}

// Guards against work for a deadline that has passed already.
Test(Outcome, passed_deadline_is_not_run) {
  ScriptedBackend Backend(answering("x"));
  Harness Fleet({Backend.address()});
  const std::string Answer = Fleet.call(deadlineIn(-1ms));
  cr_assert_eq(statusOf(Answer), 504);
  cr_assert(has(Answer, "X-Outcome: not-run"));
  cr_assert_eq(Backend.connections(), 0);
}

// Guards against slots held for callers that have left.
Test(Outcome, departed_caller_cancels_the_backend_call) {
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
  Harness Fleet({Backend.address()}, {.DeadlineMs = 20000});
  {
    auto Caller = Fleet.connect();
    send(Caller, Get);
    cr_assert(eventually([&] { return Backend.requests().size() == 1; }));
  }
  cr_assert(eventually([&] { return Closed.load(); }));
  cr_assert(eventually([&] { return !Fleet.Broker.outcomes().empty(); }));
  cr_assert_eq(static_cast<int>(Fleet.Broker.outcomes()[0]),
               static_cast<int>(core::CallOutcome::Cancelled));
}

// Guards against lookups that wait until their deadline for a connection that
// has gone silent.
Test(Outcome, silent_lookup_is_retried_within_its_deadline) {
  ScriptedBackend *Self = nullptr;
  ScriptedBackend Silent([&](tcp::socket &Socket, int) {
    Self->readRequest(Socket);
    Self->readRequest(Socket);
  });
  Self = &Silent;
  ScriptedBackend Healthy(answering("fine"));
  Harness Fleet({Silent.address(), Healthy.address()}, {.DeadlineMs = 600});
  cr_assert(has(Fleet.call(Get), "fine"));
  // The budget is one token; the next silent lookup ends at its deadline.
  const std::string Second = Fleet.call(Get);
  cr_assert_eq(statusOf(Second), 504);
  cr_assert_eq(Fleet.Server->counters().Retries, 1);
}

// Guards against hedges whose loser keeps its slot or whose answer is lost.
Test(Outcome, hedged_lookup_takes_the_first_response) {
  ScriptedBackend *Self = nullptr;
  ScriptedBackend Slow([&](tcp::socket &Socket, int) {
    Self->readRequest(Socket);
    Self->readRequest(Socket);
  });
  Self = &Slow;
  ScriptedBackend Fast(answering("fast"));
  Harness::Settings With{.DeadlineMs = 5000};
  With.Options.HedgeDelay = 20ms;
  Harness Fleet({Slow.address(), Fast.address()}, With);
  cr_assert(has(Fleet.call(Get), "fast"));
  cr_assert_eq(Fleet.Server->counters().Hedges, 1);
  cr_assert(eventually([&] { return Fleet.Broker.outcomes().size() == 2; }));
}
