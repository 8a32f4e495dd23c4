#ifndef JUJUBECART_DECISION_INTERNAL_OBJECTIVE_QUEUE_HPP
#define JUJUBECART_DECISION_INTERNAL_OBJECTIVE_QUEUE_HPP

#include <jujubecart/decision/internal/fair_shares.hpp>
#include <jujubecart/decision/pending_call.hpp>

#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace jujubecart::decision::internal {

/// @brief Queue of waiting calls, ordered by priority, then by what their
/// workspaces got of the slots, then by arrival. Ordering by objective would
/// starve work classes with long objectives.
class ObjectiveQueue {
public:
  /// @brief Adds a call; ignored if its token is already in the queue.
  /// @param ArrivalTime When the call was first enqueued in the dispatcher.
  /// @param ServiceUs Its expected service time in microseconds.
  void push(PendingCall Call, core::TimePoint ArrivalTime, double ServiceUs);

  /// @brief Removes a call and returns it.
  /// @return Nothing if the token is not in the queue.
  std::optional<PendingCall> remove(CallToken Token);

  /// @brief Tokens of the waiting calls by priority and arrival.
  [[nodiscard]] std::vector<CallToken> tokens() const;

  /// @brief Tokens of the waiting calls, next call first. The order is that of
  /// tokens() if no call belonged to a workspace.
  [[nodiscard]] std::vector<CallToken> tokens(const FairShares &Shares,
                                              core::TimePoint Now) const;

  /// @brief The waiting call; throws std::out_of_range for an unknown token.
  [[nodiscard]] const PendingCall &at(CallToken Token) const {
    return Calls.at(Token).Call;
  }
  [[nodiscard]] core::TimePoint arrivalTime(CallToken Token) const {
    return Calls.at(Token).ArrivalTime;
  }
  [[nodiscard]] bool contains(CallToken Token) const {
    return Calls.contains(Token);
  }
  [[nodiscard]] std::size_t size() const noexcept { return Calls.size(); }

  /// @brief Whether a call of lower priority waits, and the priority of either
  /// is that of its workspace; a starved workspace outranks all others.
  [[nodiscard]] bool outranksAny(const PendingCall &Call,
                                 const FairShares &Shares,
                                 core::TimePoint Now) const;

  /// @brief Largest service time that the workspace of a waiting call got in
  /// about the last second, in microseconds.
  [[nodiscard]] double largestShareUs(const FairShares &Shares,
                                      core::TimePoint Now) const;

private:
  /// Sort key: priority, arrival time and, as a tie-breaker, the token.
  using SortKey = std::tuple<std::uint8_t, core::TimePoint, CallToken>;
  struct Entry {
    PendingCall Call;
    core::TimePoint ArrivalTime;
    double ServiceUs = 0;

    [[nodiscard]] SortKey sortKey() const {
      return {Call.Priority, ArrivalTime, Call.Token};
    }
  };

  std::unordered_map<CallToken, Entry> Calls;
  std::map<SortKey, CallToken> Order;
  /// Number of calls by priority, for those with that of their workspace.
  std::map<std::uint8_t, std::size_t> WorkspacePriorities;
};

} // namespace jujubecart::decision::internal

#endif
