#ifndef JUJUBECART_TESTS_COMMON_ENDLESS_SERVER_HPP
#define JUJUBECART_TESTS_COMMON_ENDLESS_SERVER_HPP

#include <atomic>
#include <boost/asio.hpp>
#include <cstddef>
#include <string>
#include <thread>

namespace jujubecart::tests {

/// @brief Faulty server on the loopback: reads the head of a request and then
/// sends bytes until the other side closes. Serves one connection at a time.
class EndlessServer {
public:
  /// @param Start Sent once after the request.
  /// @param Repeated Sent again and again after Start.
  EndlessServer(std::string Start, std::string Repeated)
      : Start(std::move(Start)), Repeated(std::move(Repeated)),
        Acceptor(Io, {boost::asio::ip::address_v4::loopback(), 0}),
        Thread([this] { serve(); }) {}
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;
  ~EndlessServer() {
    Stopped = true;
    boost::asio::ip::tcp::socket Wake(Io);
    boost::system::error_code Ignored;
    Wake.connect(Acceptor.local_endpoint(), Ignored);
    Thread.join();
  }

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

  /// Bytes that were read by the other side or are in the socket buffers.
  std::atomic<std::size_t> Sent{0};

private:
  /// Keeps a test of a reader without a limit from using up the memory.
  static constexpr std::size_t MaxSentBytes = std::size_t{256} << 20;

  void serve() {
    while (!Stopped) {
      boost::asio::ip::tcp::socket Peer(Io);
      Acceptor.accept(Peer);
      std::string Request;
      boost::system::error_code Code;
      if (!Stopped)
        boost::asio::read_until(Peer, boost::asio::dynamic_buffer(Request),
                                "\r\n\r\n", Code);
      if (!Stopped && !Code)
        Sent += boost::asio::write(Peer, boost::asio::buffer(Start), Code);
      while (!Stopped && !Code && Sent < MaxSentBytes)
        Sent += boost::asio::write(Peer, boost::asio::buffer(Repeated), Code);
    }
  }

  const std::string Start;
  const std::string Repeated;
  std::atomic<bool> Stopped{false};
  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::thread Thread;
};

/// @brief A kind of bytes that are no response, or no end of one.
struct EndlessCase {
  const char *Name;
  std::string Start;
  std::string Repeated;
};

/// @brief Kinds of bytes without end in a head and in a body.
inline std::vector<EndlessCase> endlessCases() {
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string Filler(4096, 'x');
  return {
      {"no status line", "", Filler},
      {"header field", "HTTP/1.1 200 OK\r\nA: ", Filler},
      {"header fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
      {"body until the end", "HTTP/1.1 200 OK\r\n\r\n", Filler},
      {"body with a length",
       "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", Filler},
      {"chunks", Chunked, "1000\r\n" + Filler + "\r\n"},
      {"chunk extension", Chunked + "5;a=", Filler},
      {"trailer field", Chunked + "0\r\nA: ", Filler},
      {"trailer fields", Chunked + "0\r\n", "A: b\r\n"},
  };
}

} // namespace jujubecart::tests

#endif
