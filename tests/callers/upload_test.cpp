#include "harness.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::test;

namespace {

constexpr std::size_t BodyBytes = 200000;

/// @brief Body whose bytes differ by position, so that a lost, repeated or
/// moved part shows.
std::string makeBody() {
  std::string Body(BodyBytes, '\0');
  for (std::size_t At = 0; At < Body.size(); ++At)
    Body[At] = static_cast<char>('a' + At * At / 7 % 26);
  return Body;
}

std::string uploadHead(std::size_t Length) {
  return "POST /tags/1 HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(Length) + "\r\n\r\n";
}

Harness::Settings uploadSettings() {
  Harness::Settings Out{.RetryTokens = 5};
  Out.Routes = {{.Name = "r",
                 .Host = "a",
                 .PathPrefix = "/tags/",
                 .Idempotent = false,
                 .MaxAttempts = 2,
                 .TimeoutMs = 1500,
                 .ObjectiveMs = 500,
                 .Services = {{.Service = "tags", .Weight = 1}}}};
  return Out;
}

/// @brief Backend server that reads one upload per connection and responds.
struct UploadBackend {
  explicit UploadBackend(std::string Answer)
      : Backend([this, Answer = std::move(Answer)](tcp::socket &Socket, int) {
          Backend.readRequest(Socket);
          send(Socket, Answer);
        }) {}

  /// @brief Bodies of the uploads that arrived whole.
  std::vector<std::string> bodies() {
    std::vector<std::string> Out;
    for (const std::string &Request : Backend.requests())
      Out.push_back(Request.substr(Request.find("\r\n\r\n") + 4));
    return Out;
  }

  ScriptedBackend Backend;
};

const std::string NotRun =
    response("503 Service Unavailable", "", "X-Outcome: not-run\r\n");

} // namespace

// Guards against refusing an upload that a server rejected without running it,
// because its body is no longer there for another server.
Test(Upload, rejected_upload_is_sent_whole_to_another_server) {
  UploadBackend Full(NotRun);
  UploadBackend Free(response("200 OK", "stored"));
  Harness Fixture({Full.Backend.address(), Free.Backend.address()},
                  uploadSettings());
  const std::string Body = makeBody();
  cr_assert_eq(statusOf(Fixture.call(uploadHead(Body.size()) + Body)), 200);
  cr_assert_eq(Free.bodies().size(), 1);
  cr_assert(Free.bodies().front() == Body);
}

// Guards against sending an upload again that may have run.
Test(Upload, upload_without_response_is_not_sent_again) {
  UploadBackend Silent("");
  UploadBackend Free(response("200 OK", "stored"));
  Harness Fixture({Silent.Backend.address(), Free.Backend.address()},
                  uploadSettings());
  const std::string Body = makeBody();
  cr_assert_eq(statusOf(Fixture.call(uploadHead(Body.size()) + Body)), 502);
  cr_assert_eq(Free.Backend.connections(), 0);
}

// Guards against unbounded memory: without room in the budget, the body is
// streamed, and a rejected one is answered so that the caller can send it
// again.
Test(Upload, upload_without_memory_is_streamed_and_not_repeated) {
  UploadBackend Free(response("200 OK", "stored"));
  UploadBackend Full(NotRun);
  const std::string Body = makeBody();
  Harness::Settings NoMemory = uploadSettings();
  NoMemory.Options.BufferedBodyBudget = 4096;
  Harness Fixture({Free.Backend.address()}, NoMemory);
  cr_assert_eq(statusOf(Fixture.call(uploadHead(Body.size()) + Body)), 200);
  cr_assert(Free.bodies().front() == Body);
  Harness Rejecting({Full.Backend.address(), Free.Backend.address()}, NoMemory);
  cr_assert_eq(statusOf(Rejecting.call(uploadHead(Body.size()) + Body)), 503);
  cr_assert_eq(Free.bodies().size(), 1);
}

