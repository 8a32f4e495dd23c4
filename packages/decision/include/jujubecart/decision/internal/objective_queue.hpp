#ifndef JUJUBECART_DECISION_INTERNAL_OBJECTIVE_QUEUE_HPP
#define JUJUBECART_DECISION_INTERNAL_OBJECTIVE_QUEUE_HPP

#include <jujubecart/decision/pending_call.hpp>

#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace jujubecart::decision::internal {

/// @brief Waiting calls in order of priority and arrival: an order by
/// objective would starve the classes with long ones.
class ObjectiveQueue {
public:
  /// @brief Adds a call whose token is not waiting yet.
  /// @param Arrived When it was first enqueued.
  void push(PendingCall Call, core::TimePoint Arrived);

  /// @brief Removes a call.
  std::optional<PendingCall> remove(CallToken Token);

  /// @brief Tokens of the waiting calls in order.
  [[nodiscard]] std::vector<CallToken> tokens() const;

  [[nodiscard]] const PendingCall &at(CallToken Token) const {
    return Calls.at(Token).Call;
  }
  [[nodiscard]] core::TimePoint arrived(CallToken Token) const {
    return Calls.at(Token).Arrived;
  }
  [[nodiscard]] bool contains(CallToken Token) const {
    return Calls.contains(Token);
  }
  [[nodiscard]] std::size_t size() const noexcept { return Calls.size(); }

private:
  using Rank = std::tuple<std::uint8_t, core::TimePoint, CallToken>;
  struct Entry {
    PendingCall Call;
    core::TimePoint Arrived;

    [[nodiscard]] Rank rank() const {
      return {Call.Priority, Arrived, Call.Token};
    }
  };

  std::unordered_map<CallToken, Entry> Calls;
  std::map<Rank, CallToken> Order;
};

} // namespace jujubecart::decision::internal

#endif
