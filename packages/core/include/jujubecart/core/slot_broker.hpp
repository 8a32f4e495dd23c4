#ifndef JUJUBECART_CORE_SLOT_BROKER_HPP
#define JUJUBECART_CORE_SLOT_BROKER_HPP

#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/config.hpp>
#include <jujubecart/core/error.hpp>
#include <jujubecart/core/hash.hpp>
#include <jujubecart/core/load_report.hpp>
#include <jujubecart/core/rate_limit.hpp>
#include <jujubecart/core/request_id.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jujubecart::core {

/// @brief Retry hint of a dispatcher that rejects a slot request.
struct RetryHint {
  /// Earliest time for a retry, if the dispatcher stated one.
  std::optional<TimePoint> RetryAt;
};

/// @brief Request for a slot on a backend server of a service.
///
/// A slot is the permission to have one more request in flight on a server.
struct SlotRequest {
  std::string Service;
  RequestId Request;
  TimePoint Deadline;
  /// Priority under overload; lower values are served first.
  std::uint8_t Priority = 5;
  /// Hash that identifies the caller, for fair queueing between callers.
  std::uint64_t CallerHash = 0;
  /// Idempotency key, set for orders; claimed before the slot is granted.
  std::optional<OrderKey> Key;
  /// Ids of the backend servers used by earlier attempts of this request.
  std::vector<std::string> Excluded;
  /// Latest end of the request that meets its latency objective;
  /// TimePoint::max() if there is none.
  TimePoint Objective = TimePoint::max();
  /// Identifies a class of requests with similar service times; 0 if unknown.
  std::uint64_t WorkClass = 0;
  /// Workspace::hash() of the caller's workspace; 0 without one.
  std::uint64_t Workspace = 0;
  /// Whether the request has had no slot yet, so that it counts against the
  /// quota of its workspace.
  bool CountsAgainstQuota = false;
  /// Filled in if the request is rejected; may be nullptr.
  std::shared_ptr<RetryHint> Hint;
};

/// @brief A granted slot: permission to send one attempt to a backend server.
struct SlotGrant {
  std::uint64_t Id = 0;
  /// Dispatch group that granted the slot.
  std::string Group;
  /// VM id of the dispatcher; empty if this VM made the decision.
  std::string Dispatcher;
  BackendServer Server;
  /// When a second attempt on another server is worth its cost, if the request
  /// may run twice; TimePoint::max() if it never is.
  TimePoint HedgeAt = TimePoint::max();

  friend auto operator<=>(const SlotGrant &, const SlotGrant &) = default;
};

/// @brief How one attempt ended.
enum class CallOutcome : std::uint8_t {
  Completed,
  /// The connection failed, or no byte of the request was written.
  NotSent,
  /// The backend server rejected the request without executing it.
  Rejected,
  TimedOut,
  /// After sending began, the connection closed or the response was invalid.
  Broken,
  /// This VM aborted the attempt: the caller disconnected, or another attempt
  /// of a hedged request finished first.
  Cancelled,
  /// This VM did not use the slot and sent nothing.
  Withheld,
};

/// @brief Result of one finished attempt, as reported to the dispatcher.
struct CallReport {
  CallOutcome Outcome = CallOutcome::Completed;
  /// Time from the first byte sent to the end of the response.
  std::chrono::microseconds Elapsed{0};
  /// Load as reported by the backend server.
  std::optional<LoadReport> Load;
  /// The backend server reported that it is draining.
  bool Draining = false;
  /// The response has an HTTP status of 500 or above, or one to an order that
  /// promises that the order has not run, without the server's statement.
  bool ServerError = false;
  /// Another server process than the expected one answered.
  bool OtherInstance = false;
  /// Rate limit that the response stated. A response without one states that
  /// there is none.
  std::optional<RateLimit> Limit;
  /// The server wants no requests of this VM before this time. Not passed on to
  /// the dispatcher.
  std::optional<TimePoint> QuietUntil;
  /// Bytes of the request and the response; 0 if unknown.
  std::uint64_t Bytes = 0;
  /// The server states that it is cold until this time. Not passed on to the
  /// dispatcher.
  std::optional<TimePoint> ColdUntil;

  friend bool operator==(const CallReport &, const CallReport &) = default;
};

/// @brief Whether an outcome proves that the request was not executed.
[[nodiscard]] constexpr bool certainlyNotRun(CallOutcome Outcome) noexcept {
  return Outcome == CallOutcome::NotSent || Outcome == CallOutcome::Rejected ||
         Outcome == CallOutcome::Withheld;
}

/// @brief Whether an outcome tells nothing about the backend server.
[[nodiscard]] constexpr bool inconclusive(CallOutcome Outcome) noexcept {
  return Outcome == CallOutcome::Cancelled || Outcome == CallOutcome::Withheld;
}

/// @brief Whether the attempt ended with a response of the backend server.
[[nodiscard]] constexpr bool answered(CallOutcome Outcome) noexcept {
  return Outcome == CallOutcome::Completed || Outcome == CallOutcome::Rejected;
}

/// @brief Assigns requests to backend servers, and queues them under load.
class SlotBroker {
public:
  virtual ~SlotBroker() = default;

  /// @brief Waits for a slot.
  /// @return The grant, or Overloaded, DeadlineExceeded, OrderRepeated,
  /// Unavailable, NotFound or Cancelled; after an error no slot is held.
  [[nodiscard]] virtual Awaitable<Result<SlotGrant>>
  acquire(SlotRequest Request) = 0;

  /// @brief Ends a waiting acquire(), which then returns Cancelled.
  virtual void cancel(RequestId Request) noexcept = 0;

  /// @brief Whether a request may still be sent with a grant. Its server may
  /// have stated since then that it wants none, or have left.
  [[nodiscard]] virtual bool permits(const SlotGrant &Grant) const noexcept = 0;

  /// @brief Frees a slot; called exactly once for each grant.
  /// @param Report Result of the attempt.
  virtual void release(const SlotGrant &Grant,
                       const CallReport &Report) noexcept = 0;

  /// @brief Releases the idempotency key of an order of which no attempt was
  /// executed, so that the caller may use the key again.
  virtual void releaseClaim(const std::string &Service, OrderKey Key,
                            RequestId Request) noexcept = 0;
};

} // namespace jujubecart::core

#endif
