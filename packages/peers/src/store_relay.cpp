#include <jujubecart/peers/store_relay.hpp>

#include <jujubecart/core/log.hpp>
#include <jujubecart/decision/rendezvous.hpp>

#include <algorithm>

namespace jujubecart::peers {

namespace internal {

// Entries kept for peers that missed a broadcast.
constexpr std::size_t MaxRecentEntries = 256;
// Limit on the bytes of values in one message; peers read larger changes from
// the store themselves.
constexpr std::size_t MaxSharedBytes = std::size_t{512} * 1024;

std::size_t valueBytes(const core::EntryChanges &Changes) {
  std::size_t Bytes = 0;
  for (const core::StoredEntry &Entry : Changes.List.Entries)
    Bytes += Entry.Value ? Entry.Value->size() : 0;
  return Bytes;
}

// Returns the changes after a revision that the receiver is known to have. The
// entries must be sorted by revision.
core::EntryChanges changesAfter(const core::EntryChanges &RecentChanges,
                                core::Revision KnownRevision) {
  core::EntryChanges Out{
      .After = std::max(RecentChanges.After, KnownRevision),
      .List = {.Entries = {}, .AsOf = RecentChanges.List.AsOf}};
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

void StoreRelay::broadcast(const core::EntryChanges &Changes,
                           core::TimePoint ReadAt) {
  {
    const std::lock_guard Lock(Mutex);
    // After a gap in the revisions the history starts anew, because a receiver
    // takes the entries after a revision for complete.
    if (Changes.After > RecentChanges.List.AsOf || RecentChanges.List.AsOf == 0)
      RecentChanges = {.After = Changes.After, .List = {}};
    for (const core::StoredEntry &Entry : Changes.List.Entries)
      if (Entry.Changed > RecentChanges.List.AsOf)
        RecentChanges.List.Entries.push_back(Entry);
    RecentChanges.List.AsOf =
        std::max(RecentChanges.List.AsOf, Changes.List.AsOf);
    while (RecentChanges.List.Entries.size() > internal::MaxRecentEntries ||
           internal::valueBytes(RecentChanges) > internal::MaxSharedBytes) {
      RecentChanges.After = RecentChanges.List.Entries.front().Changed;
      RecentChanges.List.Entries.erase(RecentChanges.List.Entries.begin());
    }
  }
  const auto ReadAtMs = static_cast<std::uint64_t>(
      (Time.uptime() - std::chrono::duration_cast<std::chrono::milliseconds>(
                           Time.now() - ReadAt))
          .count());
  const std::string Self = Members.self().Id;
  std::size_t Sent = 0;
  std::size_t WithoutLink = 0;
  for (const core::Member &Vm : Members.members()) {
    const LinkPtr OpenLink = Links.find(Vm.Id);
    if (!OpenLink) {
      WithoutLink += Vm.Id != Self;
      if (Vm.Id != Self && Vm.State == core::MemberState::Live)
        Links.connectInBackground(Vm.Id, Vm.Address);
      continue;
    }
    core::EntryChanges Unsent;
    {
      const std::lock_guard Lock(Mutex);
      core::Revision &SentRevision = SentRevisions[OpenLink->number()];
      Unsent = internal::changesAfter(RecentChanges, SentRevision);
      SentRevision = RecentChanges.List.AsOf;
    }
    Sent += OpenLink->send(
        StoreChanges{.Changes = std::move(Unsent), .ReadAtMs = ReadAtMs});
  }
  if (!Changes.List.Entries.empty())
    core::LogLine(core::LogLevel::Info, "store.broadcast")
        .field("revision", Changes.List.AsOf)
        .field("entries", Changes.List.Entries.size())
        .field("sent", Sent)
        .field("without_link", WithoutLink);
}

void StoreRelay::updateRank() {
  const std::uint64_t Version = Members.version();
  if (RankedMemberVersion == Version)
    return;
  const std::vector<std::string> Ranked =
      decision::rankMembers("store/reader", "", Members.members());
  const auto Found = std::find(Ranked.begin(), Ranked.end(), Members.self().Id);
  Rank = static_cast<std::size_t>(Found - Ranked.begin());
  LiveMembers = Ranked.size();
  RankedMemberVersion = Version;
}

std::size_t StoreRelay::readerRank() {
  const std::lock_guard Lock(Mutex);
  updateRank();
  return Rank;
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

// The first frame of a link finds it empty, so that it shows the difference of
// the two clocks.
void StoreRelay::onOpen(const LinkPtr &Source) {
  (void)receivedInstant(Source, Source->peer().SentAtMs);
}

void StoreRelay::onFrame(const LinkPtr &Source, const Frame &Item) {
  const auto *Received = std::get_if<StoreChanges>(&Item.Body);
  if (Received != nullptr && Handler)
    Handler(Received->Changes, receivedInstant(Source, Received->ReadAtMs));
}

void StoreRelay::onClose(const LinkPtr &Source) {
  const std::lock_guard Lock(Mutex);
  SentRevisions.erase(Source->number());
  Delays.erase(Source->number());
}

} // namespace jujubecart::peers
