#include "harness.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::test;

namespace {

std::string get(const std::string &Path, const std::string &Fields = "") {
  return "GET " + Path + " HTTP/1.1\r\nHost: a\r\n" + Fields + "\r\n";
}

std::string order(const std::string &Path, const std::string &Body) {
  return "POST " + Path + " HTTP/1.1\r\nHost: a\r\nIdempotency-Key: " + Path +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

/// @brief Reads until the connection ends.
std::string readAll(tcp::socket &From) {
  std::string Bytes;
  boost::system::error_code Code;
  asio::read(From, asio::dynamic_buffer(Bytes), Code);
  return Bytes;
}

std::size_t countOf(const std::string &Text, const std::string &Part) {
  std::size_t Count = 0;
  for (std::size_t At = 0; (At = Text.find(Part, At)) != std::string::npos;
       At += Part.size())
    ++Count;
  return Count;
}

/// @brief Backend server that answers with the path of each request; the path
/// decides how.
class PathBackend {
public:
  [[nodiscard]] std::string address() const { return Backend.address(); }

  /// @brief Whether a request whose target contains the text has arrived.
  bool got(const std::string &Text) {
    for (const std::string &Request : Backend.requests())
      if (Request.substr(0, Request.find('\r')).find(Text) != std::string::npos)
        return true;
    return false;
  }

  std::atomic<bool> Dropped{false};

private:
  void serve(tcp::socket &Socket) {
    while (true) {
      const std::string Request = Backend.readRequest(Socket);
      if (Request.empty())
        return;
      const std::size_t Begin = Request.find(' ') + 1;
      const std::string Path =
          Request.substr(Begin, Request.find(' ', Begin) - Begin);
      const bool IsHead = Request.starts_with("HEAD");
      if (Path.find("slow") != std::string::npos)
        std::this_thread::sleep_for(200ms);
      if (Path.find("never") != std::string::npos) {
        boost::system::error_code Code;
        char Byte = 0;
        asio::read(Socket, asio::buffer(&Byte, 1), Code);
        Dropped = true;
        return;
      }
      if (Path.find("truncated") != std::string::npos)
        return send(Socket,
                    "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" +
                        std::string(50000, 'x'));
      if (Path.find("chunked") != std::string::npos) {
        send(Socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "3\r\nabc\r\n0\r\n\r\n");
        continue;
      }
      std::string Answer = response("200 OK", Path);
      if (IsHead)
        Answer.resize(Answer.size() - Path.size());
      send(Socket, Answer);
    }
  }

  ScriptedBackend Backend{[this](tcp::socket &Socket, int) { serve(Socket); }};
};

struct ClosingCase {
  const char *Name;
  std::string First;
  int Status;
};

std::vector<ClosingCase> closingCases() {
  return {
      {"close requested", get("/tags/1", "Connection: close\r\n"), 200},
      {"HTTP/1.0", "GET /tags/1 HTTP/1.0\r\nHost: a\r\n\r\n", 200},
      {"malformed", get("/tags/1", "A B: 1\r\n"), 400},
      {"head too large",
       get("/tags/1", "A: " + std::string(20000, 'x') + "\r\n"), 431},
      {"refused, with close", get("/none", "Connection: close\r\n"), 404},
      {"malformed chunk",
       "POST /tags/1 HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\n"
       "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
       400},
      {"truncated response", get("/tags/truncated"), 200},
  };
}

} // namespace

// Guards against responses out of order, or without a clear boundary, when
// requests of all kinds wait behind one another.
Test(Pipeline, requests_of_all_kinds_are_answered_in_order) {
  PathBackend Backend;
  Harness Fixture({Backend.address()});
  tcp::socket Caller = Fixture.connect();
  send(Caller, get("/tags/slow") + order("/tags/order", "body") + get("/none") +
                   "HEAD /tags/head HTTP/1.1\r\nHost: a\r\n\r\n" +
                   get("/tags/chunked") +
                   get("/tags/last", "Connection: close\r\n"));
  const std::string Bytes = readAll(Caller);
  std::size_t At = 0;
  for (const char *Expected :
       {"/tags/slow", "/tags/order", "404 Not Found", "HTTP/1.1 200 OK",
        "3\r\nabc\r\n0\r\n\r\nHTTP/1.1 200 OK", "/tags/last"}) {
    At = Bytes.find(Expected, At);
    cr_assert_neq(At, std::string::npos, "%s: %s", Expected, Bytes.c_str());
  }
  cr_assert_eq(countOf(Bytes, "HTTP/1.1 "), 6, "%s", Bytes.c_str());
}

// Guards against work for a request that its caller sends again: after a
// response that closes the connection, the caller repeats what it sent behind.
Test(Pipeline, requests_behind_a_closing_response_are_not_passed_on) {
  for (const ClosingCase &Each : closingCases()) {
    PathBackend Backend;
    Harness Fixture({Backend.address()});
    tcp::socket Caller = Fixture.connect();
    send(Caller, Each.First + get("/tags/behind") +
                     order("/tags/behind-order", "body"));
    const std::string Bytes = readAll(Caller);
    cr_expect_eq(statusOf(Bytes), Each.Status, "%s: %s", Each.Name,
                 Bytes.substr(0, 200).c_str());
    cr_expect_eq(countOf(Bytes, "HTTP/1.1 "), 1, "%s", Each.Name);
    cr_expect(eventually(
        [&] { return Fixture.Server->counters().OpenConnections == 0; }));
    cr_expect_not(Backend.got("behind"), "%s", Each.Name);
  }
}

// Guards against a stop that accepts the requests behind the one that it lets
// end.
Test(Pipeline, requests_behind_the_last_one_of_a_stop_are_not_passed_on) {
  PathBackend Backend;
  Harness Fixture({Backend.address()});
  tcp::socket Caller = Fixture.connect();
  send(Caller, get("/tags/slow") + order("/tags/behind", "body"));
  cr_assert(eventually([&] { return Backend.got("slow"); }));
  auto Stop = Fixture.stop(2s);
  const std::string Bytes = readAll(Caller);
  Stop.wait();
  cr_assert_eq(countOf(Bytes, "HTTP/1.1 200"), 1, "%s", Bytes.c_str());
  cr_assert_not(Backend.got("behind"));
}

// Guards against a slow request that takes slots for those behind it, which
// cannot be answered before it.
Test(Pipeline, requests_behind_a_slow_one_hold_no_slots) {
  PathBackend Backend;
  Harness Fixture({Backend.address()});
  tcp::socket Caller = Fixture.connect();
  send(Caller, get("/tags/slow") + get("/tags/2") + order("/tags/3", "body") +
                   get("/tags/4", "Connection: close\r\n"));
  cr_assert(eventually([&] { return Backend.got("slow"); }));
  std::this_thread::sleep_for(50ms);
  cr_assert_eq(Fixture.Broker.Granted, 1);
  cr_assert_eq(countOf(readAll(Caller), "HTTP/1.1 200"), 4);
  cr_assert_eq(Fixture.Broker.Granted, 4);
}

// Guards against a close that is not seen because the bytes of further requests
// lie before it: the server would work on, and the requests behind would run.
Test(Pipeline, close_behind_pipelined_requests_ends_all_of_them) {
  PathBackend Backend;
  Harness Fixture({Backend.address()});
  {
    tcp::socket Caller = Fixture.connect();
    send(Caller, get("/tags/never") + get("/tags/behind") +
                     order("/tags/behind-order", "body"));
    cr_assert(eventually([&] { return Backend.got("never"); }));
  }
  cr_assert(eventually([&] { return Backend.Dropped.load(); }));
  cr_assert(eventually(
      [&] { return Fixture.Server->counters().OpenConnections == 0; }));
  cr_assert_not(Backend.got("behind"));
}

// Guards against requests that are passed on although their caller had closed
// before the one in front of them was answered: nobody gets their responses.
Test(Pipeline, close_during_a_response_keeps_requests_behind_it_back) {
  PathBackend Backend;
  Harness Fixture({Backend.address()});
  {
    tcp::socket Caller = Fixture.connect();
    send(Caller, get("/tags/slow") + order("/tags/behind", "body"));
    cr_assert(eventually([&] { return Backend.got("slow"); }));
    // The response comes 200 ms after the request.
    std::this_thread::sleep_for(150ms);
  }
  cr_assert(eventually(
      [&] { return Fixture.Server->counters().OpenConnections == 0; }));
  std::this_thread::sleep_for(100ms);
  cr_assert_not(Backend.got("behind"));
}
