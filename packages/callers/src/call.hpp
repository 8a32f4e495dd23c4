#ifndef JUJUBECART_CALLERS_SRC_CALL_HPP
#define JUJUBECART_CALLERS_SRC_CALL_HPP

#include "answer.hpp"
#include "attempt.hpp"
#include "caller_link.hpp"
#include "execution.hpp"
#include "request.hpp"
#include "request_body.hpp"

#include <jujubecart/core/config_source.hpp>
#include <jujubecart/core/hash.hpp>

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jujubecart::callers::internal {

/// @brief Serves one request, from reading its head to writing the end of its
/// response. Runs on the strand of its connection.
class Call final : public LinkListener {
public:
  Call(CallerLink &Link, ServerState &State);
  Call(const Call &) = delete;
  Call &operator=(const Call &) = delete;
  ~Call() override;

  /// @brief Serves the request.
  /// @return Whether the connection can serve another request.
  [[nodiscard]] core::Awaitable<bool> run();

  /// @brief Whether the connection needs a lingering close, since the caller
  /// may still be sending.
  [[nodiscard]] bool needsLinger() const noexcept { return LingerNeeded; }

  void onTimeout() override;
  void onCallerClosed() override;
  void onStop() override;
  void onCutOff() override;

private:
  /// What the call waits for, which decides how a timeout is handled.
  enum class Phase : std::uint8_t { Reading, Attempting, Writing };
  enum class CancelReason : std::uint8_t {
    None,
    TimedOut,
    CallerGone,
    /// The server stops and no backend server works on the request.
    Stopping,
    /// The server stops although a backend server may work on the request.
    CutOff,
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  // call.cpp: reading, validating and rejecting the request.
  [[nodiscard]] core::Awaitable<bool> rejectHead(core::HeadError Error);
  /// Checks all that is known before the body is read: configuration, route,
  /// limits, order key and deadline.
  [[nodiscard]] std::optional<Rejection> admit();
  [[nodiscard]] std::optional<Rejection> findService(bool KeysFresh);
  /// Whether the API keys that this VM knows are recent enough to be
  /// accepted, see ServerOptions::MaxKeyAge.
  [[nodiscard]] bool apiKeysAreFresh() const;
  /// Finds the workspace of the caller by its API key.
  /// @return 401 without a known key, 503 if the keys are not fresh; nothing on
  /// a public route.
  [[nodiscard]] std::optional<Rejection> findWorkspace(bool KeysFresh);
  [[nodiscard]] bool hasWorkspaces() const noexcept;
  [[nodiscard]] std::string_view workspaceName() const noexcept;
  [[nodiscard]] std::optional<Rejection> setDeadline();
  [[nodiscard]] core::Awaitable<bool> readBody();
  /// Writes a local response. Whether it states that no backend server ran the
  /// request follows from what is known.
  [[nodiscard]] core::Awaitable<bool> reject(Rejection Cause);
  [[nodiscard]] bool keepsConnection() const noexcept;
  void logEnd(unsigned Status, std::string_view Outcome,
              std::string_view Server) const;
  /// Replaces a rejection whose status promises more than is known.
  void correctPromise(Rejection &Cause) const;

  // call_close.cpp: callers that close before they have their response.
  /// Cancels the request if its caller has closed, whether or not the event
  /// loop has noticed it.
  /// @return Whether the request was cancelled because its caller closed.
  [[nodiscard]] bool endIfCallerClosed();
  /// Whether a backend server has not sent all of its response.
  [[nodiscard]] bool responsePending() const;
  /// How far the request has come.
  [[nodiscard]] CloseStage stage() const;
  void recordClose() const;
  /// Ends the request of a caller that is gone.
  void endWithoutResponse(const std::string &Server) const;

  // call_attempts.cpp: acquiring slots, attempts, retries, failures.
  [[nodiscard]] core::Awaitable<bool> forward();
  [[nodiscard]] core::Awaitable<void> runAttempt(AttemptPtr Current);
  [[nodiscard]] core::Awaitable<std::error_code>
  readResponseStart(AttemptPtr Current);
  [[nodiscard]] core::SlotRequest slotRequest() const;
  [[nodiscard]] std::shared_ptr<core::BackendRequest>
  makeBackendRequest(const Attempt &Current);
  /// Whether an attempt that has a slot may be sent now.
  [[nodiscard]] bool maySend(const Attempt &Current);
  [[nodiscard]] bool idempotent() const noexcept;
  [[nodiscard]] bool keepAsFallback(const AttemptPtr &Current);
  [[nodiscard]] core::Awaitable<AttemptPtr> runNextAttempt();
  [[nodiscard]] bool tryTakeRetry(const Attempt &Last);
  /// Whether another slot may be acquired after one that was not used.
  [[nodiscard]] bool mayAcquireAgain() const;
  [[nodiscard]] bool allowsAnotherAttempt() const;
  void onAttemptingTimeout();
  void onAttemptTimeout();

  // call_hedge.cpp: hedging with two concurrent attempts.
  [[nodiscard]] bool mayHedge() const;
  [[nodiscard]] core::Awaitable<AttemptPtr> runHedgedAttempts();
  /// Waits until an attempt has ended or its hedge is due.
  [[nodiscard]] core::Awaitable<void>
  waitForHedge(const Attempt &First, boost::asio::steady_timer &Wake);
  void logHedge(const Attempt &First) const;
  void startAttempt(const AttemptPtr &Current, boost::asio::steady_timer &Wake);

  // call_stop.cpp: ending in time when the server stops.
  void updateSendBy();
  /// Longest time that a response to such a request is expected to take.
  [[nodiscard]] std::chrono::microseconds expectedTime() const;
  [[nodiscard]] std::uint64_t workClass() const;
  [[nodiscard]] bool sendByPassed() const;
  [[nodiscard]] bool waitsForSlot() const;
  /// Whether a backend server may be working on the request.
  [[nodiscard]] bool sentAttemptPending() const;
  void endSlotWait();
  [[nodiscard]] Rejection stopRejection() const;
  [[nodiscard]] std::chrono::milliseconds
  retryAfter(const Rejection &Cause) const;

  // call_attempts.cpp: failure and cancellation.
  [[nodiscard]] core::Awaitable<bool> answerFailure(AttemptPtr Last);
  [[nodiscard]] Rejection rejectionFor(const Attempt &Last) const;
  /// Sets the timeout of the connection for the current phase.
  void armTimeout();
  void cancelAttempts(CancelReason Reason);
  void releaseUnusedClaim() noexcept;

  // call_relay.cpp: relaying the response to the caller.
  [[nodiscard]] core::Awaitable<bool> relay(AttemptPtr Current);
  [[nodiscard]] core::Awaitable<bool> streamBody(AttemptPtr Current,
                                                 bool Chunked);
  [[nodiscard]] BodyFraming responseFraming(const Attempt &Current) const;
  [[nodiscard]] std::string_view connectionField(const BodyFraming &Framing);
  /// Status with which a response is relayed: that of the backend server, or
  /// 502 if that one promises more than is known.
  [[nodiscard]] unsigned relayedStatus(const Attempt &Current) const;
  void recordReplaced(const Attempt &Current, unsigned Status) const;
  void abortResponse(const Attempt &Current);

  CallerLink &Link;
  ServerState &State;
  ParsedRequest Request;
  RequestBody Body;
  Phase CurrentPhase = Phase::Reading;
  /// When the head began to be read, and whether it still is.
  core::TimePoint HeadBegan;
  bool ReadsHead = true;
  CancelReason CancelledBy = CancelReason::None;
  /// Configuration in force when the request arrived; owns Service, Route and
  /// Workspace.
  core::ConfigSource::Snapshot Config;
  const core::ServiceConfig *Service = nullptr;
  /// Nullptr if there is no routing table, so that the rules of the services
  /// apply.
  const core::Route *Route = nullptr;
  /// Workspace of the caller; nullptr without a known API key.
  const core::Workspace *Workspace = nullptr;
  /// Set if the request is an order, which must not run twice.
  std::optional<core::OrderKey> Key;
  core::TimePoint Arrival;
  core::TimePoint Deadline;
  /// Until when the part of the body that is read before a slot is acquired
  /// must have arrived.
  core::TimePoint ReadUntil = core::TimePoint::max();
  /// Latest instant at which the request may be sent to a backend server,
  /// because the server stops; max if that does not matter.
  core::TimePoint SendBy = core::TimePoint::max();
  /// When a pending attempt of an idempotent request without a route is aborted
  /// and retried on another backend server; max if it is not.
  core::TimePoint AttemptTimeoutAt = core::TimePoint::max();
  /// Latest end that meets the latency objective of the route; max if none.
  core::TimePoint Objective = core::TimePoint::max();
  /// Part of the forwarded head that is the same in all attempts.
  std::string ForwardedHead;
  std::uint32_t MaxAttempts = 1;
  /// Filled by the broker when it refuses a slot.
  std::shared_ptr<core::RetryHint> Hint;
  /// Attempt with a complete 5xx response, which is relayed if no further
  /// attempt gets a usable response.
  AttemptPtr FallbackAttempt;
  /// Ids of the backend servers that earlier attempts used.
  std::vector<std::string> ExcludedServers;
  std::vector<AttemptPtr> ActiveAttempts;
  /// Cancelled when a hedged attempt gets its grant; nullptr without one.
  boost::asio::steady_timer *GrantWake = nullptr;
  /// Compared with MaxAttempts.
  std::uint32_t AttemptsSent = 0;
  /// Whether the next retry has already taken its token from the retry budget.
  bool RetryReserved = false;
  /// Whether the first attempt was recorded in the retry budget.
  bool FirstAttemptRecorded = false;
  /// Whether a slot was requested that claims the order key.
  bool ClaimRequested = false;
  /// Whether a slot was requested before.
  bool SlotRequested = false;
  ExecutionState Execution;
  bool LingerNeeded = false;
  bool CloseAfterResponse = false;
};

} // namespace jujubecart::callers::internal

#endif
