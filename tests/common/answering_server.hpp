#ifndef JUJUBECART_TESTS_COMMON_ANSWERING_SERVER_HPP
#define JUJUBECART_TESTS_COMMON_ANSWERING_SERVER_HPP

#include <atomic>
#include <boost/asio.hpp>
#include <string>
#include <thread>

namespace jujubecart::tests {

/// @brief Server on the loopback that sends the same bytes after each request
/// head. Serves one connection at a time.
class AnsweringServer {
public:
  /// @param Answer Sent after each request head.
  /// @param Close Whether the connection is closed after the first answer.
  explicit AnsweringServer(std::string Answer, bool Close = true)
      : Answer(std::move(Answer)), Close(Close),
        Acceptor(Io, {boost::asio::ip::address_v4::loopback(), 0}),
        Thread([this] { serve(); }) {}
  AnsweringServer(const AnsweringServer &) = delete;
  AnsweringServer &operator=(const AnsweringServer &) = delete;
  /// @brief The other side must have closed its connections.
  ~AnsweringServer() {
    Stopped = true;
    boost::asio::ip::tcp::socket Wake(Io);
    boost::system::error_code Ignored;
    Wake.connect(Acceptor.local_endpoint(), Ignored);
    Thread.join();
  }

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

  std::atomic<int> Connections{0};

private:
  void serve() {
    while (true) {
      boost::asio::ip::tcp::socket Peer(Io);
      Acceptor.accept(Peer);
      if (Stopped)
        return;
      ++Connections;
      std::string Request;
      boost::system::error_code Code;
      do {
        const std::size_t Head = boost::asio::read_until(
            Peer, boost::asio::dynamic_buffer(Request), "\r\n\r\n", Code);
        Request.erase(0, Head);
        if (!Code)
          boost::asio::write(Peer, boost::asio::buffer(Answer), Code);
      } while (!Code && !Close);
    }
  }

  const std::string Answer;
  const bool Close;
  std::atomic<bool> Stopped{false};
  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::thread Thread;
};

} // namespace jujubecart::tests

#endif
