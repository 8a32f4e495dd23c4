#include "../common/answering_server.hpp"
#include "../common/endless_server.hpp"
#include "../common/odd_responses.hpp"
#include "run_awaitable.hpp"

#include <fakes/store_server.hpp>
#include <jujubecart/core.hpp>
#include <jujubecart/store.hpp>

#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <criterion/criterion.h>

using namespace jujubecart;
using core::Error;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

struct Fixture {
  boost::asio::io_context Context{1};
  dev::StoreServer Server{Context, 0};
  dev::StoreServer Second{Context, 0};
  std::string Address = "127.0.0.1:" + std::to_string(Server.port());
  store::HttpKeyValueStore Store{Context.get_executor(), {Address}};

  [[nodiscard]] static core::TimePoint deadlineIn(int Milliseconds) {
    return steady_clock::now() + milliseconds(Milliseconds);
  }

  core::Result<std::uint64_t> put(const std::string &Key,
                                  const std::string &Value,
                                  std::uint64_t Expected, int TimeoutMs) {
    return tests::runAwaitable(
        Context, Store.put(Key, Value, Expected, deadlineIn(TimeoutMs)));
  }

  core::Result<core::VersionedValue> get(const std::string &Key,
                                         int TimeoutMs) {
    return tests::runAwaitable(Context, Store.get(Key, deadlineIn(TimeoutMs)));
  }

  core::Awaitable<unsigned> sendControl(std::string Body) {
    auto Executor = co_await boost::asio::this_coro::executor;
    boost::beast::tcp_stream Stream(Executor);
    boost::asio::ip::tcp::endpoint Target{
        boost::asio::ip::address_v4::loopback(), Server.port()};
    co_await Stream.async_connect(Target, boost::asio::use_awaitable);
    dev::HttpRequest Message{boost::beast::http::verb::post, "/control", 11};
    Message.body() = std::move(Body);
    Message.prepare_payload();
    co_await boost::beast::http::async_write(Stream, Message,
                                             boost::asio::use_awaitable);
    boost::beast::flat_buffer Buffer;
    boost::beast::http::response<boost::beast::http::string_body> Response;
    co_await boost::beast::http::async_read(Stream, Buffer, Response,
                                            boost::asio::use_awaitable);
    co_return Response.result_int();
  }

  unsigned control(const std::string &Body) {
    return tests::runAwaitable(Context, sendControl(Body));
  }
};

} // namespace

// Guards against a lost update when two writers replace the same version, and
// against keys that would corrupt the request target.
Test(HttpKeyValueStore, put_with_stale_version_is_conflict) {
  Fixture Test;
  cr_assert_eq(Test.put("config/a", "1", 0, 1000).value(), 1);
  cr_assert(Test.put("config/a", "2", 0, 1000).error() == Error::Conflict);
  cr_assert_eq(Test.put("config/a", "3", 1, 1000).value(), 2);
  cr_assert_eq(Test.get("config/a", 1000)->Value, "3");
  cr_assert(Test.get("config/none", 1000).error() == Error::NotFound);
  cr_assert(Test.get("bad key?x=1", 1000).error() == Error::InvalidArgument);
}

// Guards against a write that is reported as not executed, or is sent again,
// because its response was lost.
Test(HttpKeyValueStore, put_with_lost_response_is_unknown_and_sent_once) {
  Fixture Test;
  cr_assert_eq(Test.control(R"({"lose_answer_probability":1})"), 200);
  cr_assert(Test.put("a", "1", 0, 1000).error() == Error::OutcomeUnknown);
  cr_assert_eq(Test.control(R"({"lose_answer_probability":0})"), 200);
  cr_assert_eq(Test.get("a", 1000)->Version, 1);
}

// Guards against a write that was certainly not executed but is reported as
// unknown: a rejected one, or one without a connection.
Test(HttpKeyValueStore, put_rejected_or_without_connection_is_unavailable) {
  Fixture Test;
  cr_assert_eq(Test.control(R"({"outage":"reject"})"), 200);
  cr_assert(Test.put("a", "1", 0, 1000).error() == Error::Unavailable);
  cr_assert_eq(Test.control(R"({"outage":"none","max_writes_per_s":1})"), 200);
  (void)Test.put("a", "1", 0, 1000);
  cr_assert(Test.put("b", "1", 0, 1000).error() == Error::Unavailable);
  store::HttpKeyValueStore Unreachable(Test.Context.get_executor(),
                                       {"127.0.0.1:1"});
  const auto Refused = tests::runAwaitable(
      Test.Context, Unreachable.put("a", "1", 0, Fixture::deadlineIn(1000)));
  cr_assert(Refused.error() == Error::Unavailable);
}

