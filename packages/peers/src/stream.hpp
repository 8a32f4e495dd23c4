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

/// @brief Connected byte stream over TCP or TLS. All functions must be called
/// on the strand that is its executor.
class Stream {
public:
  using CompletionHandler =
      std::function<void(boost::system::error_code, std::size_t)>;

  virtual ~Stream() = default;
  [[nodiscard]] virtual boost::asio::any_io_executor executor() = 0;

  /// @brief Reads at least one byte; the buffer must live until the handler
  /// runs.
  virtual void read(boost::asio::mutable_buffer Buffer,
                    CompletionHandler Handler) = 0;

  /// @brief Writes the whole buffer, which must live until the handler runs.
  virtual void write(boost::asio::const_buffer Data,
                     CompletionHandler Handler) = 0;

  /// @brief Closes the socket without a TLS shutdown; pending operations fail.
  virtual void close() noexcept = 0;
};

/// @brief Stream over TCP without TLS.
class PlainStream final : public Stream {
public:
  explicit PlainStream(boost::asio::ip::tcp::socket Socket)
      : Socket(std::move(Socket)) {}

  [[nodiscard]] boost::asio::any_io_executor executor() override {
    return Socket.get_executor();
  }
  void read(boost::asio::mutable_buffer Buffer,
            CompletionHandler Handler) override {
    Socket.async_read_some(Buffer, std::move(Handler));
  }
  void write(boost::asio::const_buffer Data,
             CompletionHandler Handler) override {
    boost::asio::async_write(Socket, Data, std::move(Handler));
  }
  void close() noexcept override {
    boost::system::error_code Ignored;
    Socket.close(Ignored);
  }

private:
  boost::asio::ip::tcp::socket Socket;
};

/// @brief Stream over TLS; owns a reference to the context with its
/// certificates.
class TlsStream final : public Stream {
public:
  using Socket = boost::asio::ssl::stream<boost::asio::ip::tcp::socket>;

  TlsStream(std::shared_ptr<boost::asio::ssl::context> Context,
            std::unique_ptr<Socket> TlsSocket)
      : Context(std::move(Context)), TlsSocket(std::move(TlsSocket)) {}

  [[nodiscard]] boost::asio::any_io_executor executor() override {
    return TlsSocket->get_executor();
  }
  void read(boost::asio::mutable_buffer Buffer,
            CompletionHandler Handler) override {
    TlsSocket->async_read_some(Buffer, std::move(Handler));
  }
  void write(boost::asio::const_buffer Data,
             CompletionHandler Handler) override {
    boost::asio::async_write(*TlsSocket, Data, std::move(Handler));
  }
  void close() noexcept override {
    boost::system::error_code Ignored;
    TlsSocket->next_layer().close(Ignored);
  }

private:
  std::shared_ptr<boost::asio::ssl::context> Context;
  std::unique_ptr<Socket> TlsSocket;
};

} // namespace jujubecart::peers::internal

#endif
