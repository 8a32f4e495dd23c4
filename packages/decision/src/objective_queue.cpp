#include <jujubecart/decision/internal/objective_queue.hpp>

namespace jujubecart::decision::internal {

void ObjectiveQueue::push(PendingCall Call, core::TimePoint ArrivalTime) {
  const CallToken Token = Call.Token;
  const auto [Added, New] =
      Calls.emplace(Token, Entry{std::move(Call), ArrivalTime});
  if (New)
    Order.emplace(Added->second.sortKey(), Token);
}

std::optional<PendingCall> ObjectiveQueue::remove(CallToken Token) {
  const auto Found = Calls.find(Token);
  if (Found == Calls.end())
    return std::nullopt;
  Order.erase(Found->second.sortKey());
  PendingCall Removed = std::move(Found->second.Call);
  Calls.erase(Found);
  return Removed;
}

std::vector<CallToken> ObjectiveQueue::tokens() const {
  std::vector<CallToken> Tokens;
  Tokens.reserve(Order.size());
  for (const auto &[Key, Token] : Order)
    Tokens.push_back(Token);
  return Tokens;
}

} // namespace jujubecart::decision::internal
