#ifndef JUJUBECART_CALLERS_SRC_SERVER_STATE_HPP
#define JUJUBECART_CALLERS_SRC_SERVER_STATE_HPP

#include <jujubecart/callers/server.hpp>
#include <jujubecart/core/config_source.hpp>
#include <jujubecart/core/event_sink.hpp>
#include <jujubecart/core/http_reader.hpp>

#include <array>
#include <atomic>
#include <boost/asio/strand.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace jujubecart::callers::internal {

class CallerLink;

/// @brief Atomic form of ServerCounters.
struct LiveCounters {
  using Number = std::atomic<std::uint64_t>;

  Number AcceptedConnections{0};
  Number Received{0};
  Number Answered{0};
  Number Completed{0};
  Number Attempts{0};
  Number Retries{0};
  Number Hedges{0};
  Number CutResponses{0};
  Number InFlight{0};
  Number OpenConnections{0};
  std::array<Number, RejectReasons> Rejected{};

  void reject(RejectReason Reason) noexcept {
    ++Rejected[static_cast<std::size_t>(Reason)];
  }
};

/// @brief What all connections of a server share.
struct ServerState {
  ServerState(boost::asio::any_io_executor Executor, ServerOptions Options,
              ServerDependencies Uses)
      : Executor(std::move(Executor)), Options(Options), Uses(Uses),
        Accept(boost::asio::make_strand(this->Executor)), Acceptor(Accept) {}

  /// @brief Records a timeline event of a request.
  void event(std::string_view Kind, core::RequestId Request,
             std::string_view Server = {}, std::string_view Detail = {},
             std::uint64_t KeyHash = 0) const noexcept {
    Uses.Events.record({.Kind = std::string(Kind),
                        .Request = Request,
                        .OrderKeyHash = KeyHash,
                        .Server = std::string(Server),
                        .Detail = std::string(Detail)});
  }

  /// @brief Limits of the operators' configuration, or of the options.
  [[nodiscard]] core::CallerLimits limits() const {
    const auto Config = Uses.Config.current();
    if (const core::RoutingTable *Routing = Config->routing())
      return Routing->limits();
    return {.HeaderBytes = static_cast<std::uint32_t>(Options.MaxHead),
            .BodyBytes = Options.MaxBody,
            .HeaderTimeoutMs =
                static_cast<std::uint32_t>(Options.HeadTimeout.count()),
            .IdleTimeoutMs =
                static_cast<std::uint32_t>(Options.IdleTimeout.count())};
  }
  [[nodiscard]] core::HttpLimits httpLimits() const {
    const core::CallerLimits Current = limits();
    return {.Head = Current.HeaderBytes, .Body = Current.BodyBytes};
  }
  [[nodiscard]] std::chrono::milliseconds headTimeout() const {
    return std::chrono::milliseconds(limits().HeaderTimeoutMs);
  }
  [[nodiscard]] std::chrono::milliseconds idleTimeout() const {
    return std::chrono::milliseconds(limits().IdleTimeoutMs);
  }

  boost::asio::any_io_executor Executor;
  ServerOptions Options;
  ServerDependencies Uses;
  boost::asio::any_io_executor Accept;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::atomic<std::uint16_t> Port{0};
  std::atomic<bool> Draining{false};
  std::atomic<bool> Stopping{false};
  LiveCounters Counters;
  std::mutex Mutex;
  std::unordered_map<CallerLink *, std::weak_ptr<CallerLink>> Links;
};

} // namespace jujubecart::callers::internal

#endif
