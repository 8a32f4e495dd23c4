#ifndef JUJUBECART_STORE_STORE_CONNECTIONS_HPP
#define JUJUBECART_STORE_STORE_CONNECTIONS_HPP

#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/http_limits.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace jujubecart::store {

using StoreRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/// @brief Creates a request without a body that keeps its connection alive.
/// @param Target Request target: path and query.
[[nodiscard]] StoreRequest makeStoreRequest(boost::beast::http::verb Method,
                                            const std::string &Target);

/// @brief Parses addresses that were validated with the settings.
/// @param Texts Each `IP:port`; any other text throws.
[[nodiscard]] std::vector<boost::asio::ip::tcp::endpoint>
parseEndpoints(const std::vector<std::string> &Texts);

/// @brief Connection that is kept alive; carries one exchange at a time.
struct StoreConnection {
  // The strand serializes the timeout of the stream with its operations when
  // several threads run the executor.
  explicit StoreConnection(const boost::asio::any_io_executor &Executor)
      : Stream(boost::asio::make_strand(Executor)) {}

  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer{core::MaxHttpBufferBytes};
  /// Whether a response was received on this connection.
  bool Used = false;
};

/// @brief Outcome of one exchange of a request and a response.
struct StoreExchange {
  /// Whether any byte of the request may have reached the store.
  bool Sent = false;
  /// Whether the exchange failed because the deadline passed.
  bool TimedOut = false;
  /// Whether the response has a larger body than the request allows.
  bool TooLarge = false;
  /// When the first bytes of the response arrived; the epoch if none did.
  core::TimePoint BegunAt{};
  /// HTTP status; 0 if no complete response arrived.
  unsigned Status = 0;
  std::string Body;
  /// Names and values of the header fields.
  std::vector<std::pair<std::string, std::string>> Head;
};

/// @brief Pool of connections to the endpoints of the store; may be used from
/// several threads.
class StoreConnections {
public:
  /// A value has up to 1 MB; JSON escaping can make it up to six times as long.
  static constexpr std::uint64_t DefaultMaxBodyBytes = std::uint64_t{8} << 20;

  StoreConnections(boost::asio::any_io_executor Executor,
                   std::vector<boost::asio::ip::tcp::endpoint> Endpoints);

  /// @brief Sends a request at most once. Tries further endpoints only if no
  /// connection could be established.
  /// @param Deadline Of the whole exchange; a large response may arrive later
  /// for as long as its bytes arrive steadily.
  [[nodiscard]] core::Awaitable<StoreExchange>
  sendOnce(StoreRequest Message, core::TimePoint Deadline,
           std::uint64_t MaxBodyBytes = DefaultMaxBodyBytes);

  /// @brief Sends an idempotent request, and again on other endpoints if the
  /// connection fails before the response.
  /// @param Deadline As for sendOnce().
  /// @param MaxBodyBytes Largest body of the response.
  [[nodiscard]] core::Awaitable<StoreExchange>
  sendIdempotent(StoreRequest Message, core::TimePoint Deadline,
                 std::uint64_t MaxBodyBytes = DefaultMaxBodyBytes);

private:
  const boost::asio::any_io_executor Executor;
  const std::vector<boost::asio::ip::tcp::endpoint> Endpoints;
  std::mutex Mutex;
  std::vector<std::shared_ptr<StoreConnection>> Idle;
  /// Index of the endpoint that is tried first.
  std::size_t Preferred = 0;

  [[nodiscard]] std::shared_ptr<StoreConnection> makeConnection() const;
  /// @brief Takes a usable idle connection; null if there is none.
  [[nodiscard]] std::shared_ptr<StoreConnection> takeIdle();
  [[nodiscard]] std::size_t preferred();
  void returnIdle(std::shared_ptr<StoreConnection> Connection);
  /// @brief Makes the next endpoint the preferred one if this one was.
  void skipEndpoint(std::size_t Endpoint);
  [[nodiscard]] core::Awaitable<std::shared_ptr<StoreConnection>>
  connect(core::TimePoint Deadline);
  [[nodiscard]] core::Awaitable<bool>
  connectTo(std::shared_ptr<StoreConnection> Connection, std::size_t Endpoint,
            core::TimePoint Deadline);
  [[nodiscard]] core::Awaitable<StoreExchange>
  exchange(std::shared_ptr<StoreConnection> Connection, StoreRequest Message,
           core::TimePoint Deadline, std::uint64_t MaxBodyBytes);
};

} // namespace jujubecart::store

#endif
