#include "harness.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::test;

namespace {

constexpr core::CallerLimits Low{.HeaderBytes = 1000,
                                 .BodyBytes = 1000,
                                 .HeaderTimeoutMs = 300,
                                 .IdleTimeoutMs = 300};
constexpr core::CallerLimits High{.HeaderBytes = 20000,
                                  .BodyBytes = 20000,
                                  .HeaderTimeoutMs = 5000,
                                  .IdleTimeoutMs = 5000};

/// @brief A caller with one connection; the limits can be replaced.
struct Fixture {
  explicit Fixture(const core::CallerLimits &Limits, bool Configured = true)
      : Setup({Backend.address()}, settings(Limits, Configured)),
        Link(Setup.connect()) {}

  static Harness::Settings settings(const core::CallerLimits &Limits,
                                    bool Configured) {
    Harness::Settings Out;
    Out.Routes = {{.Name = "r",
                   .Host = "a",
                   .PathPrefix = "/tags/",
                   .Idempotent = true,
                   .MaxAttempts = 1,
                   .TimeoutMs = 4000,
                   .ObjectiveMs = 1000,
                   .Services = {{.Service = "tags", .Weight = 1}}}};
    Out.Limits = Limits;
    Out.Configured = Configured;
    // Those of a VM without a configuration.
    Out.Options.MaxHeadBytes = Limits.HeaderBytes;
    Out.Options.MaxBodyBytes = Limits.BodyBytes;
    Out.Options.HeadTimeout = std::chrono::milliseconds(Limits.HeaderTimeoutMs);
    Out.Options.IdleTimeout = std::chrono::milliseconds(Limits.IdleTimeoutMs);
    return Out;
  }

  /// @brief Puts a configuration with other limits into force.
  void setLimits(const core::CallerLimits &Limits) {
    core::ServiceConfig Service{.Name = "tags"};
    Service.Servers = {{.Id = "s0", .Address = Backend.address(), .Slots = 2}};
    const core::Revision Next = Setup.Config.current()->revision() + 1;
    cr_assert(Setup.Config.apply(std::make_shared<core::ConfigSnapshot>(
        Next,
        core::ConfigSnapshot::ServiceMap{
            {"tags", std::make_shared<core::ServiceEntry>(
                         core::ServiceEntry{Next, Service})}},
        std::make_shared<core::RoutingTable>(
            Next, settings(Limits, true).Routes, Limits))));
  }

  void send(const std::string &Bytes) { test::send(Link, Bytes); }
  /// @brief Status of the next response; 0 if the connection was closed.
  int status() { return statusOf(Harness::readResponse(Link)); }
  /// @brief Reads until so many requests were served.
  /// @param Received Bytes received before, and those received now.
  bool receiveServed(std::string &Received, int Requests) {
    constexpr std::string_view Served = "HTTP/1.1 200";
    boost::system::error_code Code;
    int Count = 0;
    while (Count < Requests && !Code) {
      asio::read(Link, asio::dynamic_buffer(Received),
                 asio::transfer_at_least(1), Code);
      Count = 0;
      for (std::size_t At = Received.find(Served); At != std::string::npos;
           At = Received.find(Served, At + 1))
        ++Count;
    }
    return Count >= Requests;
  }
  int ask(const std::string &Bytes) {
    send(Bytes);
    return status();
  }

  ScriptedBackend Backend{answerEachRequest()};
  Harness Setup;
  tcp::socket Link;

private:
  static ScriptedBackend::Script answerEachRequest() {
    return [](tcp::socket &Socket, int) {
      ScriptedBackend Parser([](tcp::socket &, int) {});
      while (!Parser.readRequest(Socket).empty())
        test::send(Socket, response("200 OK", "x"));
    };
  }
};

std::string get(std::size_t HeadBytes = 100) {
  return "GET /tags/1 HTTP/1.1\r\nHost: a\r\nCookie: " +
         std::string(HeadBytes, 'c') + "\r\n\r\n";
}

std::string post(std::size_t BodyBytes, bool Chunked = false) {
  const std::string Head = "POST /tags/1 HTTP/1.1\r\nHost: a\r\n";
  const std::string Body(BodyBytes, 'b');
  if (!Chunked)
    return Head + "Content-Length: " + std::to_string(BodyBytes) + "\r\n\r\n" +
           Body;
  // In chunks of a thousand bytes.
  std::string Out = Head + "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t At = 0; At < BodyBytes; At += 1000)
    Out += "3e8\r\n" + Body.substr(0, 1000) + "\r\n";
  return Out + "0\r\n\r\n";
}

} // namespace

