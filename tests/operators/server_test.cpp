#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <jujubecart/operators/client.hpp>
#include <jujubecart/operators/server.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace jujubecart;

namespace {

class RecordingApi final : public operators::Api {
public:
  operators::Answer submitTicket(const std::string &Text) override {
    return {.Status = 200, .Body = std::to_string(Text.size())};
  }
  operators::Answer showTicket(std::uint64_t Number) override {
    return {.Status = 200, .Body = std::to_string(Number)};
  }
  operators::Answer services() override { throw std::runtime_error("broken"); }
  operators::Answer status() override { return {.Body = "{}"}; }
  operators::Answer timeline(const operators::Query &Filter) override {
    return {.Body = std::to_string(Filter.Since)};
  }
  operators::Answer metrics() override {
    return {.ContentType = "text/plain", .Body = "m 1\n"};
  }
  operators::Answer readiness() override {
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
  [[nodiscard]] operators::Answer fetch(const std::string &Path) const {
    return client().fetch(Path).value();
  }
  [[nodiscard]] operators::Client client() const {
    return {"127.0.0.1:" + std::to_string(Port), {}, std::chrono::seconds(5)};
  }

private:
  RecordingApi Endpoints;
  std::uint16_t Port = freePort();
  operators::Server Http{"127.0.0.1", Port, {}, Endpoints};
};

} // namespace

// Guards against a ticket that is cut off on its way.
Test(OperatorServer, large_ticket_arrives_whole) {
  const ServerFixture Fixture;
  const std::string Body(900000, 'x');
  cr_assert_eq(Fixture.client().post("/tickets", Body).value().Body, "900000");
}

// Guards against a wrong status for the platform's balancer.
Test(OperatorServer, readiness_failure_gives_503) {
  const ServerFixture Fixture;
  cr_assert_eq(Fixture.fetch("/ready").Status, 503);
  cr_assert_eq(Fixture.fetch("/status").Status, 200);
}

// Guards against bad input that crashes or is accepted.
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

// Guards against reporting an unreachable VM as an unknown outcome.
Test(OperatorClient, nobody_listening_is_unavailable) {
  const operators::Client Client("127.0.0.1:" + std::to_string(freePort()), {},
                                 std::chrono::seconds(1));
  cr_assert(Client.post("/tickets", "{}").error() ==
            core::make_error_code(core::Error::Unavailable));
}
