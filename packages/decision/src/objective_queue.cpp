#include <jujubecart/decision/internal/objective_queue.hpp>

#include <algorithm>
#include <unordered_set>

namespace jujubecart::decision::internal {

void ObjectiveQueue::push(PendingCall Call, core::TimePoint ArrivalTime,
                          double ServiceUs) {
  const CallToken Token = Call.Token;
  const auto [Added, New] =
      Calls.emplace(Token, Entry{std::move(Call), ArrivalTime, ServiceUs});
  if (!New)
    return;
  Order.emplace(Added->second.sortKey(), Token);
  if (Added->second.Call.WorkspacePriority)
    ++WorkspacePriorities[Added->second.Call.Priority];
}

std::optional<PendingCall> ObjectiveQueue::remove(CallToken Token) {
  const auto Found = Calls.find(Token);
  if (Found == Calls.end())
    return std::nullopt;
  Order.erase(Found->second.sortKey());
  PendingCall Removed = std::move(Found->second.Call);
  Calls.erase(Found);
  if (Removed.WorkspacePriority)
    if (const auto Count = WorkspacePriorities.find(Removed.Priority);
        --Count->second == 0)
      WorkspacePriorities.erase(Count);
  return Removed;
}

bool ObjectiveQueue::outranksAny(const PendingCall &Call,
                                 const FairShares &Shares,
                                 core::TimePoint Now) const {
  if (WorkspacePriorities.empty())
    return false;
  const std::uint8_t Lowest = Call.WorkspacePriority
                                  ? std::get<0>(Order.rbegin()->first)
                                  : WorkspacePriorities.rbegin()->first;
  return Lowest > Call.Priority || Shares.starved(Call.Workspace, Now);
}

double ObjectiveQueue::largestShareUs(const FairShares &Shares,
                                      core::TimePoint Now) const {
  std::unordered_set<std::uint64_t> Workspaces;
  double Largest = 0;
  for (const auto &[Token, Item] : Calls)
    if (Workspaces.insert(Item.Call.Workspace).second)
      Largest = std::max(Largest, Shares.serviceUs(Item.Call.Workspace, Now));
  return Largest;
}

std::vector<CallToken> ObjectiveQueue::tokens() const {
  std::vector<CallToken> Tokens;
  Tokens.reserve(Order.size());
  for (const auto &[Key, Token] : Order)
    Tokens.push_back(Token);
  return Tokens;
}

// Start-time fair queueing: the start tag of a call is the service that its
// workspace got in the last second and would get with the calls before it.
// Recomputed for each decision, because a call that is rejected or withdrawn
// must not count.
std::vector<CallToken> ObjectiveQueue::tokens(const FairShares &Shares,
                                              core::TimePoint Now) const {
  if (!Shares.active())
    return tokens();
  struct Place {
    std::uint8_t Priority;
    double StartTag;
    CallToken Token;
  };
  struct Progress {
    double Tag = 0;
    bool Starved = false;
  };
  std::unordered_map<std::uint64_t, Progress> Workspaces;
  std::vector<Place> Places;
  Places.reserve(Order.size());
  for (const auto &[Key, Token] : Order) {
    const Entry &Item = Calls.at(Token);
    const auto [Found, New] = Workspaces.try_emplace(Item.Call.Workspace);
    if (New)
      Found->second = {.Tag = Shares.serviceUs(Item.Call.Workspace, Now),
                       .Starved = Shares.starved(Item.Call.Workspace, Now)};
    Places.push_back(
        {.Priority = Found->second.Starved ? std::uint8_t{0} : std::get<0>(Key),
         .StartTag = Found->second.Tag,
         .Token = Token});
    Found->second.Tag += Item.ServiceUs;
    // One call at a time goes first.
    Found->second.Starved = false;
  }
  std::stable_sort(Places.begin(), Places.end(),
                   [](const Place &Left, const Place &Right) {
                     return std::tie(Left.Priority, Left.StartTag) <
                            std::tie(Right.Priority, Right.StartTag);
                   });
  std::vector<CallToken> Tokens;
  Tokens.reserve(Places.size());
  for (const Place &Item : Places)
    Tokens.push_back(Item.Token);
  return Tokens;
}

} // namespace jujubecart::decision::internal