// Guards against calls that hang beyond their deadline because the store does
// not respond.
Test(HttpKeyValueStore, silent_store_ends_calls_at_their_deadline) {
  Fixture Test;
  cr_assert_eq(Test.control(R"({"outage":"silent"})"), 200);
  const auto Start = steady_clock::now();
  cr_assert(Test.get("a", 100).error() == Error::DeadlineExceeded);
  cr_assert(Test.put("a", "1", 0, 100).error() == Error::OutcomeUnknown);
  cr_assert(steady_clock::now() - Start < milliseconds(1000));
}

// Guards against a read that fails because the store has closed an idle
// connection.
Test(HttpKeyValueStore, get_survives_closed_idle_connection) {
  Fixture Test;
  (void)Test.put("a", "1", 0, 1000);
  cr_assert_eq(Test.control(R"({"outage":"close"})"), 200);
  cr_assert(Test.get("a", 1000).error() == Error::Unavailable);
  cr_assert_eq(Test.control(R"({"outage":"none"})"), 200);
  cr_assert_eq(Test.get("a", 1000)->Value, "1");
}

// Guards against calls that fail although another endpoint is reachable.
Test(HttpKeyValueStore, dead_endpoint_is_replaced_by_the_next_one) {
  Fixture Test;
  store::HttpKeyValueStore Store(Test.Context.get_executor(),
                                 {"127.0.0.1:1", Test.Address});
  cr_assert_eq(
      tests::runAwaitable(Test.Context,
                          Store.put("a", "1", 0, Fixture::deadlineIn(1000)))
          .value(),
      1);
}

// Guards against a watch that misses a change that was already made, or that
// never ends.
Test(HttpKeyValueStore, watch_returns_newer_version_or_times_out) {
  Fixture Test;
  (void)Test.put("a", "1", 0, 1000);
  const auto Newer = tests::runAwaitable(
      Test.Context, Test.Store.watch("a", 0, Fixture::deadlineIn(1000)));
  cr_assert_eq(Newer->Value, "1");
  const auto None = tests::runAwaitable(
      Test.Context, Test.Store.watch("a", 1, Fixture::deadlineIn(300)));
  cr_assert(None.error() == Error::DeadlineExceeded);
}

// Guards against tests that inject no fault because the name or value of the
// fault is wrong.
Test(StoreServer, control_with_unknown_key_is_rejected) {
  Fixture Test;
  cr_assert_eq(Test.control(R"({"outtage":"close"})"), 400);
  cr_assert_eq(Test.control(R"({"lose_answer_probability":2})"), 400);
}

// Guards against a store, or what answers at its address, that sends bytes
// without end: they would fill the memory of the VM until the deadline.
Test(HttpKeyValueStore, response_without_end_is_rejected_at_a_limit) {
  for (const tests::EndlessCase &Each : tests::endlessCases()) {
    tests::EndlessServer Server(Each.Start, Each.Repeated);
    boost::asio::io_context Context{1};
    store::HttpKeyValueStore Store(Context.get_executor(), {Server.address()});
    const auto Value = tests::runAwaitable(
        Context, Store.get("a", Fixture::deadlineIn(20000)));
    cr_assert_not(Value.has_value(), "%s", Each.Name);
    // Two attempts, each of twice the largest response, which leaves room for
    // the socket buffers.
    cr_assert_leq(Server.Sent, 32U << 20U, "%s", Each.Name);
  }
}

// Guards against a value that is taken from bytes which are no HTTP response.
Test(HttpKeyValueStore, odd_response_is_rejected) {
  const std::string Value = R"({"version":1,"value":"v"})";
  const auto Get = [](const std::string &Answer) {
    const tests::AnsweringServer Server(Answer);
    boost::asio::io_context Context{1};
    store::HttpKeyValueStore Store(Context.get_executor(), {Server.address()});
    return tests::runAwaitable(Context,
                               Store.get("a", Fixture::deadlineIn(20000)));
  };
  cr_assert(Get("HTTP/1.1 200 OK\r\n\r\n" + Value).has_value());
  for (const tests::OddResponse &Each : tests::oddResponses(Value))
    cr_expect(Get(Each.Bytes).has_error(), "%s", Each.Name);
}

// Guards against bytes behind a response that are taken for the response to the
// next request on the connection.
Test(HttpKeyValueStore, bytes_behind_a_response_answer_no_request) {
  const std::string Value = R"({"version":1,"value":"v"})";
  const std::string Answer =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Value.size()) +
      "\r\n\r\n" + Value;
  const tests::AnsweringServer Server(Answer + Answer, false);
  boost::asio::io_context Context{1};
  store::HttpKeyValueStore Store(Context.get_executor(), {Server.address()});
  for (int Count = 1; Count <= 2; ++Count) {
    cr_assert(
        tests::runAwaitable(Context, Store.get("a", Fixture::deadlineIn(20000)))
            .has_value());
    cr_assert_eq(Server.Connections, Count);
  }
}
