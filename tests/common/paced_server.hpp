#ifndef JUJUBECART_TESTS_COMMON_PACED_SERVER_HPP
#define JUJUBECART_TESTS_COMMON_PACED_SERVER_HPP

#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace jujubecart::tests {

/// @brief Bytes that are sent in pieces with pauses, as over a slow link.
struct PacedAnswer {
  std::string Bytes;
  std::size_t PieceBytes = 0;
  std::chrono::milliseconds Pause{0};
  /// Nothing is sent after so many bytes, and the connection stays open.
  std::size_t StopsAfter = SIZE_MAX;
};

/// @brief HTTP response with a JSON body.
[[nodiscard]] inline std::string httpAnswer(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

/// @brief Server on the loopback that sends its answers in pieces. Serves one
/// connection at a time.
class PacedServer {
public:
  /// @brief Computes the answer to a request from its head; called on the
  /// thread of the server.
  using Handler = std::function<PacedAnswer(const std::string &Head)>;

  explicit PacedServer(Handler HandleRequest)
      : HandleRequest(std::move(HandleRequest)),
        Acceptor(Io, {boost::asio::ip::address_v4::loopback(), 0}),
        Thread([this] { serve(); }) {}
  PacedServer(const PacedServer &) = delete;
  PacedServer &operator=(const PacedServer &) = delete;
  /// @brief The other side must have closed its connections.
  ~PacedServer() {
    Stopped = true;
    boost::asio::ip::tcp::socket Wake(Io);
    boost::system::error_code Ignored;
    Wake.connect(Acceptor.local_endpoint(), Ignored);
    Thread.join();
  }

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

private:
  void serve() {
    // A connection whose answer has stopped stays open.
    std::vector<boost::asio::ip::tcp::socket> Silent;
    while (!Stopped) {
      boost::asio::ip::tcp::socket Peer(Io);
      Acceptor.accept(Peer);
      Peer.set_option(boost::asio::ip::tcp::no_delay(true));
      std::string Request;
      boost::system::error_code Code;
      bool Stalled = false;
      while (!Stopped && !Code && !Stalled) {
        const std::size_t Head = boost::asio::read_until(
            Peer, boost::asio::dynamic_buffer(Request), "\r\n\r\n", Code);
        if (!Code)
          Stalled = !send(Peer, HandleRequest(Request.substr(0, Head)), Code);
        Request.erase(0, Head);
      }
      if (Stalled)
        Silent.push_back(std::move(Peer));
    }
  }

  // Returns whether the whole answer was sent.
  bool send(boost::asio::ip::tcp::socket &Peer, const PacedAnswer &Answer,
            boost::system::error_code &Code) const {
    const std::size_t End = std::min(Answer.Bytes.size(), Answer.StopsAfter);
    for (std::size_t Sent = 0; Sent < End && !Code && !Stopped;) {
      const std::size_t Size = std::min(Answer.PieceBytes, End - Sent);
      boost::asio::write(
          Peer, boost::asio::buffer(Answer.Bytes.data() + Sent, Size), Code);
      Sent += Size;
      std::this_thread::sleep_for(Answer.Pause);
    }
    return End == Answer.Bytes.size();
  }

  const Handler HandleRequest;
  std::atomic<bool> Stopped{false};
  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::thread Thread;
};

} // namespace jujubecart::tests

#endif
