#include <jujubecart/core/http_reader.hpp>

#include <array>
#include <boost/asio.hpp>
#include <chrono>
#include <poll.h>
#include <string>
#include <thread>

#include <criterion/criterion.h>

using namespace jujubecart::core;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

const std::string Unframed = "HTTP/1.1 200 OK\r\n\r\n";

/// @brief Both ends of a connection over the loopback.
struct ConnectionPair {
  ConnectionPair() {
    tcp::acceptor Acceptor(Io, {asio::ip::address_v4::loopback(), 0});
    Client.connect(Acceptor.local_endpoint());
    Acceptor.accept(Server);
    Client.non_blocking(true);
  }

  void answer(const std::string &Bytes) {
    asio::write(Server, asio::buffer(Bytes));
  }

  void resetByServer() {
    Server.set_option(asio::socket_base::linger(true, 0));
    Server.close();
    waitFor(POLLHUP);
  }

  /// @brief Waits until the kernel reports an event at the client's end.
  void waitFor(short Event) {
    pollfd Query{.fd = Client.native_handle(), .events = Event, .revents = 0};
    cr_assert_eq(::poll(&Query, 1, 3000), 1);
    cr_assert_neq(Query.revents & Event, 0);
  }

  /// @brief Writes at the client's end; takes a pending error of the socket.
  bool writeByClient() {
    boost::system::error_code Code;
    Client.write_some(asio::buffer("more", 4), Code);
    return !Code;
  }

  HeadError readHead() { return run(Reader.readHead(Client)); }

  /// @brief Reads the rest of the body.
  Result<std::string> readBody() {
    std::string Body;
    std::array<char, 100> Part{};
    while (true) {
      const auto Count = run(Reader.readBody(Client, Part));
      if (!Count)
        return Count.error();
      if (*Count == 0)
        return Body;
      Body.append(Part.data(), *Count);
    }
  }

  template <typename T> T run(Awaitable<T> Operation) {
    auto Done = asio::co_spawn(Io, std::move(Operation), asio::use_future);
    Io.restart();
    Io.run_for(std::chrono::seconds(3));
    cr_assert(Done.wait_for(std::chrono::seconds(0)) ==
              std::future_status::ready);
    return Done.get();
  }

  asio::io_context Io;
  tcp::socket Client{Io};
  tcp::socket Server{Io};
  HttpReader<false> Reader{HttpLimits{}};
};

} // namespace

// Guards against the refusal of every body that ends with its connection.
Test(UnframedBody, body_is_complete_after_an_orderly_close) {
  ConnectionPair Pair;
  Pair.answer(Unframed + "whole");
  Pair.Server.close();
  cr_assert(Pair.readHead() == HeadError::None);
  cr_assert_eq(Pair.readBody().value(), "whole");
}

// Guards against a truncated body that is taken for a complete one because a
// failed write took the error of the socket, so that the read after it sees
// only an end of stream.
Test(UnframedBody, body_is_incomplete_after_a_write_met_the_reset) {
  ConnectionPair Pair;
  Pair.answer(Unframed + "part");
  cr_assert(Pair.readHead() == HeadError::None);
  Pair.resetByServer();
  cr_assert_not(Pair.writeByClient());
  cr_assert(Pair.readBody().has_error());
}

// As before, with a write that fails before the head is read.
Test(UnframedBody, body_is_incomplete_if_the_write_failed_before_the_head) {
  ConnectionPair Pair;
  Pair.answer(Unframed + "part");
  Pair.waitFor(POLLIN);
  Pair.resetByServer();
  cr_assert_not(Pair.writeByClient());
  cr_assert(Pair.readHead() == HeadError::None);
  cr_assert(Pair.readBody().has_error());
}

// Guards against trust in an end of stream whose cause the kernel no longer
// tells: a reset after the server closed its sending side leaves no error for
// the read.
Test(UnframedBody, body_is_incomplete_after_a_close_and_a_reset) {
  ConnectionPair Pair;
  Pair.answer(Unframed + "part");
  Pair.Server.shutdown(tcp::socket::shutdown_send);
  Pair.waitFor(POLLRDHUP);
  Pair.resetByServer();
  cr_assert(Pair.readHead() == HeadError::None);
  cr_assert(Pair.readBody().has_error());
}

// Guards against a reset without any write that is taken for an orderly close.
Test(UnframedBody, body_is_incomplete_after_a_reset) {
  ConnectionPair Pair;
  Pair.answer(Unframed + "part");
  cr_assert(Pair.readHead() == HeadError::None);
  Pair.resetByServer();
  cr_assert(Pair.readBody().has_error());
}

// Guards against the loss of a body whose length proves that it is complete.
Test(FramedBody, body_is_complete_although_the_connection_was_reset) {
  for (const std::string Answer :
       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nwhole\r\n0\r\n\r\n"}) {
    ConnectionPair Pair;
    Pair.answer(Answer);
    Pair.waitFor(POLLIN);
    Pair.resetByServer();
    cr_assert_not(Pair.writeByClient());
    cr_assert(Pair.readHead() == HeadError::None);
    cr_assert_eq(Pair.readBody().value(), "whole");
  }
}
