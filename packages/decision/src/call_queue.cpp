#include <jujubecart/decision/internal/call_queue.hpp>

#include <algorithm>

namespace jujubecart::decision::internal {

namespace {

// A lower priority gets one turn in 16, so that strict priority cannot starve
// it before its deadline.
constexpr std::uint32_t TurnsOfTopPriority = 15;

} // namespace

void CallQueue::push(QueuedCall Item, core::TimePoint LatestStart) {
  const CallToken Token = Item.Call.Token;
  const std::uint64_t Caller = Item.Call.CallerHash;
  const Order Position{Item.Call.Deadline, Sequence++};
  Level &Target = Levels[Item.Call.Priority];
  const auto Known = Target.ByCaller.find(Caller);
  Flows::iterator Line;
  if (Known != Target.ByCaller.end()) {
    Line = Known->second;
  } else {
    Line = Target.Turn.insert(Target.Turn.end(), Flow{Caller, {}});
    Target.ByCaller.emplace(Caller, Line);
  }
  Line->Waiting.emplace(Position, Token);
  ++Target.Size;
  Expiry.emplace(LatestStart, Token);
  Calls.emplace(Token, Entry{std::move(Item), LatestStart, Position});
}

// The lower priorities take their turns in rotation.
const CallQueue::Level *CallQueue::lowerTurn() const {
  if (Levels.size() < 2 || ServedInARow < TurnsOfTopPriority)
    return nullptr;
  const auto Top = Levels.begin();
  auto Turn = Levels.upper_bound(std::max(LastLower, Top->first));
  if (Turn == Levels.end())
    Turn = std::next(Top);
  return &Turn->second;
}

void CallQueue::next(std::size_t Most,
                     std::vector<const QueuedCall *> &Out) const {
  Out.clear();
  const auto Take = [&](const Level &From) {
    for (const Flow &Line : From.Turn) {
      if (Out.size() >= Most)
        return;
      Out.push_back(&Calls.at(Line.Waiting.begin()->second).Item);
    }
  };
  if (const Level *Lower = lowerTurn())
    Take(*Lower);
  for (const auto &[Priority, From] : Levels)
    Take(From);
}

PendingCall CallQueue::serve(CallToken Token) {
  const auto Found = Calls.find(Token);
  const std::uint8_t Priority = Found->second.Item.Call.Priority;
  if (Priority == Levels.begin()->first) {
    ServedInARow = Levels.size() > 1 ? ServedInARow + 1 : 0;
  } else {
    ServedInARow = 0;
    LastLower = Priority;
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

void CallQueue::eraseFrom(const Entry &Gone, bool EndsTurn) {
  const PendingCall &Call = Gone.Item.Call;
  Expiry.erase({Gone.LatestStart, Call.Token});
  const auto Target = Levels.find(Call.Priority);
  Level &From = Target->second;
  const auto Known = From.ByCaller.find(Call.CallerHash);
  const Flows::iterator Line = Known->second;
  Line->Waiting.erase(Gone.Position);
  if (Line->Waiting.empty()) {
    From.ByCaller.erase(Known);
    From.Turn.erase(Line);
  } else if (EndsTurn) {
    From.Turn.splice(From.Turn.end(), From.Turn, Line);
  }
  if (--From.Size == 0)
    Levels.erase(Target);
}

std::size_t CallQueue::ahead(std::uint8_t Priority,
                             std::uint64_t Caller) const {
  std::size_t Count = 0;
  for (const auto &[Number, From] : Levels) {
    if (Number > Priority)
      break;
    if (Number < Priority) {
      Count += From.Size;
      continue;
    }
    const auto Known = From.ByCaller.find(Caller);
    const std::size_t Own =
        Known == From.ByCaller.end() ? 0 : Known->second->Waiting.size();
    Count += std::min(From.Size, (Own + 1) * From.Turn.size());
  }
  return Count;
}

std::optional<CallToken> CallQueue::overflowVictim() const {
  if (Levels.empty())
    return std::nullopt;
  const Level &Lowest = Levels.rbegin()->second;
  const auto Longest =
      std::max_element(Lowest.Turn.begin(), Lowest.Turn.end(),
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

std::optional<core::TimePoint> CallQueue::firstExpiry() const {
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
