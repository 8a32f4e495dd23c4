#include <jujubecart/decision/internal/objective_queue.hpp>

namespace jujubecart::decision::internal {

void ObjectiveQueue::push(PendingCall Call, core::TimePoint Arrived) {
  const CallToken Token = Call.Token;
  const auto [Added, New] =
      Calls.emplace(Token, Entry{std::move(Call), Arrived});
  if (New)
    Order.emplace(Added->second.rank(), Token);
}

std::optional<PendingCall> ObjectiveQueue::remove(CallToken Token) {
  const auto Found = Calls.find(Token);
  if (Found == Calls.end())
    return std::nullopt;
  Order.erase(Found->second.rank());
  PendingCall Out = std::move(Found->second.Call);
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
