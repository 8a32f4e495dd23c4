#include <jujubecart/core/stream_end.hpp>

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

} // namespace

// The result of the read does not tell: the kernel reports a reset once, to
// whichever operation comes first. If that was a write, the next read returns
// an end of stream. The state of the connection still tells: it is CLOSE_WAIT
// after the remote side's FIN, and CLOSE after a reset or a timeout, also if a
// FIN came before. poll() reports CLOSE as a hang-up; it is asked as well,
// because some systems leave the state in TCP_INFO at 0.
bool endedInOrder(boost::asio::ip::tcp::socket &Socket) noexcept {
  if (hungUp(Socket.native_handle()))
    return false;
  tcp_info Info{};
  socklen_t Size = sizeof Info;
  if (::getsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_INFO, &Info,
                   &Size) != 0 ||
      Info.tcpi_state == 0)
    return true;
  return Info.tcpi_state == TCP_CLOSE_WAIT;
}

} // namespace jujubecart::core
