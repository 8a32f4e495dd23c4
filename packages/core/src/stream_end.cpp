#include <jujubecart/core/stream_end.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace jujubecart::core {

// The result of the read does not tell: the kernel reports a reset once, to
// whichever operation comes first. If that was a write, the next read returns
// an end of stream. The state of the connection still tells: it is CLOSE_WAIT
// after the remote side's FIN, and CLOSE after a reset or a timeout, also if a
// FIN came before.
bool endedInOrder(boost::asio::ip::tcp::socket &Socket) noexcept {
  tcp_info Info{};
  socklen_t Size = sizeof Info;
  return ::getsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_INFO, &Info,
                      &Size) == 0 &&
         Info.tcpi_state == TCP_CLOSE_WAIT;
}

} // namespace jujubecart::core
