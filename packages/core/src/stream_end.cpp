#include <jujubecart/core/stream_end.hpp>

#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>

namespace jujubecart::core {

namespace {

// Whether both directions of a connection have ended, or an error is pending.
bool hungUp(int Descriptor) noexcept {
  pollfd Query{.fd = Descriptor, .events = POLLIN, .revents = 0};
  return ::poll(&Query, 1, 0) < 0 ||
         (Query.revents & (POLLHUP | POLLERR | POLLNVAL)) != 0;
}

// Whether a system without TCP_INFO, such as an emulated one, gives this error.
bool isNotSupported(int Code) noexcept {
  return Code == ENOPROTOOPT || Code == EOPNOTSUPP || Code == ENOSYS;
}

} // namespace

// The result of the read is not enough: the kernel reports a reset once, to the
// first operation after it. If that was a write, the next read returns an end
// of stream. The state of the connection is CLOSE_WAIT after the remote side's
// FIN, and CLOSE after a reset or a timeout, also if a FIN came before. poll()
// reports CLOSE as a hang-up; it is used as well, because some systems leave
// the state in TCP_INFO at 0.
bool endedInOrder(boost::asio::ip::tcp::socket &Socket) noexcept {
  // Another coroutine may have closed the socket; poll() ignores an invalid
  // descriptor of -1.
  if (!Socket.is_open() || hungUp(Socket.native_handle()))
    return false;
  tcp_info Info{};
  socklen_t Size = sizeof Info;
  if (::getsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_INFO, &Info,
                   &Size) != 0)
    return isNotSupported(errno);
  return Info.tcpi_state == 0 || Info.tcpi_state == TCP_CLOSE_WAIT;
}

} // namespace jujubecart::core
