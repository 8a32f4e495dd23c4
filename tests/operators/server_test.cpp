#include "../common/answering_server.hpp"
#include "../common/certificates.hpp"
#include "../common/endless_server.hpp"
#include "../common/odd_responses.hpp"
#include "fake_api.hpp"

#include <array>
#include <criterion/criterion.h>
#include <future>
#include <jujubecart/operators/client.hpp>
#include <memory>
#include <thread>
#include <vector>

using namespace jujubecart;
using namespace jujubecart::test;
using namespace std::chrono_literals;

namespace {

/// Runs a server on a free loopback port.
class ServerFixture {
public:
  [[nodiscard]] operators::Response fetch(const std::string &Path) const {
    return client().fetch(Path).value();
  }
  [[nodiscard]] std::uint16_t port() const noexcept { return Port; }
  [[nodiscard]] operators::Client client() const {
    return {"127.0.0.1:" + std::to_string(Port), {}, std::chrono::seconds(5)};
  }

private:
  FakeApi Endpoints;
  std::uint16_t Port = freePort();
  operators::Server Http{"127.0.0.1", Port, {}, Endpoints};
};

/// @brief Connection that sends any bytes and reads only when told to.
class RawClient {
public:
  explicit RawClient(std::uint16_t Port)
      : Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Address.sin_port = htons(Port);
    cr_assert_eq(connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                         sizeof(Address)),
                 0);
  }
  RawClient(const RawClient &) = delete;
  RawClient &operator=(const RawClient &) = delete;
  ~RawClient() { (void)close(Socket); }

  void send(const std::string &Bytes) const {
    (void)::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }
  /// @brief Reads until the server closes the connection.
  [[nodiscard]] std::string readAll() const {
    std::string Out;
    std::array<char, 4096> Part{};
    for (ssize_t Size = 0;
         (Size = recv(Socket, Part.data(), Part.size(), 0)) > 0;)
      Out.append(Part.data(), static_cast<std::size_t>(Size));
    return Out;
  }

private:
  const int Socket;
};

} // namespace

// Guards against a large request body that is truncated because it arrives in
// several reads.
Test(OperatorServer, large_ticket_arrives_whole) {
  const ServerFixture Fixture;
  const std::string Body(900000, 'x');
  cr_assert_eq(Fixture.client().post("/tickets", Body).value().Body, "900000");
}

// Guards against a ticket that is cut at the limit, and against a client that
// does not learn why it was rejected, since it sends all before it reads.
Test(OperatorServer, oversized_ticket_is_rejected_after_its_last_byte) {
  const ServerFixture Fixture;
  const std::string Body((4U << 20U) + 1, 'x');
  cr_assert_eq(Fixture.client().post("/tickets", Body).value().Status, 413);
  const std::string Largest(4U << 20U, 'x');
  cr_assert_eq(Fixture.client().post("/tickets", Largest).value().Body,
               std::to_string(Largest.size()));
}

// Guards against a client that gets no response, or a wrong one, on a
// connection that it keeps, or with chunks.
Test(OperatorServer, kept_connection_carries_several_requests) {
  const ServerFixture Fixture;
  const RawClient Client(Fixture.port());
  Client.send("GET /tickets/17 HTTP/1.1\r\nHost: a\r\n\r\n"
              "POST /tickets HTTP/1.1\r\nHost: a\r\n"
              "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
              "GET /nothing HTTP/1.0\r\n\r\n");
  const std::string Received = Client.readAll();
  cr_assert(Received.find("\r\n\r\n17HTTP/1.1 200") != std::string::npos);
  cr_assert(Received.find("\r\n\r\n3HTTP/1.1 404") != std::string::npos);
  const RawClient Odd(Fixture.port());
  Odd.send("what is this?\r\n\r\n");
  cr_assert_eq(Odd.readAll().rfind("HTTP/1.1 400", 0), 0);
}

