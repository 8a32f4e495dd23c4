#include "../callers/harness.hpp"

#include <jujubecart/platform/http_profile.hpp>

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::test;

namespace {

const std::string IdField = "Request-Id: 9c41d07be2a35f68\r\n";
const std::string Signature = "Response-Signature: s\r\n";
const std::string Statement = "Not-Executed: 1\r\n";

/// @brief What a backend server does with each request that it has read.
struct Reaction {
  /// Bytes that it sends before it closes the connection.
  std::string Bytes;
  bool Runs = true;
  /// Keeps the connection open and sends nothing.
  bool Silent = false;
  /// Time from the request to the bytes.
  std::chrono::milliseconds Work{0};
};

Reaction served() {
  return {.Bytes = response("200 OK", "done", IdField + Signature)};
}

/// @brief Failure of a server that has run the request.
Reaction failed(const std::string &Status) {
  return {.Bytes = response(Status, "explanation",
                            IdField + Signature + "Retry-After: 1\r\n")};
}

Reaction refused(const std::string &Status) {
  return {.Bytes = response(Status, "", IdField + Statement), .Runs = false};
}

/// @brief Backend server with one reaction; counts what it runs.
class ReactingServer {
public:
  explicit ReactingServer(Reaction Kind)
      : Kind(std::move(Kind)),
        Backend([this](tcp::socket &Socket, int) { react(Socket); }) {}

  [[nodiscard]] std::string address() const { return Backend.address(); }
  [[nodiscard]] int runs() const { return Runs; }

private:
  void react(tcp::socket &Socket) {
    if (Backend.readRequest(Socket).empty())
      return;
    Runs += Kind.Runs ? 1 : 0;
    std::this_thread::sleep_for(Kind.Work);
    send(Socket, Kind.Bytes);
    boost::system::error_code Ignored;
    char Byte = 0;
    if (Kind.Silent)
      Socket.read_some(asio::buffer(&Byte, 1), Ignored);
    else
      std::this_thread::sleep_for(20ms);
  }

  Reaction Kind;
  std::atomic<int> Runs{0};
  ScriptedBackend Backend;
};

core::Route makeRoute(bool Idempotent, std::uint32_t TimeoutMs) {
  return {.Name = "r",
          .Host = "a",
          .PathPrefix = "/tags/",
          .Idempotent = Idempotent,
          .MaxAttempts = 2,
          .TimeoutMs = TimeoutMs,
          .ObjectiveMs = TimeoutMs / 2,
          .Services = {{.Service = "tags", .Weight = 1}}};
}

/// @brief How one request is made.
struct RequestOptions {
  bool Idempotent = false;
  std::uint32_t TimeoutMs = 400;
  /// When the entry VM begins to stop, after the request was sent.
  std::optional<std::chrono::milliseconds> StopAfter;
};

/// @brief One routed request to servers with given reactions.
class RequestEnd {
public:
  explicit RequestEnd(const std::vector<Reaction> &Reactions,
                      const RequestOptions &Request = {}) {
    std::vector<std::string> Addresses;
    Addresses.reserve(Reactions.size());
    for (const Reaction &Each : Reactions)
      Addresses.push_back(
          Servers.emplace_back(std::make_unique<ReactingServer>(Each))
              ->address());
    Harness::Settings Out;
    Out.Routes = {makeRoute(Request.Idempotent, Request.TimeoutMs)};
    Out.Profile = &platform::httpProfile();
    Out.Options.BufferResponsesWithoutLength = true;
    Out.RetryTokens = 5;
    Setup = std::make_unique<Harness>(Addresses, Out);
    auto Caller = Setup->connect();
    send(Caller, "POST /tags/1 HTTP/1.1\r\nHost: a\r\n" + IdField +
                     "Content-Length: 2\r\n\r\nhi");
    std::future<callers::StopReport> Stopped;
    if (Request.StopAfter) {
      std::this_thread::sleep_for(*Request.StopAfter);
      Stopped = Setup->stop(20ms);
    }
    Answer = Harness::readResponse(Caller);
  }

