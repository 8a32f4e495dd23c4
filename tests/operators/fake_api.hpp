#ifndef JUJUBECART_TESTS_OPERATORS_FAKE_API_HPP
#define JUJUBECART_TESTS_OPERATORS_FAKE_API_HPP

#include <arpa/inet.h>
#include <future>
#include <jujubecart/operators/server.hpp>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace jujubecart::test {

/// @brief Endpoints with fixed responses.
class FakeApi final : public operators::Api {
public:
  operators::Response submitTicket(const std::string &Text) override {
    if (TicketsMayEnd.valid())
      TicketsMayEnd.wait();
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
  operators::Response explain(const operators::ExplainQuery &Query) override {
    return {.Body = operators::toQueryString(Query)};
  }
  operators::Response metrics() override {
    return {.ContentType = "text/plain", .Body = Metrics};
  }
  operators::Response readiness() override {
    return {.Status = 503, .Body = "no configuration"};
  }

  std::string Metrics = "m 1\n";
  /// Tickets wait for it, if it is set.
  std::shared_future<void> TicketsMayEnd;
};

/// @brief Port of the loopback on which nothing listens.
inline std::uint16_t freePort() {
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

} // namespace jujubecart::test

#endif
