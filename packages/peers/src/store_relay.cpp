#include <jujubecart/peers/store_relay.hpp>

#include "listed_changes.hpp"

#include <jujubecart/core/hash.hpp>
#include <jujubecart/core/log.hpp>
#include <jujubecart/core/store_era.hpp>
#include <jujubecart/decision/rendezvous.hpp>

#include <algorithm>

namespace jujubecart::peers {

namespace internal {

// Entries kept for peers that missed a broadcast.
constexpr std::size_t MaxRecentEntries = 256;
// Limit after the store came back from a copy, until the next change. The
// changes then contain all entries, and a VM that gets only a part of them must
// read the list itself.
constexpr std::size_t MaxEraEntries = 8192;
// Limit on the bytes of values in one message; peers read larger changes from
// the store themselves.
constexpr std::size_t MaxSharedBytes = std::size_t{512} * 1024;

// A relay to which no link opens for longer is left out, and its part of the
// VMs falls to the others.
constexpr std::chrono::milliseconds MaxLinkWait{500};
// Relays that are asked to send changes to all. The second one is for the case
// that the first one is frozen or cut off.
constexpr std::size_t HandoverReceivers = 2;
// What waits for a link is not sent if it is older: a newer message has
// followed it or is about to.
constexpr std::chrono::seconds MaxWaitingAge{1};

std::size_t valueBytes(const core::EntryChanges &Changes) {
  std::size_t Bytes = 0;
  for (const core::StoredEntry &Entry : Changes.List.Entries)
    Bytes += Entry.Value ? Entry.Value->size() : 0;
  return Bytes;
}

// Returns the changes after a revision that the receiver is known to have. The
// entries must be sorted by revision. Changes from a list are sent whole, since
// the receiver takes what is missing among them for deleted.
core::EntryChanges changesAfter(const core::EntryChanges &RecentChanges,
                                const core::ListedRange &Listed,
                                core::Revision KnownRevision) {
  const core::Revision Known =
      Listed.UpTo == 0 ? KnownRevision : std::min(KnownRevision, Listed.After);
  core::EntryChanges Out{
      .After = std::max(RecentChanges.After, Known),
      .List = {.Entries = {}, .AsOf = RecentChanges.List.AsOf},
      .Listed = Listed};
  const auto &Entries = RecentChanges.List.Entries;
  const auto First = std::upper_bound(
      Entries.begin(), Entries.end(), Out.After,
      [](core::Revision Revision, const core::StoredEntry &Entry) {
        return Revision < Entry.Changed;
      });
  Out.List.Entries.assign(First, Entries.end());
  return Out;
}

} // namespace internal

StoreRelay::StoreRelay(LinkTable &Links, const core::MemberSource &Members,
                       const core::Clock &Time)
    : Links(Links), Members(Members), Time(Time), SelfId(Members.self().Id),
      SelfHash(core::hash64(SelfId)) {}

void StoreRelay::remember(const core::EntryChanges &Changes) {
  const std::lock_guard Lock(Mutex);
  // After a gap in the revisions the history starts anew, because a receiver
  // takes the entries after a revision for complete. So it does if only a part
  // of the changes from a list is known.
  const core::ListedRange Listed = Changes.Listed;
  const bool AddsListed = Listed.UpTo > RecentChanges.List.AsOf;
  const bool ListedInPart =
      AddsListed && std::max(Changes.After, RecentChanges.After) > Listed.After;
  if (Changes.After > RecentChanges.List.AsOf || RecentChanges.List.AsOf == 0 ||
      ListedInPart) {
    RecentChanges = {.After = Changes.After, .List = {}};
    ListedRanges.clear();
  }
  std::vector<core::StoredEntry> &Entries = RecentChanges.List.Entries;
  std::vector<core::StoredEntry> Deletions;
  if (AddsListed) {
    Deletions = internal::deletionsByList(RecentChanges, Changes);
    ListedRanges.push_back(
        {.After = std::max(Listed.After, RecentChanges.List.AsOf),
         .UpTo = Listed.UpTo});
  }
  for (const core::StoredEntry &Entry : Changes.List.Entries)
    if (Entry.Changed > RecentChanges.List.AsOf)
      Entries.push_back(Entry);
  if (!Deletions.empty()) {
    Entries.insert(Entries.end(), Deletions.begin(), Deletions.end());
    std::stable_sort(Entries.begin(), Entries.end(),
                     [](const auto &Left, const auto &Right) {
                       return Left.Changed < Right.Changed;
                     });
  }
  RecentChanges.List.AsOf =
      std::max(RecentChanges.List.AsOf, Changes.List.AsOf);
  const bool EraBegins =
      core::eraOf(Changes.After) < core::eraOf(Changes.List.AsOf);
  const std::size_t MaxEntries =
      EraBegins ? internal::MaxEraEntries : internal::MaxRecentEntries;
  while (RecentChanges.List.Entries.size() > MaxEntries ||
         internal::valueBytes(RecentChanges) > internal::MaxSharedBytes) {
    RecentChanges.After = RecentChanges.List.Entries.front().Changed;
    RecentChanges.List.Entries.erase(RecentChanges.List.Entries.begin());
  }
  std::erase_if(ListedRanges, [&](const core::ListedRange &Range) {
    return Range.UpTo <= RecentChanges.After;
  });
}

bool StoreRelay::send(const LinkPtr &Open, const Envelope &Item) {
  const auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(
      Time.now() - Item.ReadAt);
  StoreChanges Message{
      .ReadAtMs = static_cast<std::uint64_t>((Time.uptime() - Age).count()),
      .Relays = Item.Relays,
      .PassOn = Item.PassOn};
  {
    const std::lock_guard Lock(Mutex);
    const auto [Clock, New] = Clocks.try_emplace(Open->number());
    // The link table shows a new link to other threads before onOpen() runs.
    if (New && Open->peer().SentAtMs != 0)
      Clock->second.record(std::chrono::milliseconds(Open->peer().SentAtMs),
                           Time.uptime());
    if (Item.CompleteUntil)
      if (const auto Converted =
              Clock->second.toPeer(*Item.CompleteUntil, Time.uptime()))
        Message.CompleteUntilMs = static_cast<std::uint64_t>(
            std::max<std::int64_t>(Converted->count(), 0));
    core::Revision &SentRevision = SentRevisions[Open->number()];
    Message.Changes = internal::changesAfter(
        RecentChanges, internal::listedAfter(ListedRanges, SentRevision),
        SentRevision);
    SentRevision = RecentChanges.List.AsOf;
  }
  return Open->send(Message);
}

void StoreRelay::send(const core::Member &Receiver, const Envelope &Item,
                      Receivers &Count) {
  if (const LinkPtr Open = Links.find(Receiver.Id)) {
    Count.Sent += send(Open, Item);
    return;
  }
  ++Count.WithoutLink;
  if (Receiver.State != core::MemberState::Live)
    return;
  {
    const std::lock_guard Lock(Mutex);
    AwaitingLink.insert_or_assign(Receiver.Id, Item);
  }
  Links.connectInBackground(Receiver.Id, Receiver.Address);
}

void StoreRelay::sendToAll(const Envelope &Item, Receivers &Count) {
  for (const core::Member &Vm : Members.members())
    if (Vm.Id != SelfId)
      send(Vm, Item, Count);
}

std::vector<std::uint64_t>
StoreRelay::usableRelays(const decision::RelayTree &Tree) {
  const core::TimePoint Now = Time.now();
  std::vector<std::uint64_t> Usable;
  for (const std::string &Relay : Tree.relays()) {
    const bool HasLink = Relay == SelfId || Links.find(Relay) != nullptr;
    const std::lock_guard Lock(Mutex);
    if (HasLink) {
      WithoutLinkSince.erase(Relay);
    } else {
      const auto [Found, Added] = WithoutLinkSince.emplace(Relay, Now);
      if (Now - Found->second > internal::MaxLinkWait)
        continue;
    }
    Usable.push_back(core::hash64(Relay));
  }
  return Usable;
}

// The sender names the relays, so that all of them divide the VMs in the same
// way, whoever each of them takes for live.
void StoreRelay::sendToRelays(const decision::RelayTree &Tree,
                              const Envelope &Item, Receivers &Count) {
  Envelope ToRelay = Item;
  ToRelay.Relays = usableRelays(Tree);
  for (const core::Member &Vm : Members.members())
    if (Vm.Id != SelfId && Tree.isRelay(Vm.Id))
      send(Vm, ToRelay, Count);
  sendToOwnPart(ToRelay, Count);
}

// Kept until the members or the relays change: a hash for each VM and relay
// would cost a relay more than its messages.
std::shared_ptr<const StoreRelay::Part>
StoreRelay::ownPart(const std::vector<std::uint64_t> &Relays) {
  const std::uint64_t Version = Members.version();
  {
    const std::lock_guard Lock(Mutex);
    if (LastPart && LastPart->MemberVersion == Version &&
        LastPart->Relays == Relays)
      return LastPart;
  }
  Part Computed{.MemberVersion = Version, .Relays = Relays, .Receivers = {}};
  for (core::Member &Vm : Members.members()) {
    const bool IsRelay = std::find(Relays.begin(), Relays.end(),
                                   core::hash64(Vm.Id)) != Relays.end();
    if (Vm.Id != SelfId && !IsRelay &&
        decision::relayOf(Vm.Id, Relays) == SelfHash)
      Computed.Receivers.push_back(std::move(Vm));
  }
  auto Shared = std::make_shared<const Part>(std::move(Computed));
  const std::lock_guard Lock(Mutex);
  LastPart = Shared;
  return Shared;
}

void StoreRelay::sendToOwnPart(const Envelope &Item, Receivers &Count) {
  const Envelope ToReceiver{
      .ReadAt = Item.ReadAt, .CompleteUntil = Item.CompleteUntil, .Relays = {}};
  for (const core::Member &Vm : ownPart(Item.Relays)->Receivers)
    send(Vm, ToReceiver, Count);
}

// A VM that is too small to relay may be the only one that reaches the store.
// Sending to all would keep it from its own work for seconds.
void StoreRelay::handOver(const decision::RelayTree &Tree, Envelope Item,
                          Receivers &Count) {
  Item.PassOn = true;
  const std::vector<core::Member> All = Members.members();
  for (const std::string &Relay : Tree.relays()) {
    if (Count.Sent == internal::HandoverReceivers ||
        Count.WithoutLink == internal::HandoverReceivers)
      break;
    const auto Found =
        std::find_if(All.begin(), All.end(),
                     [&](const core::Member &Vm) { return Vm.Id == Relay; });
    if (Found != All.end())
      send(*Found, Item, Count);
  }
}

void StoreRelay::broadcast(
    const core::EntryChanges &Changes, core::TimePoint ReadAt,
    std::optional<std::chrono::milliseconds> CompleteUntil) {
  remember(Changes);
  {
    // What waited for a link in vain is not kept for a VM that is gone.
    const std::lock_guard Lock(Mutex);
    std::erase_if(AwaitingLink, [&](const auto &Waiting) {
      return ReadAt - Waiting.second.ReadAt > internal::MaxWaitingAge;
    });
  }
  const decision::RelayTree Relays = currentTree();
  const Envelope Item{
      .ReadAt = ReadAt, .CompleteUntil = CompleteUntil, .Relays = {}};
  Receivers Count;
  if (Relays.relays().empty())
    sendToAll(Item, Count);
  else if (Relays.isRelay(SelfId))
    sendToRelays(Relays, Item, Count);
  else
    handOver(Relays, Item, Count);
  if (!Changes.List.Entries.empty())
    core::LogLine(core::LogLevel::Info, "store.broadcast")
        .field("revision", Changes.List.AsOf)
        .field("entries", Changes.List.Entries.size())
        .field("relays", Relays.relays().size())
        .field("sent", Count.Sent)
        .field("without_link", Count.WithoutLink);
}

void StoreRelay::updateRank() {
  const std::uint64_t Version = Members.version();
  if (RankedMemberVersion == Version)
    return;
  const std::vector<core::Member> All = Members.members();
  const std::vector<std::string> Ranked =
      decision::rankMembers("store/reader", "", All);
  const auto Found = std::find(Ranked.begin(), Ranked.end(), SelfId);
  Rank = static_cast<std::size_t>(Found - Ranked.begin());
  LiveMembers = Ranked.size();
  Tree = decision::RelayTree(Ranked, decision::countEligible(All));
  RankedMemberVersion = Version;
}

std::size_t StoreRelay::readerRank() {
  const std::lock_guard Lock(Mutex);
  updateRank();
  return Rank;
}

decision::RelayTree StoreRelay::currentTree() {
  const std::lock_guard Lock(Mutex);
  updateRank();
  return Tree;
}

bool StoreRelay::alone() {
  const std::lock_guard Lock(Mutex);
  updateRank();
  return LiveMembers <= 1;
}

core::TimePoint StoreRelay::receivedInstant(const LinkPtr &Source,
                                            std::uint64_t SentAtMs) {
  const core::TimePoint Now = Time.now();
  // A peer of an earlier version does not state it.
  if (SentAtMs == 0)
    return Now;
  const std::lock_guard Lock(Mutex);
  return Now - Delays[Source->number()].record(
                   std::chrono::milliseconds(SentAtMs), Time.uptime());
}

void StoreRelay::recordClock(const LinkPtr &Source, std::uint64_t SentAtMs) {
  if (SentAtMs == 0)
    return;
  const std::lock_guard Lock(Mutex);
  Clocks[Source->number()].record(std::chrono::milliseconds(SentAtMs),
                                  Time.uptime());
}

// The first frame of a link finds it empty, so that it shows the difference of
// the two clocks.
void StoreRelay::onOpen(const LinkPtr &Source) {
  (void)receivedInstant(Source, Source->peer().SentAtMs);
  recordClock(Source, Source->peer().SentAtMs);
  std::optional<Envelope> Waiting;
  {
    const std::lock_guard Lock(Mutex);
    const auto Found = AwaitingLink.find(Source->peer().Sender);
    if (Found == AwaitingLink.end())
      return;
    if (Time.now() - Found->second.ReadAt <= internal::MaxWaitingAge)
      Waiting = std::move(Found->second);
    AwaitingLink.erase(Found);
  }
  if (Waiting)
    (void)send(Source, *Waiting);
}

void StoreRelay::onFrame(const LinkPtr &Source, const Frame &Item) {
  if (const auto *Digest = std::get_if<GossipMessage>(&Item.Body))
    recordClock(Source, Digest->SentAtMs);
  const auto *Received = std::get_if<StoreChanges>(&Item.Body);
  if (Received == nullptr)
    return;
  const core::TimePoint ReadAt = receivedInstant(Source, Received->ReadAtMs);
  std::optional<std::chrono::milliseconds> CompleteUntil;
  if (Received->CompleteUntilMs != 0)
    CompleteUntil = std::chrono::milliseconds(Received->CompleteUntilMs);
  if (std::find(Received->Relays.begin(), Received->Relays.end(), SelfHash) !=
      Received->Relays.end()) {
    remember(Received->Changes);
    Receivers Count;
    sendToOwnPart({.ReadAt = ReadAt,
                   .CompleteUntil = CompleteUntil,
                   .Relays = Received->Relays},
                  Count);
  }
  if (Handler)
    Handler({.Changes = Received->Changes,
             .ReadAt = ReadAt,
             .CompleteUntil = CompleteUntil,
             .PassOn = Received->PassOn});
}

void StoreRelay::onClose(const LinkPtr &Source) {
  const std::lock_guard Lock(Mutex);
  SentRevisions.erase(Source->number());
  Delays.erase(Source->number());
  Clocks.erase(Source->number());
}

} // namespace jujubecart::peers
