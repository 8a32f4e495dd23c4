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

/// @brief How an outage shows to clients.
enum class Outage : std::uint8_t {
  None,
  /// 503 before anything is executed.
  Reject,
  /// The connection is closed before anything is executed.
  Close,
  /// Requests are held without response until the outage ends.
  Silent,
};

/// @brief Faults that `POST /control` sets; absent keys keep their value.
struct StoreFaults {
  Outage Mode = Outage::None;
  std::chrono::milliseconds Latency{0};
  /// Probability that a request is executed and the connection then closed.
  double LoseAnswer = 0.0;
  /// Requests per second above which 429 is returned; 0 is no limit.
  std::uint64_t MaxReads = 0;
  std::uint64_t MaxWrites = 0;
};

/// @brief Counters that `GET /stats` returns.
struct StoreCounters {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Conflicts = 0;
  std::uint64_t Rejected = 0;
};

/// @brief The store's protocol (docs/design.md, section 7) with faults.
class StoreServer {
public:
  StoreServer(boost::asio::io_context &Context, std::uint16_t Port);

  [[nodiscard]] std::uint16_t port() const { return Server.port(); }

private:
  using Reply = std::optional<HttpReply>;

  boost::asio::io_context &Context;
  StoreModel Model;
  StoreFaults Faults;
  StoreCounters Total;
  /// Counts of the second in progress and of the last complete one.
  StoreCounters Current;
  StoreCounters Last;
  std::mt19937_64 Engine{1};
  boost::asio::steady_timer SecondTimer;
  boost::asio::steady_timer Change;
  std::uint64_t PendingWatches = 0;
  HttpServer Server;

  [[nodiscard]] core::Awaitable<void> countSeconds();
  [[nodiscard]] core::Awaitable<Reply>
  respond(HttpRequest Message, boost::asio::ip::tcp::socket &Socket);
  [[nodiscard]] core::Awaitable<Reply>
  access(HttpRequest Message, boost::asio::ip::tcp::socket &Socket);
  [[nodiscard]] core::Awaitable<Reply>
  watch(std::string Key, std::uint64_t After, std::uint64_t TimeoutMs,
        boost::asio::ip::tcp::socket &Socket);
  [[nodiscard]] HttpReply read(const std::string &Key) const;
  [[nodiscard]] HttpReply write(const std::string &Key, std::string Value,
                                std::uint64_t Expected);
  [[nodiscard]] bool overLimit(bool IsWrite) const noexcept;
  void count(std::uint64_t StoreCounters::*Counter);
  [[nodiscard]] HttpReply control(const std::string &Body);
  [[nodiscard]] HttpReply stats() const;
};

} // namespace jujubecart::dev

#endif
