#ifndef JUJUBECART_CALLERS_SRC_CALL_HPP
#define JUJUBECART_CALLERS_SRC_CALL_HPP

#include "answer.hpp"
#include "attempt.hpp"
#include "caller_link.hpp"
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

/// @brief Serves one request from its head to the end of its response.
class Call final : public LinkListener {
public:
  Call(CallerLink &Link, ServerState &State);
  Call(const Call &) = delete;
  Call &operator=(const Call &) = delete;
  ~Call() override;

  /// @brief Serves the request.
  /// @return Whether the connection can serve another one.
  [[nodiscard]] core::Awaitable<bool> run();

  /// @brief Whether the caller may still be sending.
  [[nodiscard]] bool needsLinger() const noexcept { return Linger; }

  void onDue() override;
  void onDeparted() override;
  void onCutOff() override;

private:
  enum class Phase : std::uint8_t { Reading, Attempting, Writing };
  enum class StopReason : std::uint8_t { None, TimedOut, CallerGone, CutOff };
  using AttemptPtr = std::shared_ptr<Attempt>;

  // call.cpp: reading and checking the request.
  [[nodiscard]] core::Awaitable<bool> rejectHead(core::HeadError Error);
  [[nodiscard]] std::optional<Fault> admit();
  [[nodiscard]] std::optional<Fault> findService();
  [[nodiscard]] std::optional<Fault> setDeadline();
  [[nodiscard]] core::Awaitable<bool> readBody();
  [[nodiscard]] core::Awaitable<bool> reject(Fault Why, bool NotRun);
  [[nodiscard]] bool keepsConnection() const noexcept;
  void logEnd(unsigned Status, std::string_view Outcome,
              std::string_view Server) const;

  // call_attempts.cpp: slots, attempts, retries.
  [[nodiscard]] core::Awaitable<bool> forward();
  [[nodiscard]] core::Awaitable<void> runAttempt(AttemptPtr Which);
  [[nodiscard]] core::Awaitable<std::error_code> preload(AttemptPtr Which);
  [[nodiscard]] core::SlotRequest slotRequest() const;
  [[nodiscard]] std::shared_ptr<core::BackendRequest>
  outgoing(const core::BackendServer &Server) const;
  [[nodiscard]] bool idempotent() const noexcept;
  [[nodiscard]] bool keepsForLater(const AttemptPtr &Which);
  [[nodiscard]] core::Awaitable<AttemptPtr> nextAttempt();
  [[nodiscard]] bool mayRetry(core::CallOutcome Outcome);
  [[nodiscard]] bool mayRepeat() const;
  void abortSilentAttempt();

  // call_hedge.cpp: two attempts at the same time.
  [[nodiscard]] bool mayHedge() const;
  [[nodiscard]] core::Awaitable<AttemptPtr> race();
  void startAttempt(const AttemptPtr &Which, boost::asio::steady_timer &Wake);
  [[nodiscard]] core::Awaitable<bool> fail(AttemptPtr Last);
  [[nodiscard]] Fault explain(const Attempt &Last) const;
  void cancelAttempts(StopReason Reason);
  void endOrder() noexcept;

  // call_relay.cpp: the response.
  [[nodiscard]] core::Awaitable<bool> relay(AttemptPtr Which);
  [[nodiscard]] core::Awaitable<bool> stream(AttemptPtr Which, bool Chunked);
  [[nodiscard]] BodyFraming framing(const Attempt &Which) const;
  [[nodiscard]] std::string_view connectionField(const BodyFraming &Framing);
  void cutResponse(const Attempt &Which);

  CallerLink &Link;
  ServerState &State;
  Request What;
  RequestBody Body;
  Phase Now = Phase::Reading;
  StopReason Stopped = StopReason::None;
  core::ConfigSource::Snapshot Config;
  const core::ServiceConfig *Service = nullptr;
  /// Nullptr if the rules of the service apply.
  const core::Route *Route = nullptr;
  std::optional<core::OrderKey> Key;
  core::TimePoint Arrival;
  core::TimePoint Deadline;
  /// When a lookup without a response is tried elsewhere, or max.
  core::TimePoint SilentDue = core::TimePoint::max();
  /// Latest end that meets the latency objective.
  core::TimePoint Objective = core::TimePoint::max();
  /// Head that all attempts share.
  std::string ForwardedHead;
  std::uint32_t MaxAttempts = 1;
  std::shared_ptr<core::RefusalAdvice> Advice;
  /// A complete failure of a backend server, passed on if no other attempt
  /// does better.
  AttemptPtr Spare;
  std::vector<std::string> Excluded;
  std::vector<AttemptPtr> Active;
  std::uint32_t Sent = 0;
  bool RetryReserved = false;
  /// Whether the retry budget knows of this request.
  bool Counted = false;
  bool ClaimTried = false;
  bool KeyRepeated = false;
  bool MaybeRun = false;
  bool Linger = false;
  bool Close = false;
};

} // namespace jujubecart::callers::internal

#endif