// Guards against a connection that keeps the limits of the moment at which it
// was accepted: proper requests were refused with 413 and 431.
Test(CallerLimits, raised_limits_hold_for_open_connections) {
  for (const std::string &Large : {get(8000), post(8000), post(8000, true)}) {
    Fixture Setup(Low);
    cr_assert_eq(Setup.ask(get()), 200);
    Setup.setLimits(High);
    cr_assert_eq(Setup.ask(Large), 200);
    cr_assert_eq(Setup.ask(get()), 200);
  }
}

// Guards against a connection that was accepted before the first configuration
// and keeps the limits of the settings.
Test(CallerLimits, first_configuration_holds_for_open_connections) {
  Fixture Setup(Low, false);
  cr_assert_eq(Setup.ask(get()), 503);
  Setup.setLimits(High);
  cr_assert_eq(Setup.ask(get(8000)), 200);
}

// Guards against an open connection on which outdated, higher limits go on.
Test(CallerLimits, lowered_limits_hold_for_the_next_request) {
  const std::pair<std::string, int> Cases[] = {
      {get(8000), 431}, {post(8000), 413}, {post(8000, true), 413}};
  for (const auto &[Large, Status] : Cases) {
    Fixture Setup(High);
    cr_assert_eq(Setup.ask(Large), 200);
    Setup.setLimits(Low);
    cr_assert_eq(Setup.ask(get()), 200);
    cr_assert_eq(Setup.ask(Large), Status);
  }
}

// Guards against a request that is refused although a configuration in force
// while it is read allows it: the limits rise in the middle of it.
Test(CallerLimits, limits_that_rise_hold_for_a_request_that_is_half_read) {
  for (const std::string &Large : {get(8000), post(8000, true)}) {
    Fixture Setup(Low);
    Setup.send(Large.substr(0, 500));
    std::this_thread::sleep_for(50ms);
    Setup.setLimits(High);
    cr_assert_eq(Setup.ask(Large.substr(500)), 200);
  }
}

// Guards against the same where the limits fall in the middle of it.
Test(CallerLimits, limits_that_fall_spare_a_request_that_is_half_read) {
  for (const std::string &Large : {get(8000), post(8000, true)}) {
    Fixture Setup(High);
    Setup.send(Large.substr(0, 500));
    std::this_thread::sleep_for(50ms);
    Setup.setLimits(Low);
    cr_assert_eq(Setup.ask(Large.substr(500)), 200);
    cr_assert_eq(Setup.ask(get(8000)), 431);
  }
}

// Guards against bytes of the next request that are lost or refused when the
// limits fall while they wait behind the current one.
Test(CallerLimits, pipelined_requests_survive_lowered_limits) {
  Fixture Setup(High);
  Setup.send(get(3000) + get(800) + get(100));
  std::string Received;
  cr_assert(Setup.receiveServed(Received, 1));
  Setup.setLimits(Low);
  Setup.send(get());
  cr_assert(Setup.receiveServed(Received, 4));
}

// Guards against a connection that is closed after the idle timeout of an
// outdated configuration while its caller still counts on it.
Test(CallerLimits, raised_idle_timeout_holds_for_waiting_connections) {
  Fixture Setup(Low);
  cr_assert_eq(Setup.ask(get()), 200);
  // The connection waits with the lower timeout by then.
  std::this_thread::sleep_for(50ms);
  Setup.setLimits(High);
  std::this_thread::sleep_for(700ms);
  cr_assert_eq(Setup.ask(get()), 200);
}

// Guards against a head that is refused with 408 after the timeout of an
// outdated configuration.
Test(CallerLimits, raised_head_timeout_holds_for_a_head_that_is_half_read) {
  Fixture Setup(Low);
  Setup.send(get().substr(0, 50));
  std::this_thread::sleep_for(50ms);
  Setup.setLimits(High);
  std::this_thread::sleep_for(700ms);
  cr_assert_eq(Setup.ask(get().substr(50)), 200);
}
