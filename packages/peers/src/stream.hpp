#ifndef JUJUBECART_PEERS_SRC_STREAM_HPP
#define JUJUBECART_PEERS_SRC_STREAM_HPP

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <utility>

namespace jujubecart::peers::internal {

/// @brief Connected byte stream, plain or TLS; all calls on its strand.
class Stream {
public:
  using Done = std::function<void(boost::system::error_code, std::size_t)>;

  virtual ~Stream() = default;
  [[nodiscard]] virtual boost::asio::any_io_executor executor() = 0;
  virtual void read(boost::asio::mutable_buffer Into, Done Then) = 0;
  virtual void write(boost::asio::const_buffer From, Done Then) = 0;
  virtual void close() noexcept = 0;
};

/// @brief Stream over a plain socket.
class PlainStream final : public Stream {
public:
  explicit PlainStream(boost::asio::ip::tcp::socket Socket)
      : Socket(std::move(Socket)) {}

  [[nodiscard]] boost::asio::any_io_executor executor() override {
    return Socket.get_executor();
  }
  void read(boost::asio::mutable_buffer Into, Done Then) override {
    Socket.async_read_some(Into, std::move(Then));
  }
  void write(boost::asio::const_buffer From, Done Then) override {
    boost::asio::async_write(Socket, From, std::move(Then));
  }
  void close() noexcept override {
    boost::system::error_code Ignored;
    Socket.close(Ignored);
  }

private:
  boost::asio::ip::tcp::socket Socket;
};

/// @brief Stream over TLS; keeps the context of its certificates.
class TlsStream final : public Stream {
public:
  using Socket = boost::asio::ssl::stream<boost::asio::ip::tcp::socket>;

  TlsStream(std::shared_ptr<boost::asio::ssl::context> Context,
            std::unique_ptr<Socket> Secured)
      : Context(std::move(Context)), Secured(std::move(Secured)) {}

  [[nodiscard]] boost::asio::any_io_executor executor() override {
    return Secured->get_executor();
  }
  void read(boost::asio::mutable_buffer Into, Done Then) override {
    Secured->async_read_some(Into, std::move(Then));
  }
  void write(boost::asio::const_buffer From, Done Then) override {
    boost::asio::async_write(*Secured, From, std::move(Then));
  }
  void close() noexcept override {
    boost::system::error_code Ignored;
    Secured->next_layer().close(Ignored);
  }

private:
  std::shared_ptr<boost::asio::ssl::context> Context;
  std::unique_ptr<Socket> Secured;
};

} // namespace jujubecart::peers::internal

#endif
