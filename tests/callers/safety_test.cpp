#include "harness.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::test;

namespace {

struct Input {
  const char *Name;
  std::string Bytes;
  /// Expected status code; 0 if the connection closes without a response.
  int Status;
};

std::string getRequest(const std::string &Fields) {
  return "GET /tags HTTP/1.1\r\nHost: a\r\n" + Fields + "\r\n";
}

std::string requestForTarget(const std::string &Target) {
  return "GET " + Target + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

std::string postRequest(const std::string &Fields, const std::string &Body) {
  return "POST /tags HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\n" + Fields +
         "\r\n" + Body;
}

std::vector<Input> invalidInputs() {
  const std::string Smuggled = "GET /tags/smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
  return {
      {"length and encoding",
       postRequest("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                   "0\r\n\r\n" + Smuggled),
       400},
      {"encoding and length",
       postRequest("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
                   "0\r\n\r\n" + Smuggled),
       400},
      {"two lengths",
       postRequest("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"), 400},
      {"equal lengths",
       postRequest("Content-Length: 3\r\nContent-Length: 3\r\n", "abc"), 400},
      {"length list", postRequest("Content-Length: 3, 3\r\n", "abc"), 400},
      {"signed length", postRequest("Content-Length: +3\r\n", "abc"), 400},
      {"negative length", postRequest("Content-Length: -1\r\n", ""), 400},
      {"hexadecimal length", postRequest("Content-Length: 0x3\r\n", "abc"),
       400},
      {"huge length",
       postRequest("Content-Length: 99999999999999999999999\r\n", "abc"), 400},
      {"length above the limit",
       postRequest("Content-Length: 99999999999\r\n", ""), 413},
      {"no length", postRequest("", ""), 411},
      {"unknown encoding", postRequest("Transfer-Encoding: gzip\r\n", "x"),
       400},
      {"encoding list",
       postRequest("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), 400},
      {"encoding with a tab suffix",
       postRequest("Transfer-Encoding: chunked\x0b\r\n", "0\r\n\r\n"), 400},
      {"two encodings",
       postRequest(
           "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
           "0\r\n\r\n"),
       400},
      {"encoding in HTTP/1.0",
       "POST /tags HTTP/1.0\r\nHost: a\r\nIdempotency-Key: k\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       400},
      {"bad chunk size",
       postRequest("Transfer-Encoding: chunked\r\n", "zz\r\nabc"), 400},
      {"negative chunk size",
       postRequest("Transfer-Encoding: chunked\r\n", "-1\r\nabc\r\n0\r\n\r\n"),
       400},
      {"overflowing chunk size",
       postRequest("Transfer-Encoding: chunked\r\n",
                   "fffffffffffffffff\r\nabc\r\n0\r\n\r\n"),
       400},
      {"chunk above the limit",
       postRequest("Transfer-Encoding: chunked\r\n", "ffffffff\r\nabc"), 413},
      {"chunk without its end",
       postRequest("Transfer-Encoding: chunked\r\n", "3\r\nabcX0\r\n\r\n"),
       400},
      {"folded field", getRequest("X-A: 1\r\n 2\r\n"), 400},
      {"fold before the first field", "GET /tags HTTP/1.1\r\n Host: a\r\n\r\n",
       400},
      {"bare line feed", "GET /tags HTTP/1.1\nHost: a\n\n", 400},
      {"bare line feed in a field", getRequest("X-A: 1\nX-B: 2\r\n"), 400},
      {"bare carriage return", getRequest("X-A: 1\rX-B: 2\r\n"), 400},
      {"zero byte", getRequest(std::string("X-A: 1\0002\r\n", 10)), 400},
      {"space before the colon", getRequest("Content-Length : 3\r\n"), 400},
      {"space in a field name", getRequest("X A: 1\r\n"), 400},
      {"empty field name", getRequest(": 1\r\n"), 400},
      {"field without a colon", getRequest("X-A\r\n"), 400},
      {"two hosts", getRequest("Host: b\r\n"), 400},
      {"no host", "GET /tags HTTP/1.1\r\n\r\n", 400},
      {"empty host", "GET /tags HTTP/1.1\r\nHost: \r\n\r\n", 400},
      {"host with a path", "GET /tags HTTP/1.1\r\nHost: a/b\r\n\r\n", 400},
      {"host with user info", "GET /tags HTTP/1.1\r\nHost: u@a\r\n\r\n", 400},
      {"host with a bad port", "GET /tags HTTP/1.1\r\nHost: a:99999\r\n\r\n",
       400},
      {"absolute target with user info", requestForTarget("http://u@a/tags"),
       400},
      {"other scheme", requestForTarget("ftp://a/tags"), 400},
      {"authority as target", requestForTarget("a:80"), 400},
      {"asterisk with GET", requestForTarget("*"), 400},
      {"relative target", requestForTarget("tags"), 400},
      {"fragment", requestForTarget("/tags#x"), 400},
      {"dot segments", requestForTarget("/tags/../admin"), 400},
      {"encoded dot segments", requestForTarget("/tags/%2e%2E/admin"), 400},
      {"encoded slash before dots", requestForTarget("/tags%2f../admin"), 400},
      {"dots before an encoded slash", requestForTarget("/tags/..%2fadmin"),
       400},
      {"bad percent encoding", requestForTarget("/tags/%zz"), 400},
      {"encoded zero byte", requestForTarget("/tags/%00"), 400},
      {"high byte in the target", requestForTarget("/tags/\xff"), 400},
      {"two spaces", "GET  /tags HTTP/1.1\r\nHost: a\r\n\r\n", 400},
      {"no version", "GET /tags\r\nHost: a\r\n\r\n", 400},
      {"version 2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400},
      {"TLS handshake", std::string("\x16\x03\x01\x02\x00\r\n\r\n", 9), 400},
      {"CONNECT", "CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n", 405},
      {"TRACE", "TRACE /tags HTTP/1.1\r\nHost: a\r\n\r\n", 405},
      {"large head", getRequest("X-A: " + std::string(20000, 'x') + "\r\n"),
       431},
      {"unknown Expect", postRequest("Content-Length: 1\r\nExpect: x\r\n", "a"),
       417},
      {"bad deadline", getRequest("X-Deadline: soon\r\n"), 400},
      {"two deadlines",
       getRequest("X-Deadline: 1\r\nX-Deadline: 99999999999999\r\n"), 400},
      {"bad call depth", getRequest("X-Call-Depth: -1\r\n"), 400},
      {"endless call depth", getRequest("X-Call-Depth: 1000\r\n"), 400},
      {"two order keys",
       postRequest("Idempotency-Key: j\r\nContent-Length: 0\r\n", ""), 400},
  };
}

} // namespace

// Guards against request smuggling, where this server and a backend server
// parse the same bytes as different requests, and against paths that a backend
// server resolves to a path outside of the matching rule.
Test(Safety, bad_input_is_refused_and_never_forwarded) {
  ScriptedBackend Backend(answerWith("x"));
  Harness Fixture({Backend.address()});
  const std::vector<Input> Inputs = invalidInputs();
  cr_assert_geq(Inputs.size(), 30);
  for (const Input &Each : Inputs) {
    auto Caller = Fixture.connect();
    send(Caller, Each.Bytes);
    std::string Answer;
    boost::system::error_code Code;
    // Reads until the connection closes: a second response would mean that
    // smuggled bytes were served as a request.
    asio::read(Caller, asio::dynamic_buffer(Answer), Code);
    cr_expect_eq(statusOf(Answer), Each.Status, "%s: %s", Each.Name,
                 Answer.c_str());
    cr_expect_eq(Answer.find("HTTP/1.1 ", 1), std::string::npos, "%s",
                 Each.Name);
    cr_expect_neq(Answer.find("X-Outcome: not-run"), std::string::npos, "%s",
                  Each.Name);
  }
  cr_assert_eq(Backend.connections(), 0);
  cr_assert_eq(Fixture.Broker.Granted, 0);
}

// Guards against hop-by-hop fields, which concern one connection only, that are
// relayed to the backend server or to the caller.
Test(Safety, hop_by_hop_fields_are_removed_in_both_directions) {
  ScriptedBackend *Self = nullptr;
  ScriptedBackend Backend([&](tcp::socket &Socket, int) {
    while (!Self->readRequest(Socket).empty())
      send(Socket, response("200 OK", "x",
                            "Connection: X-Private\r\nX-Private: 1\r\n"
                            "Keep-Alive: timeout=9\r\nX-Public: 1\r\n"
                            "X-Outcome: not-run\r\n"));
  });
  Self = &Backend;
  Harness Fixture({Backend.address()});
  const std::string Answer = Fixture.call(
      "GET http://b:81/tags?q=1 HTTP/1.1\r\nHost: a\r\nTE: x\r\n"
      "Connection: keep-alive, X-Mine\r\nConnection: x-also\r\n"
      "X-Mine: 1\r\nX-Also: 1\r\nUpgrade: h2c\r\nX-Kept: 1\r\n\r\n");
  cr_assert_eq(statusOf(Answer), 200, "%s", Answer.c_str());
  for (const char *Removed : {"X-Private", "Keep-Alive", "X-Outcome"})
    cr_assert_eq(Answer.find(Removed), std::string::npos, "%s", Removed);
  cr_assert_neq(Answer.find("X-Public: 1"), std::string::npos);
  const std::string Received = Backend.requests()[0];
  for (const char *Removed :
       {"X-Mine", "X-Also", "Upgrade", "TE:", "Connection", "Host: a"})
    cr_assert_eq(Received.find(Removed), std::string::npos, "%s", Removed);
  cr_assert_eq(Received.rfind("GET /tags?q=1 HTTP/1.1\r\nHost: b:81\r\n", 0), 0,
               "%s", Received.c_str());
  cr_assert_neq(Received.find("X-Kept: 1"), std::string::npos);
}

// Guards against a deadlock with a caller that waits for `100 Continue` before
// it sends the body.
Test(Safety, expect_100_continue_is_answered) {
  ScriptedBackend *Self = nullptr;
  ScriptedBackend Backend([&](tcp::socket &Socket, int) {
    Self->readRequest(Socket);
    send(Socket, response("200 OK", "done"));
  });
  Self = &Backend;
  Harness Fixture({Backend.address()});
  auto Caller = Fixture.connect();
  send(Caller,
       postRequest("Content-Length: 3\r\nExpect: 100-continue\r\n", ""));
  cr_assert_eq(Harness::readResponse(Caller), "HTTP/1.1 100 Continue\r\n\r\n");
  send(Caller, "abc");
  cr_assert_eq(statusOf(Harness::readResponse(Caller)), 200);
  cr_assert_neq(Backend.requests()[0].find("\r\n\r\nabc"), std::string::npos);
}

// Guards against responses in the wrong order when a caller sends further
// requests before it has received the first response (pipelining).
Test(Safety, pipelined_requests_are_answered_in_order) {
  ScriptedBackend *Self = nullptr;
  ScriptedBackend Backend([&](tcp::socket &Socket, int) {
    for (std::string Received; !(Received = Self->readRequest(Socket)).empty();)
      send(Socket, response("200 OK", Received.substr(4, 7)));
  });
  Self = &Backend;
  Harness Fixture({Backend.address()});
  auto Caller = Fixture.connect();
  send(Caller, requestForTarget("/tags/1") + requestForTarget("/tags/2") +
                   "GET /tags/3 HTTP/1.1\r\nHost: a\r\nConnection: close"
                   "\r\n\r\n");
  std::string Answers;
  boost::system::error_code Code;
  asio::read(Caller, asio::dynamic_buffer(Answers), Code);
  const std::size_t One = Answers.find("\r\n\r\n/tags/1");
  const std::size_t Two = Answers.find("\r\n\r\n/tags/2");
  const std::size_t Three = Answers.find("\r\n\r\n/tags/3");
  cr_assert(One < Two && Two < Three && Three != std::string::npos, "%s",
            Answers.c_str());
}
