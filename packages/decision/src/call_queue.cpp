#include <jujubecart/decision/internal/call_queue.hpp>

#include <algorithm>

namespace jujubecart::decision::internal {

namespace {

// Turns that the highest priority gets in a row while lower ones wait. The
// 16th goes to a lower priority, so that strict priority does not starve its
// calls until their deadlines.
constexpr std::uint32_t MaxTopPriorityTurns = 15;

} // namespace

void CallQueue::push(QueuedCall Item, core::TimePoint LatestStart) {
  const CallToken Token = Item.Call.Token;
  const std::uint64_t Caller = Item.Call.CallerHash;
  const DeadlineOrder Position{Item.Call.Deadline, Sequence++};
  Level &Target = Levels[Item.Call.Priority];
  const auto Found = Target.ByCaller.find(Caller);
  Flows::iterator CallerFlow;
  if (Found != Target.ByCaller.end()) {
    CallerFlow = Found->second;
  } else {
    CallerFlow =
        Target.Rotation.insert(Target.Rotation.end(), Flow{Caller, {}});
    Target.ByCaller.emplace(Caller, CallerFlow);
  }
  CallerFlow->Waiting.emplace(Position, Token);
  ++Target.Size;
  Expiry.emplace(LatestStart, Token);
  Calls.emplace(Token, Entry{std::move(Item), LatestStart, Position});
}

// The lower priorities get their turns in rotation.
const CallQueue::Level *CallQueue::lowerPriorityTurn() const {
  if (Levels.size() < 2 || TopPriorityServed < MaxTopPriorityTurns)
    return nullptr;
  const auto Top = Levels.begin();
  auto Turn = Levels.upper_bound(std::max(LastLowerPriority, Top->first));
  if (Turn == Levels.end())
    Turn = std::next(Top);
  return &Turn->second;
}

void CallQueue::nextCalls(std::size_t MaxCount,
                          std::vector<const QueuedCall *> &Out) const {
  Out.clear();
  const auto AppendFrom = [&](const Level &From) {
    for (const Flow &CallerFlow : From.Rotation) {
      if (Out.size() >= MaxCount)
        return;
      Out.push_back(&Calls.at(CallerFlow.Waiting.begin()->second).Item);
    }
  };
  if (const Level *Lower = lowerPriorityTurn())
    AppendFrom(*Lower);
  for (const auto &[Priority, From] : Levels)
    AppendFrom(From);
}

PendingCall CallQueue::serve(CallToken Token) {
  const auto Found = Calls.find(Token);
  const std::uint8_t Priority = Found->second.Item.Call.Priority;
  if (Priority == Levels.begin()->first) {
    TopPriorityServed = Levels.size() > 1 ? TopPriorityServed + 1 : 0;
  } else {
    TopPriorityServed = 0;
    LastLowerPriority = Priority;
  }
  eraseFrom(Found->second, true);
  PendingCall Call = std::move(Found->second.Item.Call);
  Calls.erase(Found);
  return Call;
}

std::optional<PendingCall> CallQueue::remove(CallToken Token) {
  const auto Found = Calls.find(Token);
  if (Found == Calls.end())
    return std::nullopt;
  eraseFrom(Found->second, false);
  PendingCall Call = std::move(Found->second.Item.Call);
  Calls.erase(Found);
  return Call;
}

void CallQueue::eraseFrom(const Entry &Removed, bool EndsTurn) {
  const PendingCall &Call = Removed.Item.Call;
  Expiry.erase({Removed.LatestStart, Call.Token});
  const auto Target = Levels.find(Call.Priority);
  Level &From = Target->second;
  const auto Found = From.ByCaller.find(Call.CallerHash);
  const Flows::iterator CallerFlow = Found->second;
  CallerFlow->Waiting.erase(Removed.Position);
  if (CallerFlow->Waiting.empty()) {
    From.ByCaller.erase(Found);
    From.Rotation.erase(CallerFlow);
  } else if (EndsTurn) {
    From.Rotation.splice(From.Rotation.end(), From.Rotation, CallerFlow);
  }
  if (--From.Size == 0)
    Levels.erase(Target);
}

std::size_t CallQueue::countAhead(std::uint8_t Priority,
                                  std::uint64_t Caller) const {
  std::size_t Count = 0;
  for (const auto &[LevelPriority, From] : Levels) {
    if (LevelPriority > Priority)
      break;
    if (LevelPriority < Priority) {
      Count += From.Size;
      continue;
    }
    const auto Found = From.ByCaller.find(Caller);
    const std::size_t OwnQueued =
        Found == From.ByCaller.end() ? 0 : Found->second->Waiting.size();
    Count += std::min(From.Size, (OwnQueued + 1) * From.Rotation.size());
  }
  return Count;
}

std::optional<CallToken> CallQueue::overflowVictim() const {
  if (Levels.empty())
    return std::nullopt;
  const Level &Lowest = Levels.rbegin()->second;
  const auto Longest =
      std::max_element(Lowest.Rotation.begin(), Lowest.Rotation.end(),
                       [](const Flow &Left, const Flow &Right) {
                         return Left.Waiting.size() < Right.Waiting.size();
                       });
  return Longest->Waiting.rbegin()->second;
}

std::optional<CallToken> CallQueue::expired(core::TimePoint Now) const {
  if (Expiry.empty() || Expiry.begin()->first > Now)
    return std::nullopt;
  return Expiry.begin()->second;
}

std::optional<core::TimePoint> CallQueue::earliestExpiry() const {
  if (Expiry.empty())
    return std::nullopt;
  return Expiry.begin()->first;
}

std::vector<CallToken> CallQueue::heldBy(std::string_view Holder) const {
  std::vector<CallToken> Tokens;
  for (const auto &[Token, Waiting] : Calls) {
    if (Waiting.Item.Call.Holder == Holder)
      Tokens.push_back(Token);
  }
  std::sort(Tokens.begin(), Tokens.end());
  return Tokens;
}

} // namespace jujubecart::decision::internal
