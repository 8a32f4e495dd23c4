#ifndef JUJUBECART_CALLERS_SRC_ATTEMPT_HPP
#define JUJUBECART_CALLERS_SRC_ATTEMPT_HPP

#include "request_body.hpp"

#include <jujubecart/core/backend_transport.hpp>
#include <jujubecart/core/slot_broker.hpp>

#include <memory>
#include <optional>
#include <system_error>

namespace jujubecart::callers::internal {

/// @brief One attempt of a call; returns its slot exactly once.
class Attempt {
public:
  Attempt(core::SlotBroker &Broker, RequestBody &Body)
      : Broker(Broker), Cursor(Body) {}
  Attempt(const Attempt &) = delete;
  Attempt &operator=(const Attempt &) = delete;
  ~Attempt() { release(); }

  /// @brief Returns the slot with the outcome so far.
  void release() noexcept {
    if (!Granted || Released)
      return;
    Released = true;
    Broker.release(Grant, report());
  }

  /// @brief Outcome so far.
  [[nodiscard]] core::CallReport report() const noexcept {
    return Exchange ? Exchange->report()
                    : core::CallReport{.Outcome = core::CallOutcome::NotSent};
  }

  /// @brief Whether a response can be passed on.
  [[nodiscard]] bool ready() const noexcept {
    return Exchange && !Failure &&
           report().Outcome != core::CallOutcome::Rejected;
  }

  void abort(core::AbortReason Reason) noexcept {
    Aborted = true;
    if (Exchange)
      Exchange->abort(Reason);
  }

  core::SlotBroker &Broker;
  BodyCursor Cursor;
  core::SlotGrant Grant;
  std::unique_ptr<core::BackendExchange> Exchange;
  std::error_code Failure;
  /// Beginning of the response's body.
  std::unique_ptr<char[]> Data;
  std::size_t Capacity = 0;
  std::size_t Size = 0;
  bool Granted = false;
  bool Released = false;
  bool Aborted = false;
  bool Done = false;
};

} // namespace jujubecart::callers::internal

#endif
