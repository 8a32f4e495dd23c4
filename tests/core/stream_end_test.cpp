#include <jujubecart/core/stream_end.hpp>

#include <array>
#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>
#include <unistd.h>

using namespace jujubecart;
using boost::asio::ip::tcp;

// Guards against taking a socket that this VM closed itself for a stream that
// the remote side ended, which would pass a truncated body as complete.
Test(StreamEnd, closed_socket_has_not_ended_in_order) {
  boost::asio::io_context Io;
  tcp::socket Socket(Io);
  cr_assert_not(core::endedInOrder(Socket));
}

// Guards against taking any failure to read the state of a connection for a
// system without that state. A pipe is no socket, so the read fails with
// ENOTSOCK.
Test(StreamEnd, stream_of_unknown_state_has_not_ended_in_order) {
  std::array<int, 2> Ends{};
  cr_assert_eq(::pipe(Ends.data()), 0);
  boost::asio::io_context Io;
  tcp::socket Socket(Io);
  Socket.assign(tcp::v4(), Ends[0]);
  cr_assert_not(core::endedInOrder(Socket));
  ::close(Ends[1]);
}
