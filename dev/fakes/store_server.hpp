#ifndef JUJUBECART_DEV_FAKES_STORE_SERVER_HPP
#define JUJUBECART_DEV_FAKES_STORE_SERVER_HPP

#include "fakes/http_server.hpp"
#include "fakes/store_model.hpp"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <random>

namespace jujubecart::dev {

/// @brief How requests fail during an outage.
enum class Outage : std::uint8_t {
  None,
  /// Responds with 503 without executing the request.
  Reject,
  /// Closes the connection without executing the request.
  Close,
  /// Holds requests without a response until the outage ends, then handles
  /// them.
  Silent,
};

/// @brief Injected faults, set by `POST /control`; absent keys keep their
/// value.
struct StoreFaults {
  Outage Mode = Outage::None;
  /// Delay before a request is executed.
  std::chrono::milliseconds Latency{0};
  /// Probability that a request is executed but the connection closed without a
  /// response.
  double LostResponseProbability = 0.0;
  /// Requests above the limit in a second get 429; 0 is no limit. Watches count
  /// as reads.
  std::uint64_t MaxReadsPerSecond = 0;
  std::uint64_t MaxWritesPerSecond = 0;
};

/// @brief Request counters, returned by `GET /stats`.
struct StoreCounters {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Conflicts = 0;
  std::uint64_t Rejected = 0;
};

/// @brief Fake of the platform's key-value store with fault injection. Speaks
/// its HTTP protocol (docs/design.md, section 7) under `/kv/`; needs a
/// single-threaded context.
class StoreServer {
public:
  /// @brief Listens on 127.0.0.1; port 0 picks a free one.
  StoreServer(boost::asio::io_context &Context, std::uint16_t Port);

  [[nodiscard]] std::uint16_t port() const { return Server.port(); }

private:
  using Reply = std::optional<HttpReply>;

  boost::asio::io_context &Context;
  StoreModel Model;
  StoreFaults Faults;
  StoreCounters Total;
  /// Counters of the second in progress and of the last complete one.
  StoreCounters CurrentSecond;
  StoreCounters LastSecond;
  std::mt19937_64 Engine{1};
  boost::asio::steady_timer SecondTimer;
  /// Never expires; cancelled to wake pending watches.
  boost::asio::steady_timer KeyChanged;
  std::uint64_t PendingWatches = 0;
  HttpServer Server;

  [[nodiscard]] core::Awaitable<void> rotateCounters();
  [[nodiscard]] core::Awaitable<Reply>
  respond(HttpRequest Message, boost::asio::ip::tcp::socket &Socket);
  [[nodiscard]] core::Awaitable<Reply>
  execute(HttpRequest Message, boost::asio::ip::tcp::socket &Socket);
  [[nodiscard]] core::Awaitable<Reply>
  watch(std::string Key, std::uint64_t After, std::uint64_t TimeoutMs,
        boost::asio::ip::tcp::socket &Socket);
  [[nodiscard]] HttpReply read(const std::string &Key) const;
  [[nodiscard]] HttpReply write(const std::string &Key, std::string Value,
                                std::uint64_t Expected);
  [[nodiscard]] bool isOverLimit(bool IsWrite) const noexcept;
  void count(std::uint64_t StoreCounters::*Counter);
  [[nodiscard]] HttpReply control(const std::string &Body);
  [[nodiscard]] HttpReply stats() const;
};

} // namespace jujubecart::dev

#endif