  [[nodiscard]] int status() const { return statusOf(Answer); }
  [[nodiscard]] int runs() const {
    int Out = 0;
    for (const auto &Each : Servers)
      Out += Each->runs();
    return Out;
  }
  [[nodiscard]] bool has(const std::string &Part) const {
    return Answer.find(Part) != std::string::npos;
  }
  [[nodiscard]] std::uint64_t replaced() const {
    return Setup->Server->counters().ReplacedStatuses;
  }

private:
  std::vector<std::unique_ptr<ReactingServer>> Servers;
  std::unique_ptr<Harness> Setup;
  std::string Answer;
};

bool promisesNotRun(int Status) {
  return Status == 429 || Status == 503 || Status == 408 || Status == 421;
}

struct Row {
  const char *Name;
  std::vector<Reaction> Servers;
  int Status;
  int Runs;
};

} // namespace

// Guards against an order that has run, or will, and is answered with a status
// that promises the opposite; and against one that is run twice, or refused
// although the next server would run it. Each row is one way in which the
// attempts of an order end.
Test(Refusal, order_is_refused_only_if_nothing_has_run) {
  const std::string Cut =
      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 99\r\n" + IdField +
      "\r\nx";
  const std::vector<Row> Rows{
      {"no server", {}, 503, 0},
      {"served", {served()}, 200, 1},
      {"refused by all", {refused("503 Unavailable")}, 503, 0},
      {"refused, served", {refused("503 Unavailable"), served()}, 200, 1},
      {"429 refused, served", {refused("429 Too Many"), served()}, 200, 1},
      {"400 refused", {refused("400 Bad Request")}, 503, 0},
      {"500 refused", {refused("500 Internal")}, 503, 0},
      {"421 without statement",
       {{.Bytes = response("421 Misdirected", "", IdField), .Runs = false},
        served()},
       200,
       1},
      {"503 after it ran", {failed("503 Unavailable"), served()}, 502, 1},
      {"429 after it ran", {failed("429 Too Many"), served()}, 502, 1},
      {"408 after it ran", {failed("408 Request Timeout"), served()}, 502, 1},
      {"500 after it ran", {failed("500 Internal"), served()}, 500, 1},
      {"404 after it ran", {failed("404 Not Found"), served()}, 404, 1},
      {"504 after it ran", {failed("504 Gateway Timeout"), served()}, 504, 1},
      {"refused, 503 after it ran",
       {refused("503 Unavailable"), failed("503 Unavailable")},
       502,
       1},
      {"refused, closed", {refused("503 Unavailable"), {.Bytes = ""}}, 502, 1},
      {"refused, silent",
       {refused("503 Unavailable"), {.Bytes = "", .Silent = true}},
       504,
       1},
      {"closed", {{.Bytes = ""}, served()}, 502, 1},
      {"silent", {{.Bytes = "", .Silent = true}, served()}, 504, 1},
      {"cut 503", {{.Bytes = Cut}, served()}, 502, 1},
      {"statement in a whole head, body cut",
       {{.Bytes = "HTTP/1.1 503 Unavailable\r\nContent-Length: 9\r\n" +
                  IdField + Statement + "\r\nx",
         .Runs = false},
        served()},
       200,
       1},
      {"statement in an interim response",
       {{.Bytes = "HTTP/1.1 103 Early Hints\r\n" + Statement + "\r\n" +
                  failed("503 Unavailable").Bytes},
        served()},
       502,
       1},
      {"statement in a trailer",
       {{.Bytes = "HTTP/1.1 503 Unavailable\r\n" + IdField +
                  "Trailer: Not-Executed\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "1\r\nx\r\n0\r\n" +
                  Statement + "\r\n"},
        served()},
       502,
       1},
      {"statement of another request",
       {{.Bytes = response("503 Unavailable", "",
                           "Request-Id: ffffffffffffffff\r\n" + Statement) +
                  failed("503 Unavailable").Bytes},
        served()},
       502,
       1},
  };
  for (const Row &Each : Rows) {
    const RequestEnd Request(Each.Servers);
    cr_expect_eq(Request.status(), Each.Status, "%s: status %d", Each.Name,
                 Request.status());
    cr_expect_eq(Request.runs(), Each.Runs, "%s: %d runs", Each.Name,
                 Request.runs());
    cr_expect_not(promisesNotRun(Request.status()) && Request.runs() > 0, "%s",
                  Each.Name);
  }
}

