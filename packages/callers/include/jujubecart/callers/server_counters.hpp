#ifndef JUJUBECART_CALLERS_SERVER_COUNTERS_HPP
#define JUJUBECART_CALLERS_SERVER_COUNTERS_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace jujubecart::callers {

/// @brief Why a request ended without a response of a backend server.
enum class RejectReason : std::uint8_t {
  Malformed,
  /// No routing rule matches host and path.
  NoRule,
  /// No configuration has been loaded yet.
  NotReady,
  TooLarge,
  /// The head or the body was not received in time.
  Slow,
  /// The idempotency key was already used.
  OrderRepeated,
  Overloaded,
  /// No backend server is available.
  Unavailable,
  DeadlineExceeded,
  /// A backend server may have run the request, but no valid response came.
  BadResponse,
  /// The caller closed its connection, or the request was cut off by a stop.
  CallerGone,
  /// Too many open connections.
  ConnectionLimit,
  /// The server stops before the request could be answered.
  Stopping,
  /// The request has no API key of a workspace.
  Unauthorized,
  /// This VM does not know whether its API keys are still valid.
  KeysOutdated,
  /// The workspace has used its quota.
  QuotaExceeded,
};

/// Number of RejectReason values.
constexpr std::size_t RejectReasonCount = 16;

/// @brief Name of a reason in metric labels and timeline events.
[[nodiscard]] std::string_view toString(RejectReason Reason) noexcept;

/// @brief How far a request had come when a close of its caller was noticed.
enum class CloseStage : std::uint8_t {
  /// The VM reads the part of the body that it buffers.
  Body,
  /// No slot has been granted yet, or none for the current attempt.
  Slot,
  /// The request has a slot, but has not been sent.
  Connection,
  /// A backend server may be working on the request.
  Sent,
  /// The response is being written to the caller.
  Response,
};

/// Number of CloseStage values.
constexpr std::size_t CloseStageCount = 5;

/// @brief Name of a stage in metric labels and log lines.
[[nodiscard]] std::string_view toString(CloseStage Stage) noexcept;

/// @brief Totals since the server was created, unless stated otherwise.
struct ServerCounters {
  std::uint64_t AcceptedConnections = 0;
  /// Requests, including those with an invalid, oversized or late head.
  std::uint64_t Received = 0;
  /// Responses of backend servers relayed in full.
  std::uint64_t Completed = 0;
  /// Attempts for which a slot was granted.
  std::uint64_t Attempts = 0;
  /// Decisions to make another attempt after one that failed.
  std::uint64_t Retries = 0;
  /// Second attempts started while the first one was still pending.
  std::uint64_t Hedges = 0;
  /// Responses that ended early after relaying had begun.
  std::uint64_t TruncatedResponses = 0;
  /// Responses relayed with another status, because that of the backend server
  /// promises that the request has not run, without a statement of that.
  std::uint64_t ReplacedStatuses = 0;
  /// Indexed by RejectReason.
  std::array<std::uint64_t, RejectReasonCount> Rejected{};
  /// Callers that closed before they had their response, indexed by CloseStage.
  std::array<std::uint64_t, CloseStageCount> Closes{};
  /// Current number of requests being received or served.
  std::uint64_t InFlight = 0;
  /// Current number of open connections.
  std::uint64_t OpenConnections = 0;

  /// @brief Number of requests rejected for a reason.
  [[nodiscard]] std::uint64_t rejected(RejectReason Reason) const noexcept {
    return Rejected[static_cast<std::size_t>(Reason)];
  }

  /// @brief Number of closes that were noticed at a stage.
  [[nodiscard]] std::uint64_t closes(CloseStage Stage) const noexcept {
    return Closes[static_cast<std::size_t>(Stage)];
  }
};

} // namespace jujubecart::callers

#endif
