#ifndef JUJUBECART_TESTS_PLATFORM_STORE_STAND_IN_HPP
#define JUJUBECART_TESTS_PLATFORM_STORE_STAND_IN_HPP

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace jujubecart::tests {

/// @brief Fake of the platform's store: a function computes each response.
/// Status 0 closes the connection, status 1 never responds.
class FakeStore {
public:
  struct Response {
    unsigned Status = 200;
    std::string Body;
    /// Value of the header field Store-Era; no field if it is empty.
    std::string Era = {};
  };
  using Handler = std::function<Response(const std::string &Target,
                                         const std::string &Body)>;

  /// @param HandleRequest Called on the thread of the fake store.
  explicit FakeStore(Handler HandleRequest)
      : HandleRequest(std::move(HandleRequest)), Acceptor(Io, {Loopback, 0}),
        Thread([this] { serve(); }) {}
  ~FakeStore() {
    Stopped = true;
    boost::asio::ip::tcp::socket Wake(Io);
    boost::system::error_code Ignored;
    Wake.connect(Acceptor.local_endpoint(), Ignored);
    Thread.join();
  }

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }
  /// Requests received so far.
  std::atomic<int> Calls{0};

private:
  void serve() {
    namespace http = boost::beast::http;
    std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> Silent;
    while (!Stopped) {
      auto Peer = std::make_unique<boost::asio::ip::tcp::socket>(Io);
      Acceptor.accept(*Peer);
      boost::beast::flat_buffer Buffer;
      boost::system::error_code Code;
      while (!Stopped && !Code) {
        http::request<http::string_body> Request;
        http::read(*Peer, Buffer, Request, Code);
        if (Code)
          break;
        ++Calls;
        const Response Reply =
            HandleRequest(std::string(Request.target()), Request.body());
        if (Reply.Status == 1) {
          Silent.push_back(std::move(Peer));
          break;
        }
        if (Reply.Status == 0)
          break;
        http::response<http::string_body> Message;
        Message.result(Reply.Status);
        Message.body() = Reply.Body;
        if (!Reply.Era.empty())
          Message.set("Store-Era", Reply.Era);
        Message.prepare_payload();
        http::write(*Peer, Message, Code);
      }
    }
  }

  static inline const auto Loopback = boost::asio::ip::address_v4::loopback();
  Handler HandleRequest;
  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::atomic<bool> Stopped{false};
  std::thread Thread;
};

} // namespace jujubecart::tests

#endif
