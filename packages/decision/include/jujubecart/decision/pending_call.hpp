#ifndef JUJUBECART_DECISION_PENDING_CALL_HPP
#define JUJUBECART_DECISION_PENDING_CALL_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/rate_limit.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecart::decision {

/// @brief Identifies a call to a dispatcher. The user chooses it; it must be
/// unique among the calls that wait at the same dispatcher.
using CallToken = std::uint64_t;

/// @brief Rate limit that a backend server stated to one VM.
struct StatedLimit {
  std::string ServerId;
  core::RateLimit Limit;
  /// When the response with the limit arrived.
  core::TimePoint StatedAt;

  friend auto operator<=>(const StatedLimit &, const StatedLimit &) = default;
};

/// @brief A call that waits at a dispatcher for a slot on a backend server.
struct PendingCall {
  CallToken Token = 0;
  /// Id of the VM that received the call and will send it to the server.
  std::string Holder;
  /// Time by which the response must have arrived.
  core::TimePoint Deadline;
  /// Lower values are served first.
  std::uint8_t Priority = 5;
  /// Hash that identifies the caller for fair queueing.
  std::uint64_t CallerHash = 0;
  /// Ids of backend servers that must not get the call, such as those that
  /// earlier attempts used.
  std::vector<std::string> Excluded;
  /// Availability zone of the holder; empty if unknown.
  std::string Zone;
  /// Latest completion time that meets the latency objective; max if there is
  /// none. Used by an ObjectiveDispatcher only.
  core::TimePoint Objective = core::TimePoint::max();
  /// Hash that identifies calls with similar service times; 0 if unknown. Used
  /// by an ObjectiveDispatcher only.
  std::uint64_t WorkClass = 0;
  /// Rate limits known to the holder, for a dispatcher that does not know them.
  std::vector<StatedLimit> Limits;
  /// core::Workspace::hash() of the caller's workspace; 0 without one.
  std::uint64_t Workspace = 0;
  /// Whether Priority is that of the workspace, not that of the route.
  bool WorkspacePriority = false;

  /// @brief Whether the server is listed in Excluded.
  [[nodiscard]] bool excludes(std::string_view ServerId) const noexcept {
    return std::find(Excluded.begin(), Excluded.end(), ServerId) !=
           Excluded.end();
  }
};

} // namespace jujubecart::decision

#endif
