#ifndef JUJUBECART_DECISION_PENDING_CALL_HPP
#define JUJUBECART_DECISION_PENDING_CALL_HPP

#include <jujubecart/core/clock.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecart::decision {

/// @brief Chosen by the user of a dispatcher; unique while the call waits.
using CallToken = std::uint64_t;

/// @brief A call that asks a dispatcher for a slot.
struct PendingCall {
  CallToken Token = 0;
  /// Id of the entry VM that holds the call.
  std::string Holder;
  core::TimePoint Deadline;
  /// Lower is served first.
  std::uint8_t Priority = 5;
  /// Identifies the caller for fair queueing.
  std::uint64_t CallerHash = 0;
  /// Ids of backend servers that must not get the call.
  std::vector<std::string> Excluded;
  /// Availability zone of the holder; empty if unknown.
  std::string Zone;
  /// Latest end that meets the latency objective; max if there is none.
  core::TimePoint Objective = core::TimePoint::max();
  /// Identifies calls with similar service times; 0 if unknown.
  std::uint64_t WorkClass = 0;

  /// @brief Whether a backend server must not get the call.
  [[nodiscard]] bool excludes(std::string_view ServerId) const noexcept {
    return std::find(Excluded.begin(), Excluded.end(), ServerId) !=
           Excluded.end();
  }
};

} // namespace jujubecart::decision

#endif
