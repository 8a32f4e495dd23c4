#ifndef JUJUBECART_DECISION_INTERNAL_CALL_QUEUE_HPP
#define JUJUBECART_DECISION_INTERNAL_CALL_QUEUE_HPP

#include <jujubecart/decision/pending_call.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jujubecart::decision::internal {

/// @brief A waiting call and the time at which it was enqueued.
struct QueuedCall {
  PendingCall Call;
  core::TimePoint Enqueued;
};

/// @brief Queue of waiting calls, served by priority, then round robin between
/// callers, then earliest deadline first. While several priorities wait, every
/// 16th turn goes to a lower one, so that none starves. Lower values are higher
/// priorities.
class CallQueue {
public:
  /// @brief Adds a call; its token must not be in the queue.
  /// @param LatestStart Time from which expired() returns the call.
  void push(QueuedCall Item, core::TimePoint LatestStart);

  /// @brief Finds the calls whose turn is next: the first call of each caller,
  /// by priority. A level that gets an extra turn is listed twice.
  /// @param MaxCount Maximum number of calls.
  /// @param Out Is replaced by the calls, next one first; the pointers are
  /// valid until the queue changes.
  void nextCalls(std::size_t MaxCount,
                 std::vector<const QueuedCall *> &Out) const;

  /// @brief Removes a call that got a server and moves its caller to the end of
  /// the round robin; the token must be in the queue.
  PendingCall serve(CallToken Token);

  /// @brief Removes a call that got no server; its caller keeps its turn.
  /// @return The call, or nothing if the token is not in the queue.
  std::optional<PendingCall> remove(CallToken Token);

  /// @brief Estimated number of calls that are served before a new call.
  /// @param Priority Priority of the new call.
  /// @param Caller Caller hash of the new call.
  [[nodiscard]] std::size_t countAhead(std::uint8_t Priority,
                                       std::uint64_t Caller) const;

  /// @brief Call to reject when the queue is too long: the one with the latest
  /// deadline of the caller with the most waiting calls in the lowest priority.
  [[nodiscard]] std::optional<CallToken> overflowVictim() const;

  /// @brief The call with the earliest latest start, if that time has come.
  [[nodiscard]] std::optional<CallToken> expired(core::TimePoint Now) const;

  /// @brief Earliest LatestStart of all calls; nothing if the queue is empty.
  [[nodiscard]] std::optional<core::TimePoint> earliestExpiry() const;

  /// @brief Sorted tokens of the calls of a VM.
  [[nodiscard]] std::vector<CallToken> heldBy(std::string_view Holder) const;

  [[nodiscard]] bool contains(CallToken Token) const {
    return Calls.contains(Token);
  }
  [[nodiscard]] std::size_t size() const noexcept { return Calls.size(); }

private:
  /// Deadline, then order of arrival.
  using DeadlineOrder = std::pair<core::TimePoint, std::uint64_t>;
  struct Entry {
    QueuedCall Item;
    core::TimePoint LatestStart;
    DeadlineOrder Position;
  };
  /// Waiting calls of one caller within a priority.
  struct Flow {
    std::uint64_t Caller;
    std::map<DeadlineOrder, CallToken> Waiting;
  };
  using Flows = std::list<Flow>;
  /// Waiting calls of one priority.
  struct Level {
    /// Round robin order of the callers; the first one has the next turn.
    Flows Rotation;
    std::unordered_map<std::uint64_t, Flows::iterator> ByCaller;
    std::size_t Size = 0;
  };

  /// @brief Removes an entry from all indexes but Calls.
  /// @param EndsTurn Whether its caller moves to the end of the rotation.
  void eraseFrom(const Entry &Removed, bool EndsTurn);
  /// @brief Level that gets the next turn ahead of the top priority, or
  /// nullptr.
  [[nodiscard]] const Level *lowerPriorityTurn() const;

  /// By priority; levels are never empty.
  std::map<std::uint8_t, Level> Levels;
  std::unordered_map<CallToken, Entry> Calls;
  /// Calls by LatestStart.
  std::set<std::pair<core::TimePoint, CallToken>> Expiry;
  std::uint64_t Sequence = 0;
  /// Calls of the top priority served in a row while lower ones waited.
  std::uint32_t TopPriorityServed = 0;
  /// Lower priority that was served last.
  std::uint8_t LastLowerPriority = 0;
};

} // namespace jujubecart::decision::internal

#endif
