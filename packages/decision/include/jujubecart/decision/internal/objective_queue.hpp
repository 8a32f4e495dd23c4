#ifndef JUJUBECART_DECISION_INTERNAL_OBJECTIVE_QUEUE_HPP
#define JUJUBECART_DECISION_INTERNAL_OBJECTIVE_QUEUE_HPP

#include <jujubecart/decision/pending_call.hpp>

#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace jujubecart::decision::internal {

/// @brief Waiting calls in order of priority and objective.
class ObjectiveQueue {
public:
  /// @brief Adds a call whose token is not waiting yet.
  void push(PendingCall Call);

  /// @brief Removes a call.
  std::optional<PendingCall> remove(CallToken Token);

  /// @brief Tokens of the waiting calls in order.
  [[nodiscard]] std::vector<CallToken> tokens() const;

  [[nodiscard]] const PendingCall &at(CallToken Token) const {
    return Calls.at(Token);
  }
  [[nodiscard]] bool contains(CallToken Token) const {
    return Calls.contains(Token);
  }
  [[nodiscard]] std::size_t size() const noexcept { return Calls.size(); }

private:
  using Rank = std::tuple<std::uint8_t, core::TimePoint, CallToken>;

  [[nodiscard]] static Rank rank(const PendingCall &Call);

  std::unordered_map<CallToken, PendingCall> Calls;
  std::map<Rank, CallToken> Order;
};

} // namespace jujubecart::decision::internal

#endif
