#ifndef JUJUBECART_DECISION_CALL_PREVIEW_HPP
#define JUJUBECART_DECISION_CALL_PREVIEW_HPP

#include <jujubecart/decision/decision.hpp>
#include <jujubecart/decision/server_status.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecart::decision {

/// @brief Whether a backend server may get a call, or why not.
enum class ServerVerdict : std::uint8_t {
  Candidate,
  /// Excluded by the call.
  Excluded,
  /// The operators set it to draining.
  Draining,
  /// It stated that it is draining.
  Leaving,
  /// Another process answers at its address.
  Replaced,
  /// Ejected, and no trial request is due.
  Ejected,
  /// Its rate limit, or the one of a cold server, is used up.
  RateLimited,
  /// No free slot within its limit.
  Full,
  /// Not chosen now for another reason, such as a suspicion.
  NotPreferred,
};

/// @brief Name of a verdict in lower case, such as `rate limited`.
[[nodiscard]] std::string_view toString(ServerVerdict Verdict) noexcept;

/// @brief What an ObjectiveDispatcher expects of a call on a server.
struct PlacementEstimate {
  /// Probability that the call meets its objective or, if Late is set, its
  /// deadline, in percent.
  std::uint32_t InTimePercent = 0;
  /// Expected gain in thousandths of a call that meets its objective; the
  /// server with the highest one is chosen.
  std::int32_t ScoreMilli = 0;
  /// Deducted for traffic between zones and a new connection, in the same unit.
  std::int32_t TransferCostMilli = 0;
  bool Late = false;
  /// Whether the call takes one of the last slots, on which calls run longer.
  bool Saturates = false;
};

/// @brief A backend server from the point of view of one call.
struct ServerPreview {
  ServerStatus Status;
  std::string Zone;
  ServerVerdict Verdict = ServerVerdict::Candidate;
  /// Whether the server is in another zone than the VM that sends the call.
  bool OtherZone = false;
  bool Cold = false;
  /// Requests per second that the dispatcher may send; empty without a limit.
  std::optional<double> RatePerS;
  /// Last pace report, as in DecisionFacts, and its age.
  std::optional<std::uint32_t> PacePercent;
  std::chrono::milliseconds PaceAge{0};
  /// Age of the last result of a call or a probe; empty before the first.
  std::optional<std::chrono::milliseconds> ObservedAge;
  /// Time until an ejected server may get a trial request.
  std::optional<std::chrono::milliseconds> TrialIn;
  /// Set for a candidate of an ObjectiveDispatcher.
  std::optional<PlacementEstimate> Estimate;
};

/// @brief What a dispatcher would do with a call.
struct CallPreview {
  /// Decision at once; empty if the call would wait for a slot. The grant has
  /// no meaning, and the RetryAfter of a rejection is without jitter or one of
  /// its possible values.
  std::optional<Decision> Outcome;
  /// Calls that wait already.
  std::size_t Waiting = 0;
  /// Ids of servers whose pace is asked first, or was asked just now. The order
  /// assumes that they report the usual pace.
  std::vector<std::string> Probed;
  /// Candidates in the order in which repeats of the call would try them, then
  /// the other servers of the group.
  std::vector<ServerPreview> Servers;
};

} // namespace jujubecart::decision

#endif
