#include <jujubecart/decision/internal/objective_queue.hpp>

namespace jujubecart::decision::internal {

ObjectiveQueue::Rank ObjectiveQueue::rank(const PendingCall &Call) {
  return {Call.Priority, Call.Objective, Call.Token};
}

void ObjectiveQueue::push(PendingCall Call) {
  const CallToken Token = Call.Token;
  Order.emplace(rank(Call), Token);
  Calls.emplace(Token, std::move(Call));
}

std::optional<PendingCall> ObjectiveQueue::remove(CallToken Token) {
  const auto Found = Calls.find(Token);
  if (Found == Calls.end())
    return std::nullopt;
  PendingCall Out = std::move(Found->second);
  Order.erase(rank(Out));
  Calls.erase(Found);
  return Out;
}

std::vector<CallToken> ObjectiveQueue::tokens() const {
  std::vector<CallToken> Out;
  Out.reserve(Order.size());
  for (const auto &[Rank, Token] : Order)
    Out.push_back(Token);
  return Out;
}

} // namespace jujubecart::decision::internal