// Guards against an upload that stalls and keeps a slot, or reaches a server in
// part.
Test(Upload, stalled_upload_is_answered_408_and_reaches_no_server) {
  UploadBackend Free(response("200 OK", "stored"));
  Harness::Settings Impatient = uploadSettings();
  Impatient.Options.BodyTimeout = 100ms;
  Harness Fixture({Free.Backend.address()}, Impatient);
  const std::string Part = makeBody().substr(0, BodyBytes / 2);
  cr_assert_eq(statusOf(Fixture.call(uploadHead(BodyBytes) + Part)), 408);
  cr_assert_eq(Free.Backend.connections(), 0);
}

// Guards against an upload that breaks off and runs in part, and against memory
// that stays taken after it.
Test(Upload, upload_that_breaks_off_leaves_nothing_behind) {
  UploadBackend Free(response("200 OK", "stored"));
  Harness::Settings OneUpload = uploadSettings();
  // Room for one body of the test only.
  OneUpload.Options.BufferedBodyBudget = BodyBytes;
  Harness Fixture({Free.Backend.address()}, OneUpload);
  const std::string Body = makeBody();
  {
    tcp::socket Caller = Fixture.connect();
    send(Caller, uploadHead(BodyBytes) + Body.substr(0, BodyBytes / 2));
    std::this_thread::sleep_for(50ms);
  }
  cr_assert(eventually(
      [&] { return Fixture.Server->counters().OpenConnections == 0; }));
  cr_assert_eq(Free.Backend.connections(), 0);
  cr_assert_eq(statusOf(Fixture.call(uploadHead(Body.size()) + Body)), 200);
  cr_assert(Free.bodies().front() == Body);
}

// Guards against a backend server that works on for a caller that has left,
// because nobody watches the caller's connection once its body was streamed.
Test(Upload, streamed_upload_of_a_caller_that_has_left_is_cancelled) {
  std::atomic<bool> Dropped{false};
  ScriptedBackend *Self = nullptr;
  ScriptedBackend Backend([&](tcp::socket &Socket, int) {
    Self->readRequest(Socket);
    std::string Rest;
    boost::system::error_code Code;
    asio::read(Socket, asio::dynamic_buffer(Rest), Code);
    Dropped = true;
  });
  // NOLINTNEXTLINE(clang-analyzer-deadcode.DeadStores): read by reference
  Self = &Backend;
  Harness::Settings NoMemory = uploadSettings();
  NoMemory.Options.BufferedBodyBudget = 4096;
  NoMemory.Routes.front().TimeoutMs = 20000;
  NoMemory.DeadlineMs = 20000;
  const std::string Body = makeBody();
  for (const std::string &Head :
       {uploadHead(Body.size()),
        std::string("POST /tags/1 HTTP/1.1\r\nHost: a\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n30d40\r\n")}) {
    Harness Fixture({Backend.address()}, NoMemory);
    const std::size_t Before = Backend.requests().size();
    Dropped = false;
    auto Caller = Fixture.connect();
    send(Caller, Head + Body);
    if (Head.find("chunked") != std::string::npos)
      send(Caller, "\r\n0\r\n\r\n");
    cr_assert(eventually([&] { return Backend.requests().size() > Before; }));
    cr_assert_not(Dropped);
    Caller.close();
    cr_assert(eventually([&] { return Dropped.load(); }));
  }
}

// Guards against a body above the limit that is forwarded in part.
Test(Upload, upload_above_the_limit_is_answered_413_and_reaches_no_server) {
  UploadBackend Free(response("200 OK", "stored"));
  Harness::Settings Small = uploadSettings();
  Small.Limits.BodyBytes = BodyBytes / 2;
  Harness Fixture({Free.Backend.address()}, Small);
  const std::string Body = makeBody();
  cr_assert_eq(statusOf(Fixture.call(uploadHead(Body.size()) + Body)), 413);
  const std::string Chunked =
      "POST /tags/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "30d40\r\n" +
      Body + "\r\n0\r\n\r\n";
  cr_assert_eq(statusOf(Fixture.call(Chunked)), 413);
  cr_assert_eq(Free.Backend.connections(), 0);
}