// Guards against a readiness check that fails while operators submit tickets
// and the store does not respond, and against tickets that are cut off by a
// stop.
Test(OperatorServer, waiting_tickets_leave_room_for_readiness_checks) {
  std::promise<void> MayEnd;
  FakeApi Endpoints;
  Endpoints.TicketsMayEnd = MayEnd.get_future().share();
  const std::uint16_t Port = freePort();
  auto Http = std::make_unique<operators::Server>(
      "127.0.0.1", Port, operators::TlsFiles{}, Endpoints);
  std::vector<std::unique_ptr<RawClient>> Clients;
  for (int Count = 0; Count < 7; ++Count) {
    Clients.push_back(std::make_unique<RawClient>(Port));
    Clients.back()->send("POST /tickets HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  }
  std::this_thread::sleep_for(100ms);
  const operators::Client Checker("127.0.0.1:" + std::to_string(Port), {}, 2s);
  cr_assert_eq(Checker.fetch("/ready").value().Status, 503);
  std::thread Stop([&] { Http.reset(); });
  std::this_thread::sleep_for(50ms);
  MayEnd.set_value();
  Stop.join();
  for (const auto &Each : Clients)
    cr_expect_eq(Each->readAll().rfind("HTTP/1.1 200", 0), 0);
}

// Guards against a VM that is killed at the end of its grace time, because its
// server waits for connections in any state.
Test(OperatorServer, server_ends_in_time_whatever_its_connections_do) {
  std::string Pipelined;
  for (int Count = 0; Count < 1000; ++Count)
    Pipelined += "GET /metrics HTTP/1.1\r\n\r\n";
  const std::string Sent[] = {
      "", "GET /st", "POST /tickets HTTP/1.1\r\nContent-Length: 9\r\n\r\nx",
      "GET /status HTTP/1.1\r\n\r\n", Pipelined};
  const tests::Certificates Files;
  for (const bool Encrypted : {false, true}) {
    FakeApi Endpoints;
    // More than the socket buffers hold.
    Endpoints.Metrics = std::string(1U << 20U, 'm');
    const std::uint16_t Port = freePort();
    const operators::TlsFiles Tls{.Certificate = Files.path("good.pem"),
                                  .Key = Files.path("good.key"),
                                  .Ca = Files.path("ca.pem")};
    auto Http = std::make_unique<operators::Server>(
        "127.0.0.1", Port, Encrypted ? Tls : operators::TlsFiles{}, Endpoints);
    std::vector<std::unique_ptr<RawClient>> Clients;
    for (const std::string &Each : Sent) {
      Clients.push_back(std::make_unique<RawClient>(Port));
      Clients.back()->send(Each);
    }
    std::this_thread::sleep_for(200ms);
    const auto Begin = std::chrono::steady_clock::now();
    Http.reset();
    cr_expect_lt((std::chrono::steady_clock::now() - Begin) / 1ms, 3000);
  }
}

// Guards against a readiness check that reports success while the VM is not
// ready, so that the platform's load balancer would send callers to it.
Test(OperatorServer, readiness_failure_gives_503) {
  const ServerFixture Fixture;
  cr_assert_eq(Fixture.fetch("/ready").Status, 503);
  cr_assert_eq(Fixture.fetch("/status").Status, 200);
}

// Guards against invalid paths, ticket numbers or methods, and exceptions of a
// handler, that crash the server or give a success status.
Test(OperatorServer, bad_request_gives_clear_error) {
  const ServerFixture Fixture;
  cr_assert_eq(Fixture.fetch("/tickets/abc").Status, 400);
  cr_assert_eq(Fixture.fetch("/tickets/0").Status, 400);
  cr_assert_eq(Fixture.fetch("/tickets/17").Body, "17");
  cr_assert_eq(Fixture.fetch("/tickets").Status, 405);
  cr_assert_eq(Fixture.fetch("/nothing").Status, 404);
  cr_assert_eq(Fixture.fetch("/services").Status, 500);
  cr_assert_eq(Fixture.fetch("/timeline?since=12&x=y").Body, "12");
}

// Guards against a query that is explained for another request than was asked
// for, and against an error that does not tell which parameter is wrong.
Test(OperatorServer, explain_query_is_passed_on_or_names_the_bad_parameter) {
  const ServerFixture Fixture;
  const operators::ExplainQuery Query{.Host = "shop.example",
                                      .Path = "/a b?c=1&d=%2f",
                                      .Method = "POST",
                                      .Workspace = "",
                                      .Key = core::digestOf("secret"),
                                      .Group = "tags/alfold/0",
                                      .Vm = "vm 1",
                                      .Excluded = {"b1", "b&2"}};
  const std::string Text = operators::toQueryString(Query);
  cr_assert(operators::parseExplainQuery(Text).Query == Query);
  cr_assert_eq(Fixture.fetch("/explain?" + Text).Body, Text);
  cr_assert_eq(operators::parseExplainQuery("host=A.b:80&path=/").Query.Host,
               "a.b");
  const struct {
    const char *Text;
    const char *Parameter;
  } Bad[] = {{"path=/", "host"},
             {"host=a", "path"},
             {"host=a%20b&path=/", "host"},
             {"host=a&path=x", "path"},
             {"host=a&path=/%0a", "path"},
             {"host=a&path=/%2", "path"},
             {"host=a&path=/&method=get", "method"},
             {"host=a&host=b&path=/", "host"},
             {"host=a&path=/&workspace=", "workspace"},
             {"host=a&path=/&key_digest=12", "key_digest"},
             {"host=a&path=/&key=secret", "key"}};
  for (const auto &Each : Bad) {
    const operators::Response Result =
        Fixture.fetch("/explain?" + std::string(Each.Text));
    cr_expect_eq(Result.Status, 400, "%s", Each.Text);
    cr_expect(Result.Body.find("parameter \\\"" + std::string(Each.Parameter) +
                               "\\\"") != std::string::npos,
              "%s: %s", Each.Text, Result.Body.c_str());
  }
}

// Guards against a failed connect that is reported as an unknown outcome,
// although the request was certainly not sent.
Test(OperatorClient, closed_port_is_unavailable) {
  const operators::Client Client("127.0.0.1:" + std::to_string(freePort()), {},
                                 std::chrono::seconds(1));
  cr_assert(Client.post("/tickets", "{}").error() ==
            core::make_error_code(core::Error::Unavailable));
}

// Guards against an operator's command that fills the memory, or never ends,
// because what answers at the address sends bytes without end.
Test(OperatorClient, response_without_end_is_rejected_at_a_limit) {
  for (const tests::EndlessCase &Each : tests::endlessCases()) {
    tests::EndlessServer Server(Each.Start, Each.Repeated);
    const operators::Client Client(Server.address(), {},
                                   std::chrono::seconds(20));
    cr_assert_not(Client.fetch("/status").has_value(), "%s", Each.Name);
    // Twice the largest response, which leaves room for the socket buffers.
    cr_assert_leq(Server.Sent, 32U << 20U, "%s", Each.Name);
  }
}

// Guards against a command that reports as the VM's answer what is no HTTP
// response.
Test(OperatorClient, odd_response_is_rejected) {
  const auto Fetch = [](const std::string &Answer) {
    const tests::AnsweringServer Server(Answer);
    return operators::Client(Server.address(), {}, std::chrono::seconds(20))
        .fetch("/status");
  };
  cr_assert_eq(Fetch("HTTP/1.1 200 OK\r\n\r\nx").value().Body, "x");
  for (const tests::OddResponse &Each : tests::oddResponses())
    cr_expect_not(Fetch(Each.Bytes).has_value(), "%s", Each.Name);
}

// Guards against a command that waits for a VM which has stopped responding, or
// that reports its request as certainly not sent.
Test(OperatorClient, silent_server_ends_the_request_at_the_timeout) {
  for (const char *Start : {"", "HTTP/1.1 200 OK\r\nA:",
                            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"}) {
    const tests::AnsweringServer Server(Start, false);
    const operators::Client Client(Server.address(), {},
                                   std::chrono::milliseconds(200));
    cr_assert(Client.post("/tickets", "{}").error() ==
                  core::make_error_code(core::Error::OutcomeUnknown),
              "%s", Start);
  }
}
