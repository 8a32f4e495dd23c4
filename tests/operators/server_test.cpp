#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <jujubecart/operators/client.hpp>
#include <jujubecart/operators/server.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace jujubecart;

namespace {

class FakeApi final : public operators::Api {
public:
  operators::Response submitTicket(const std::string &Text) override {
    return {.Status = 200, .Body = std::to_string(Text.size())};
  }
  operators::Response showTicket(std::uint64_t Number) override {
    return {.Status = 200, .Body = std::to_string(Number)};
  }
  operators::Response services() override {
    throw std::runtime_error("broken");
  }
  operators::Response status() override { return {.Body = "{}"}; }
  operators::Response
  timeline(const operators::TimelineQuery &Filter) override {
    return {.Body = std::to_string(Filter.Since)};
  }
  operators::Response metrics() override {
    return {.ContentType = "text/plain", .Body = "m 1\n"};
  }
  operators::Response readiness() override {
    return {.Status = 503, .Body = "no configuration"};
  }
};

std::uint16_t freePort() {
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Length = sizeof(Address);
  (void)bind(Socket, reinterpret_cast<sockaddr *>(&Address), Length);
  (void)getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length);
  (void)close(Socket);
  return ntohs(Address.sin_port);
}

/// Runs a server on a free loopback port.
class ServerFixture {
public:
  [[nodiscard]] operators::Response fetch(const std::string &Path) const {
    return client().fetch(Path).value();
  }
  [[nodiscard]] operators::Client client() const {
    return {"127.0.0.1:" + std::to_string(Port), {}, std::chrono::seconds(5)};
  }

private:
  FakeApi Endpoints;
  std::uint16_t Port = freePort();
  operators::Server Http{"127.0.0.1", Port, {}, Endpoints};
};

} // namespace

// Guards against a large request body that is truncated because it arrives in
// several reads.
Test(OperatorServer, large_ticket_arrives_whole) {
  const ServerFixture Fixture;
  const std::string Body(900000, 'x');
  cr_assert_eq(Fixture.client().post("/tickets", Body).value().Body, "900000");
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

// Guards against a failed connect that is reported as an unknown outcome,
// although the request was certainly not sent.
Test(OperatorClient, closed_port_is_unavailable) {
  const operators::Client Client("127.0.0.1:" + std::to_string(freePort()), {},
                                 std::chrono::seconds(1));
  cr_assert(Client.post("/tickets", "{}").error() ==
            core::make_error_code(core::Error::Unavailable));
}
