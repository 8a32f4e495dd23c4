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

/// @brief A call and the time since which it waits.
struct QueuedCall {
  PendingCall Call;
  core::TimePoint Enqueued;
};

/// @brief Waiting calls: strict priority, then round robin between callers,
/// then deadline; a lower priority gets every 16th turn.
class CallQueue {
public:
  /// @brief Adds a call whose token is not waiting yet.
  /// @param LatestStart Instant after which expired() returns it.
  void push(QueuedCall Item, core::TimePoint LatestStart);

  /// @brief Finds the calls whose turn is next.
  /// @param Out Receives up to Most calls in order; valid until a change.
  void next(std::size_t Most, std::vector<const QueuedCall *> &Out) const;

  /// @brief Removes a call that is served and ends its caller's turn.
  PendingCall serve(CallToken Token);

  /// @brief Removes a call that is not served.
  std::optional<PendingCall> remove(CallToken Token);

  /// @brief Calls that would be served before a new one.
  [[nodiscard]] std::size_t ahead(std::uint8_t Priority,
                                  std::uint64_t Caller) const;

  /// @brief Newest call of the longest caller queue in the lowest priority.
  [[nodiscard]] std::optional<CallToken> overflowVictim() const;

  /// @brief A call whose latest start has passed.
  [[nodiscard]] std::optional<CallToken> expired(core::TimePoint Now) const;

  /// @brief Earliest latest start of all calls.
  [[nodiscard]] std::optional<core::TimePoint> firstExpiry() const;

  /// @brief Tokens of the calls of a VM.
  [[nodiscard]] std::vector<CallToken> heldBy(std::string_view Holder) const;

  [[nodiscard]] bool contains(CallToken Token) const {
    return Calls.contains(Token);
  }
  [[nodiscard]] std::size_t size() const noexcept { return Calls.size(); }

private:
  using Order = std::pair<core::TimePoint, std::uint64_t>;
  struct Entry {
    QueuedCall Item;
    core::TimePoint LatestStart;
    Order Position;
  };
  struct Flow {
    std::uint64_t Caller;
    std::map<Order, CallToken> Waiting;
  };
  using Flows = std::list<Flow>;
  struct Level {
    Flows Turn;
    std::unordered_map<std::uint64_t, Flows::iterator> ByCaller;
    std::size_t Size = 0;
  };

  void eraseFrom(const Entry &Gone, bool EndsTurn);
  [[nodiscard]] const Level *lowerTurn() const;

  std::map<std::uint8_t, Level> Levels;
  std::unordered_map<CallToken, Entry> Calls;
  std::set<std::pair<core::TimePoint, CallToken>> Expiry;
  std::uint64_t Sequence = 0;
  std::uint32_t ServedInARow = 0;
  std::uint8_t LastLower = 0;
};

} // namespace jujubecart::decision::internal

#endif
