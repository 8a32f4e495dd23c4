#ifndef JUJUBECART_CALLERS_SRC_SERVER_STATE_HPP
#define JUJUBECART_CALLERS_SRC_SERVER_STATE_HPP

#include "body_budget.hpp"
#include "response_times.hpp"

#include <jujubecart/callers/server.hpp>
#include <jujubecart/core/config_source.hpp>
#include <jujubecart/core/event_sink.hpp>
#include <jujubecart/core/http_reader.hpp>

#include <array>
#include <atomic>
#include <boost/asio/strand.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace jujubecart::callers::internal {

class CallerLink;

/// @brief ServerCounters with atomic members, updated from several threads.
struct LiveCounters {
  using Counter = std::atomic<std::uint64_t>;

  Counter AcceptedConnections{0};
  Counter Received{0};
  /// Requests that ended, with or without a response.
  Counter Answered{0};
  Counter Completed{0};
  Counter Attempts{0};
  Counter Retries{0};
  Counter Hedges{0};
  Counter TruncatedResponses{0};
  Counter ReplacedStatuses{0};
  Counter InFlight{0};
  Counter OpenConnections{0};
  std::array<Counter, RejectReasonCount> Rejected{};
  std::array<Counter, CloseStageCount> Closes{};

  void countRejected(RejectReason Reason) noexcept {
    ++Rejected[static_cast<std::size_t>(Reason)];
  }
  void countClose(CloseStage Stage) noexcept {
    ++Closes[static_cast<std::size_t>(Stage)];
  }
};

/// @brief State shared by the connections of a server.
struct ServerState final : core::HttpLimitSource {
  ServerState(boost::asio::any_io_executor Executor, ServerOptions Options,
              ServerDependencies Dependencies)
      : Executor(std::move(Executor)), Options(Options),
        Dependencies(Dependencies), Bodies(Options.BufferedBodyBudget),
        AcceptExecutor(boost::asio::make_strand(this->Executor)),
        Acceptor(AcceptExecutor) {}

  /// @brief Records a timeline event of a request.
  /// @param Server Id of the backend server, or empty.
  /// @param KeyHash Upper 64 bits of the order key, or 0.
  void recordEvent(std::string_view Kind, core::RequestId Request,
                   std::string_view Server = {}, std::string_view Detail = {},
                   std::uint64_t KeyHash = 0) const noexcept {
    Dependencies.Events.record({.Kind = std::string(Kind),
                                .Request = Request,
                                .OrderKeyHash = KeyHash,
                                .Server = std::string(Server),
                                .Detail = std::string(Detail)});
  }

  /// @brief Limits of the routing table, or of the options if there is none.
  [[nodiscard]] core::CallerLimits limits() const {
    const auto Config = Dependencies.Config.current();
    if (const core::RoutingTable *Routing = Config->routing())
      return Routing->limits();
    return {.HeaderBytes = static_cast<std::uint32_t>(Options.MaxHeadBytes),
            .BodyBytes = Options.MaxBodyBytes,
            .HeaderTimeoutMs =
                static_cast<std::uint32_t>(Options.HeadTimeout.count()),
            .IdleTimeoutMs =
                static_cast<std::uint32_t>(Options.IdleTimeout.count())};
  }
  [[nodiscard]] core::HttpLimits httpLimits() const override {
    const core::CallerLimits Current = limits();
    return {.MaxHeadBytes = Current.HeaderBytes,
            .MaxBodyBytes = Current.BodyBytes};
  }
  [[nodiscard]] std::chrono::milliseconds headTimeout() const {
    return std::chrono::milliseconds(limits().HeaderTimeoutMs);
  }
  [[nodiscard]] std::chrono::milliseconds idleTimeout() const {
    return std::chrono::milliseconds(limits().IdleTimeoutMs);
  }

  /// @brief Sets or replaces the schedule of a stop.
  void setSchedule(const StopSchedule &Schedule) {
    const std::lock_guard Lock(Mutex);
    Stop = Schedule;
  }
  /// @brief Schedule of the stop, if one has begun.
  [[nodiscard]] std::optional<StopSchedule> schedule() const {
    const std::lock_guard Lock(Mutex);
    return Stop;
  }

  boost::asio::any_io_executor Executor;
  ServerOptions Options;
  ServerDependencies Dependencies;
  /// Memory for large request bodies.
  BodyBudget Bodies;
  /// Strand on which the acceptor is used.
  boost::asio::any_io_executor AcceptExecutor;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::atomic<std::uint16_t> Port{0};
  std::atomic<bool> Draining{false};
  std::atomic<bool> Stopping{false};
  LiveCounters Counters;
  ResponseTimes Times;
  /// Guards Links and Stop.
  mutable std::mutex Mutex;
  std::unordered_map<CallerLink *, std::weak_ptr<CallerLink>> Links;
  std::optional<StopSchedule> Stop;
};

} // namespace jujubecart::callers::internal

#endif
