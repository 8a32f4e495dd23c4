#ifndef JUJUBECART_CALLERS_SRC_ATTEMPT_HPP
#define JUJUBECART_CALLERS_SRC_ATTEMPT_HPP

#include "request_body.hpp"

#include <jujubecart/core/backend_transport.hpp>
#include <jujubecart/core/slot_broker.hpp>

#include <memory>
#include <optional>
#include <system_error>

namespace jujubecart::callers::internal {

/// @brief One attempt to get a response from a backend server. Releases its
/// slot exactly once, at the latest on destruction.
class Attempt {
public:
  Attempt(core::SlotBroker &Broker, RequestBody &Body)
      : Broker(Broker), Cursor(Body) {}
  Attempt(const Attempt &) = delete;
  Attempt &operator=(const Attempt &) = delete;
  ~Attempt() { release(); }

  /// @brief Releases the slot and reports the outcome so far to the broker;
  /// does nothing without a slot or when called again.
  void release() noexcept {
    if (!Granted || Released)
      return;
    Released = true;
    Broker.release(Grant, report());
  }

  /// @brief Outcome so far; Withheld before the exchange was created.
  [[nodiscard]] core::CallReport report() const noexcept {
    return Exchange ? Exchange->report()
                    : core::CallReport{.Outcome = core::CallOutcome::Withheld};
  }

  /// @brief Whether there is a response that can be relayed to the caller.
  [[nodiscard]] bool hasUsableResponse() const noexcept {
    return Exchange && !Failure &&
           report().Outcome != core::CallOutcome::Rejected;
  }

  /// @brief Aborts the exchange; an attempt that still waits for its slot ends
  /// as soon as the slot is granted.
  void abort(core::AbortReason Reason) noexcept {
    Aborted = true;
    if (Exchange)
      Exchange->abort(Reason);
  }

  core::SlotBroker &Broker;
  /// Position in the request body.
  BodyCursor Cursor;
  core::SlotGrant Grant;
  /// Whether its slot request counted against the quota of the workspace.
  bool CountsAgainstQuota = false;
  std::unique_ptr<core::BackendExchange> Exchange;
  std::error_code Failure;
  /// Buffer for the response body; holds its first bytes before relaying.
  std::unique_ptr<char[]> Buffer;
  /// Bytes allocated.
  std::size_t Capacity = 0;
  /// Bytes of the body read before relaying.
  std::size_t Size = 0;
  bool Granted = false;
  bool Released = false;
  bool Aborted = false;
  /// Whether the coroutine of a hedged attempt has ended.
  bool Done = false;
};

} // namespace jujubecart::callers::internal

#endif
