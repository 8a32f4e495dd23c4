#include "../callers/harness.hpp"

#include <jujubecart/platform/http_profile.hpp>

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::test;

namespace {

constexpr const char *Id = "9c41d07be2a35f68";

std::string answer(const std::string &ForId, const std::string &Body) {
  return response("200 OK", Body,
                  "Request-Id: " + ForId + "\r\nResponse-Signature: s\r\n");
}

ScriptedBackend::Script replying(const std::string &Bytes, bool Reset = false) {
  return [Bytes, Reset](tcp::socket &Socket, int) {
    std::string Request;
    boost::system::error_code Code;
    asio::read_until(Socket, asio::dynamic_buffer(Request), "\r\n\r\n", Code);
    send(Socket, Bytes);
    std::this_thread::sleep_for(30ms);
    if (Reset)
      Socket.set_option(asio::socket_base::linger(true, 0), Code);
    if (Reset)
      Socket.close(Code);
  };
}

/// @brief One exchange with a backend server of the platform.
struct Fixture {
  explicit Fixture(ScriptedBackend::Script Behaviour)
      : Backend(std::move(Behaviour)) {}

  core::Awaitable<std::string> exchange() {
    auto Request = std::make_shared<core::BackendRequest>();
    Request->Head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    Request->CallerRequestId = Id;
    const auto Io =
        Transport.prepare({.Id = "i-1", .Address = Backend.address()}, Request);
    const std::error_code Failed = co_await Io->open(nullptr);
    std::string Body;
    std::array<char, 64> Part{};
    while (!Failed && !Io->complete()) {
      const auto Count = co_await Io->read(Part);
      if (!Count)
        break;
      Body.append(Part.data(), *Count);
    }
    Report = Io->report();
    co_return Failed || !Io->complete() ? "failed" : Body;
  }
  std::string run() {
    auto Result = asio::co_spawn(Io, exchange(), asio::use_future);
    Io.run();
    return Result.get();
  }

  ScriptedBackend Backend;
  asio::io_context Io;
  core::SystemClock Time;
  backends::ConnectionPool Pool{Io.get_executor(), {}, Time};
  backends::Transport Transport{Pool, Time, platform::httpProfile()};
  core::CallReport Report;
};

} // namespace

// Guards against a caller that gets the late second answer to another request.
Test(PlatformExchange, response_to_another_request_is_skipped) {
  Fixture With(
      replying(answer("ffffffffffffffff", "wrong") + answer(Id, "right")));
  cr_assert_eq(With.run(), "right");
}

// Guards against a response without length that is refused.
Test(PlatformExchange, response_that_ends_with_its_connection_is_complete) {
  Fixture With(replying("HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(Id) +
                        "\r\nResponse-Signature: s\r\n\r\nuntil the end"));
  cr_assert_eq(With.run(), "until the end");
}

// Guards against a reset that passes for the end of a response.
Test(PlatformExchange, response_that_is_reset_is_not_complete) {
  Fixture With(replying("HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(Id) +
                            "\r\nResponse-Signature: s\r\n\r\nuntil the end",
                        true));
  cr_assert_eq(With.run(), "failed");
  cr_assert(With.Report.Outcome == core::CallOutcome::Broken);
}

// Guards against bytes of nobody that pass for a success.
Test(PlatformExchange, success_without_digest_is_refused) {
  Fixture With(replying(
      response("200 OK", "x", "Request-Id: " + std::string(Id) + "\r\n")));
  cr_assert_eq(With.run(), "failed");
}

Test(PlatformExchange, refusal_of_the_server_is_reported_as_not_run) {
  Fixture With(
      replying(response("503 Service Unavailable", "",
                        "Not-Executed: 1\r\nUpstream-Load: 2,4,2,400\r\n")));
  With.run();
  cr_assert(With.Report.Outcome == core::CallOutcome::Rejected);
  cr_assert_eq(With.Report.Load->PacePercent, 400);
}

Test(PlatformExchange, another_instance_at_the_address_is_reported) {
  Fixture With(replying(response("421 Misdirected Request", "")));
  With.run();
  cr_assert(With.Report.Outcome == core::CallOutcome::Rejected);
  cr_assert(With.Report.OtherInstance);
}
