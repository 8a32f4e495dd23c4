#ifndef JUJUBECART_TESTS_PLATFORM_EXCHANGE_FIXTURE_HPP
#define JUJUBECART_TESTS_PLATFORM_EXCHANGE_FIXTURE_HPP

#include "../callers/harness.hpp"

#include <jujubecart/platform/http_profile.hpp>

namespace jujubecart::test {

inline constexpr const char *Id = "9c41d07be2a35f68";

/// @brief 200 response with the fields that each success of the platform has.
inline std::string signedResponse(const std::string &RequestId,
                                  const std::string &Body) {
  return response("200 OK", Body,
                  "Request-Id: " + RequestId + "\r\nResponse-Signature: s\r\n");
}

/// @brief Script that reads a request head and sends bytes.
/// @param Reset Resets the connection afterwards.
inline ScriptedBackend::Script respondWith(const std::string &Bytes,
                                           bool Reset = false) {
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

/// @brief Runs one exchange with a scripted backend server, using the
/// platform's header fields.
struct OneExchange {
  explicit OneExchange(ScriptedBackend::Script Script)
      : Backend(std::move(Script)) {}

  /// @brief Sends a request.
  /// @return Body of the response, or `failed` if it is not complete.
  core::Awaitable<std::string> exchange() {
    auto Request = std::make_shared<core::BackendRequest>();
    Request->Head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    Request->CallerRequestId = Id;
    Request->IsOrder = IsOrder;
    Request->Body = Framing;
    const auto Exchange =
        Transport.prepare({.Id = "i-1", .Address = Backend.address()}, Request);
    // Ends the test of an exchange that would wait for ever.
    asio::steady_timer Timer(Io, 2s);
    Timer.async_wait([&](const boost::system::error_code &Code) {
      if (!Code)
        Exchange->abort(core::AbortReason::TimedOut);
    });
    const std::error_code Failed = co_await Exchange->open(Body);
    std::string Received;
    std::array<char, 64> Buffer{};
    while (!Failed && !Exchange->complete()) {
      const auto Count = co_await Exchange->read(Buffer);
      if (!Count)
        break;
      Received.append(Buffer.data(), *Count);
    }
    Report = Exchange->report();
    co_return Failed || !Exchange->complete() ? "failed" : Received;
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
  bool IsOrder = false;
  /// Body of the request, or nullptr, and how its end is marked.
  core::ByteSource *Body = nullptr;
  core::BackendRequest::Framing Framing = core::BackendRequest::Framing::None;
};

/// @brief Runs two orders one after another with a scripted backend server, the
/// second after the reuse window of the pool.
struct TwoOrders {
  /// @param Behave Handles the requests of a connection.
  /// @param ReuseWindow Time for which a connection needs no health request.
  /// @param VerifyTimeout Limit for the response to a health request.
  explicit TwoOrders(ScriptedBackend::Script Behave,
                     std::chrono::milliseconds ReuseWindow = 1ms,
                     std::chrono::milliseconds VerifyTimeout =
                         backends::PoolOptions{}.VerifyTimeout)
      : Backend(std::move(Behave)),
        Pool(Io.get_executor(),
             {.OrderReuseWindow = ReuseWindow, .VerifyTimeout = VerifyTimeout},
             Time) {}

  core::Awaitable<core::CallOutcome> order(const std::string &RequestId) {
    auto Request = std::make_shared<core::BackendRequest>();
    Request->Head = "POST / HTTP/1.1\r\nHost: a\r\n\r\n";
    Request->CallerRequestId = RequestId;
    Request->IsOrder = true;
    const auto Exchange =
        Transport.prepare({.Id = "i-1", .Address = Backend.address()}, Request);
    const std::error_code Failed = co_await Exchange->open(nullptr);
    std::array<char, 64> Buffer{};
    while (!Failed && !Exchange->complete()) {
      const auto Count = co_await Exchange->read(Buffer);
      if (!Count)
        break;
    }
    co_return Exchange->report().Outcome;
  }
  core::Awaitable<void> both() {
    First = co_await order(Id);
    std::this_thread::sleep_for(5ms);
    Second = co_await order(SecondId);
  }
  void run() {
    auto Result = asio::co_spawn(Io, both(), asio::use_future);
    Io.run();
    Result.get();
  }

  ScriptedBackend Backend;
  asio::io_context Io;
  core::SystemClock Time;
  backends::ConnectionPool Pool;
  backends::Transport Transport{Pool, Time, platform::httpProfile()};
  /// Id that the caller of the second order sent.
  std::string SecondId = Id;
  core::CallOutcome First = core::CallOutcome::NotSent;
  core::CallOutcome Second = core::CallOutcome::NotSent;
};

/// @brief Reads one request head; its method, or nothing at the end of the
/// connection.
inline std::string readMethod(tcp::socket &Socket) {
  std::string Request;
  boost::system::error_code Code;
  asio::read_until(Socket, asio::dynamic_buffer(Request), "\r\n\r\n", Code);
  return Code ? "" : Request.substr(0, Request.find(' '));
}

inline std::string orderResponse() {
  return response(
      "200 OK", "x",
      "Request-Id: " + std::string(Id) +
          "\r\nResponse-Signature: s\r\nUpstream-Load: 0,0,2,100\r\n");
}

/// @brief Statement of the server that it did not run a request.
inline std::string refusal(const std::string &Fields) {
  return response("503 Service Unavailable", "",
                  "Not-Executed: 1\r\n" + Fields);
}

} // namespace jujubecart::test

#endif
