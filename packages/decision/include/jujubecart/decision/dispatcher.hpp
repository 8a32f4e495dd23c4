#ifndef JUJUBECART_DECISION_DISPATCHER_HPP
#define JUJUBECART_DECISION_DISPATCHER_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/slot_broker.hpp>
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

/// @brief Queue and server table of one dispatch group; not thread-safe, no
/// I/O, the user passes the time. Decisions are appended to Out.
class Dispatcher {
public:
  virtual ~Dispatcher() = default;

  /// @brief Takes a new server list; added servers start slowly.
  virtual void configure(DispatchGroup Group, core::TimePoint Now,
                         Decisions &Out) = 0;

  /// @brief Adds a call; it gets exactly one decision unless it is withdrawn
  /// or its holder is dropped.
  virtual void enqueue(PendingCall Call, core::TimePoint Now,
                       Decisions &Out) = 0;

  /// @brief Removes a waiting call.
  /// @return Whether it was waiting; false if it has been decided.
  virtual bool withdraw(CallToken Token, core::TimePoint Now,
                        Decisions &Out) = 0;

  /// @brief Returns a grant; an unknown or returned one is ignored.
  virtual void release(std::uint64_t GrantId, const core::CallReport &Report,
                       core::TimePoint Now, Decisions &Out) = 0;

  /// @brief Sets the number of calls of a VM that an earlier dispatcher
  /// granted on a server and that are still in flight.
  virtual void adopt(std::string Holder, std::string ServerId,
                     std::uint32_t InFlight, core::TimePoint Now) = 0;

  /// @brief Returns one adopted call.
  virtual void releaseAdopted(std::string Holder, std::string ServerId,
                              const core::CallReport &Report,
                              core::TimePoint Now, Decisions &Out) = 0;

  /// @brief Forgets the waiting calls, grants and adopted calls of a VM whose
  /// link broke; its waiting calls get no decision.
  virtual void dropHolder(std::string_view Holder, core::TimePoint Now,
                          Decisions &Out) = 0;

  /// @brief Handles what is due by time alone.
  virtual void tick(core::TimePoint Now, Decisions &Out) = 0;

  /// @brief Instant by which tick must be called, at most 100 ms ahead.
  [[nodiscard]] virtual core::TimePoint nextTick() const = 0;

  /// @brief Takes one health probe from the measurement budget.
  /// @return The server to probe now, or nothing.
  [[nodiscard]] virtual std::optional<core::BackendServer>
  nextProbe(core::TimePoint Now) = 0;

  /// @brief Records the result of a probe.
  virtual void probeResult(std::string_view ServerId, ProbeResult Result,
                           core::TimePoint Now, Decisions &Out) = 0;

  /// @brief State of all configured servers in order of the configuration.
  [[nodiscard]] virtual std::vector<ServerStatus>
  status(core::TimePoint Now) const = 0;

  /// @brief Number of waiting calls.
  [[nodiscard]] virtual std::size_t queued() const noexcept = 0;
};

/// @brief Creates the dispatcher that the options select.
[[nodiscard]] std::unique_ptr<Dispatcher>
makeDispatcher(DispatchGroup Group, const DispatcherOptions &Options,
               core::TimePoint Now);

} // namespace jujubecart::decision

#endif
