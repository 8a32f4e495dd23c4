#ifndef JUJUBECART_DECISION_GROUP_DISPATCHER_HPP
#define JUJUBECART_DECISION_GROUP_DISPATCHER_HPP

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
class GroupDispatcher {
public:
  /// @brief Creates a dispatcher whose servers are all active.
  GroupDispatcher(DispatchGroup Group, DispatcherOptions Options,
                  core::TimePoint Now);
  GroupDispatcher(GroupDispatcher &&) noexcept;
  GroupDispatcher &operator=(GroupDispatcher &&) noexcept;
  ~GroupDispatcher();

  /// @brief Takes a new server list; added servers start slowly.
  void configure(DispatchGroup Group, core::TimePoint Now, Decisions &Out);

  /// @brief Adds a call; it gets exactly one decision unless it is withdrawn
  /// or its holder is dropped.
  void enqueue(PendingCall Call, core::TimePoint Now, Decisions &Out);

  /// @brief Removes a waiting call.
  /// @return Whether it was waiting; false if it has been decided.
  bool withdraw(CallToken Token, core::TimePoint Now, Decisions &Out);

  /// @brief Returns a grant; an unknown or returned one is ignored.
  void release(std::uint64_t GrantId, const core::CallReport &Report,
               core::TimePoint Now, Decisions &Out);

  /// @brief Sets the number of calls of a VM that an earlier dispatcher
  /// granted on a server and that are still in flight.
  void adopt(std::string Holder, std::string ServerId, std::uint32_t InFlight,
             core::TimePoint Now);

  /// @brief Returns one adopted call.
  void releaseAdopted(std::string Holder, std::string ServerId,
                      const core::CallReport &Report, core::TimePoint Now,
                      Decisions &Out);

  /// @brief Forgets the waiting calls, grants and adopted calls of a VM whose
  /// link broke; its waiting calls get no decision.
  void dropHolder(std::string_view Holder, core::TimePoint Now, Decisions &Out);

  /// @brief Handles what is due by time alone.
  void tick(core::TimePoint Now, Decisions &Out);

  /// @brief Instant by which tick must be called, at most 100 ms ahead.
  [[nodiscard]] core::TimePoint nextTick() const;

  /// @brief Takes one health probe from the measurement budget.
  /// @return The server to probe now, or nothing.
  [[nodiscard]] std::optional<core::BackendServer>
  nextProbe(core::TimePoint Now);

  /// @brief Records the result of a probe.
  void probeResult(std::string_view ServerId, ProbeResult Result,
                   core::TimePoint Now, Decisions &Out);

  /// @brief State of all configured servers in order of the configuration.
  [[nodiscard]] std::vector<ServerStatus> status(core::TimePoint Now) const;

  /// @brief Number of waiting calls.
  [[nodiscard]] std::size_t queued() const noexcept;

  /// @brief Servers compared by all picks so far.
  [[nodiscard]] std::uint64_t comparedServers() const noexcept;

private:
  class Implementation;
  std::unique_ptr<Implementation> Self;
};

} // namespace jujubecart::decision

#endif