// Guards against a server's statement beside a success: an order that has run
// and was served would be sent to another server, or refused.
Test(Refusal, statement_beside_a_success_does_not_repeat_the_order) {
  const Reaction Contradiction{
      .Bytes = response("200 OK", "done", IdField + Signature + Statement)};
  const RequestEnd Request({Contradiction, served()});
  cr_assert_eq(Request.status(), 200);
  cr_assert_eq(Request.runs(), 1);
}

// Guards against a caller that loses what the server says of its failure, and
// against a signature or a time to come back that hold for another status.
Test(Refusal, response_with_a_replaced_status_is_passed_on) {
  for (const char *Status :
       {"503 Unavailable", "429 Too Many", "408 Request Timeout"}) {
    const RequestEnd Request({failed(Status)});
    cr_assert_eq(Request.status(), 502, "%s", Status);
    cr_assert(Request.has("HTTP/1.1 502 Bad Gateway\r\n"));
    cr_assert(Request.has(IdField));
    cr_assert(Request.has("\r\n\r\nexplanation"));
    cr_assert_not(Request.has("Response-Signature"));
    cr_assert_not(Request.has("Retry-After"));
    cr_assert_eq(Request.replaced(), 1);
  }
}

// Guards against a changed response to a request that may run more than once:
// its caller loses nothing by the status of the server.
Test(Refusal, failure_of_an_idempotent_request_is_passed_on_unchanged) {
  for (const char *Status : {"503 Unavailable", "429 Too Many"}) {
    const RequestEnd Request({failed(Status)}, {.Idempotent = true});
    cr_assert_eq(Request.status(), std::stoi(Status), "%s", Status);
    cr_assert(Request.has("\r\n\r\nexplanation"));
    cr_assert(Request.has(Signature));
    cr_assert_eq(Request.replaced(), 0);
  }
}

// Guards against an order that is answered as not run because its response, the
// deadline and a stop of the entry VM cross each other.
Test(Refusal, order_whose_end_crosses_a_deadline_or_a_stop_is_not_denied) {
  const std::vector<Reaction> Kinds{served(), failed("503 Unavailable"),
                                    failed("429 Too Many"),
                                    refused("503 Unavailable")};
  for (Reaction First : Kinds)
    for (Reaction Second : Kinds)
      for (int AfterMs = 0; AfterMs <= 40; AfterMs += 8)
        for (const bool Stop : {false, true}) {
          First.Work = Second.Work = 18ms;
          const RequestEnd Request(
              {First, Second},
              Stop ? RequestOptions{.StopAfter =
                                        std::chrono::milliseconds(AfterMs)}
                   : RequestOptions{.TimeoutMs = 1U + AfterMs});
          cr_expect_not(promisesNotRun(Request.status()) && Request.runs() > 0,
                        "stop %d after %d ms: status %d, %d runs", int(Stop),
                        AfterMs, Request.status(), Request.runs());
          cr_expect_leq(Request.runs(), 1);
        }
}

// Guards against an upload whose server refuses it before it has read all of
// it, and that is answered as if it had run, or waits for its deadline.
Test(Refusal, upload_that_is_refused_early_has_not_run) {
  constexpr std::size_t BodyBytes = 200000;
  ScriptedBackend Refusing([](tcp::socket &Socket, int) {
    std::string Head;
    boost::system::error_code Ignored;
    asio::read_until(Socket, asio::dynamic_buffer(Head), "\r\n\r\n", Ignored);
    send(Socket, refused("503 Unavailable").Bytes);
    std::this_thread::sleep_for(20ms);
  });
  Harness::Settings Out;
  Out.Routes = {makeRoute(false, 2000)};
  Out.Profile = &platform::httpProfile();
  Out.Options.MaxBufferedBodyBytes = 0;
  Out.Options.MaxBufferedUploadBytes = 0;
  Harness Setup({Refusing.address()}, Out);
  auto Caller = Setup.connect();
  send(Caller, "POST /tags/1 HTTP/1.1\r\nHost: a\r\n" + IdField +
                   "Content-Length: " + std::to_string(BodyBytes) + "\r\n\r\n" +
                   std::string(BodyBytes, 'x'));
  const std::string Answer = Harness::readResponse(Caller);
  cr_assert_eq(statusOf(Answer), 503, "%s", Answer.c_str());
  cr_assert_eq(Setup.Broker.outcomes().size(), 1);
  cr_assert(Setup.Broker.outcomes()[0] == core::CallOutcome::Rejected);
}
