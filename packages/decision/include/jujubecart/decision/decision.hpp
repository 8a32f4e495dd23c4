#ifndef JUJUBECART_DECISION_DECISION_HPP
#define JUJUBECART_DECISION_DECISION_HPP

#include <jujubecart/core/config.hpp>
#include <jujubecart/core/error.hpp>
#include <jujubecart/decision/pending_call.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace jujubecart::decision {

/// @brief What an ObjectiveDispatcher knew when it decided, for logging. A
/// rejection carries only Waiting, WaitingLate and SlotPricePercent.
struct DecisionFacts {
  /// Estimated probability that the call meets its latency objective, in
  /// percent.
  std::uint32_t OnTimePercent = 0;
  /// Time that work takes on the server, in percent of the usual time, as the
  /// server last reported it; empty before the first report.
  std::optional<std::uint32_t> PacePercent;
  /// Age of PacePercent at the decision.
  std::chrono::milliseconds PaceAge{0};
  /// Calls in flight on the server, this one not included.
  std::uint32_t InFlight = 0;
  /// Other waiting calls that may still meet their latency objective.
  std::size_t Waiting = 0;
  /// Other waiting calls that will probably miss their latency objective but
  /// can still meet their deadline; not included in Waiting.
  std::size_t WaitingLate = 0;
  /// Opportunity cost of a slot in percent of a call: 0 at low load, 100 if the
  /// arriving calls need all slots.
  std::uint32_t SlotPricePercent = 0;
};

/// @brief The call may be sent to a backend server. The user returns the grant
/// with Dispatcher::release when the call has ended.
struct Granted {
  /// Token of the PendingCall.
  CallToken Token = 0;
  /// Id for Dispatcher::release; unique within one dispatcher.
  std::uint64_t GrantId = 0;
  /// Copy of the server's configuration at the time of the decision.
  core::BackendServer Server;
  /// Set only by an ObjectiveDispatcher.
  std::optional<DecisionFacts> Facts;
  /// When a second attempt on another server is worth its cost; max if it never
  /// is.
  core::TimePoint HedgeAt = core::TimePoint::max();
};

/// @brief The call was refused; no backend server has received it.
struct Rejected {
  /// Token of the PendingCall.
  CallToken Token = 0;
  /// Overloaded, DeadlineExceeded, Unavailable if no server may get the call,
  /// or InvalidArgument if a call with this token is already waiting.
  core::Error Reason = core::Error::Overloaded;
  /// Suggested delay before the caller retries, with jitter.
  std::chrono::milliseconds RetryAfter{0};
  /// Set only by an ObjectiveDispatcher.
  std::optional<DecisionFacts> Facts;
};

/// @brief Outcome of one pending call.
using Decision = std::variant<Granted, Rejected>;

/// @brief Decisions in the order in which they were made.
using Decisions = std::vector<Decision>;

} // namespace jujubecart::decision

#endif
