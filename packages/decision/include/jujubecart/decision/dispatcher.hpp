#ifndef JUJUBECART_DECISION_DISPATCHER_HPP
#define JUJUBECART_DECISION_DISPATCHER_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/slot_broker.hpp>
#include <jujubecart/decision/call_preview.hpp>
#include <jujubecart/decision/decision.hpp>
#include <jujubecart/decision/dispatch_group.hpp>
#include <jujubecart/decision/dispatcher_options.hpp>
#include <jujubecart/decision/pending_call.hpp>
#include <jujubecart/decision/probe_result.hpp>
#include <jujubecart/decision/server_status.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecart::decision {

/// @brief Queue and server table of one dispatch group. It is not thread-safe
/// and does no I/O; the user passes the current time as Now.
///
/// Out receives the decisions that a call of a method leads to, appended in
/// order. They may concern any waiting call, not only the one that was passed.
/// A holder is the VM that received a call and sends it to the backend server.
class Dispatcher {
public:
  virtual ~Dispatcher() = default;

  /// @brief Replaces the server list. Servers that are no longer listed get no
  /// new calls; their grants stay valid.
  virtual void configure(DispatchGroup Group, core::TimePoint Now,
                         Decisions &Out) = 0;

  /// @brief Sets whether this is the regular dispatcher of the group. Others
  /// use only a part of the rate limits that servers state, because several of
  /// them may be in use at the same time. A new dispatcher is a regular one.
  virtual void setRegular(bool Regular, core::TimePoint Now) = 0;

  /// @brief Adds a call. It gets exactly one decision, in Out of this or of a
  /// later call, unless it is withdrawn or its holder is dropped.
  virtual void enqueue(PendingCall Call, core::TimePoint Now,
                       Decisions &Out) = 0;

  /// @brief Removes a waiting call, which then gets no decision.
  /// @return Whether it was waiting; false if it has already been decided.
  virtual bool withdraw(CallToken Token, core::TimePoint Now,
                        Decisions &Out) = 0;

  /// @brief Returns a grant after its call has ended.
  /// @param GrantId Id from Granted; unknown and already returned ids are
  /// ignored.
  /// @param Report How the call ended; updates the estimates and the health of
  /// the server.
  virtual void release(std::uint64_t GrantId, const core::CallReport &Report,
                       core::TimePoint Now, Decisions &Out) = 0;

  /// @brief Adopts calls that an earlier dispatcher of the group granted and
  /// that are still in flight. Called after a change of dispatcher.
  /// @param Holder VM that sent the calls.
  /// @param ServerId Server that runs them; an unknown one is ignored.
  /// @param InFlight Their number; replaces the number set before.
  virtual void adopt(std::string Holder, std::string ServerId,
                     std::uint32_t InFlight, core::TimePoint Now) = 0;

  /// @brief Returns one adopted call; ignored if Holder has none left on the
  /// server.
  virtual void releaseAdopted(std::string Holder, std::string ServerId,
                              const core::CallReport &Report,
                              core::TimePoint Now, Decisions &Out) = 0;

  /// @brief Removes the waiting calls, grants and adopted calls of a VM whose
  /// connection was lost; its waiting calls get no decision.
  virtual void dropHolder(std::string_view Holder, core::TimePoint Now,
                          Decisions &Out) = 0;

  /// @brief Handles timeouts and other changes that depend on time alone: calls
  /// that waited too long, grants that were never returned, slow start.
  virtual void tick(core::TimePoint Now, Decisions &Out) = 0;

  /// @brief Time by which tick must be called next, at most 100 ms after the
  /// last time passed to the dispatcher.
  [[nodiscard]] virtual core::TimePoint nextTick() const = 0;

  /// @brief Chooses the next backend server to probe. Called after each tick of
  /// a GroupDispatcher, which limits the rate by its probe budget, and, for an
  /// ObjectiveDispatcher, after each decision until it returns nothing.
  /// @return The server to probe now, or nothing. The user sends the probe and
  /// passes the outcome to recordProbe.
  [[nodiscard]] virtual std::optional<core::BackendServer>
  nextProbe(core::TimePoint Now) = 0;

  /// @brief Records the result of a probe; an unknown server is ignored.
  virtual void recordProbe(std::string_view ServerId, ProbeResult Result,
                           core::TimePoint Now, Decisions &Out) = 0;

  /// @brief State of all configured servers, in the order of the group.
  [[nodiscard]] virtual std::vector<ServerStatus>
  status(core::TimePoint Now) const = 0;

  /// @brief What enqueue would do with a call now, decided on a copy, so that
  /// nothing changes here.
  /// @param Call Its token is ignored.
  [[nodiscard]] virtual CallPreview preview(PendingCall Call,
                                            core::TimePoint Now) const = 0;

  /// @brief Number of calls that wait for a decision.
  [[nodiscard]] virtual std::size_t queued() const noexcept = 0;
};

/// @brief Creates an ObjectiveDispatcher if the profile in Options is
/// Objective, otherwise a GroupDispatcher.
[[nodiscard]] std::unique_ptr<Dispatcher>
makeDispatcher(DispatchGroup Group, const DispatcherOptions &Options,
               core::TimePoint Now);

} // namespace jujubecart::decision

#endif
