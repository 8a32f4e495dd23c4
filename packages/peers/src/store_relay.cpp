#include <jujubecart/peers/store_relay.hpp>

#include <jujubecart/decision/rendezvous.hpp>

#include <algorithm>

namespace jujubecart::peers {

namespace internal {

// Entries kept for peers that missed an answer.
constexpr std::size_t MaxRecent = 256;
// Bytes of values in one message; peers read larger changes themselves.
constexpr std::size_t MaxSharedBytes = std::size_t{512} * 1024;

std::size_t valueBytes(const core::EntryChanges &Changes) {
  std::size_t Bytes = 0;
  for (const core::StoredEntry &Entry : Changes.List.Entries)
    Bytes += Entry.Value ? Entry.Value->size() : 0;
  return Bytes;
}

// Changes after a revision that the receiver is known to have; the entries are
// in the order of their revisions.
core::EntryChanges changesAfter(const core::EntryChanges &Recent,
                                core::Revision Known) {
  core::EntryChanges Out{.After = std::max(Recent.After, Known),
                         .List = {.Entries = {}, .AsOf = Recent.List.AsOf}};
  const auto &Entries = Recent.List.Entries;
  const auto First = std::upper_bound(
      Entries.begin(), Entries.end(), Out.After,
      [](core::Revision Revision, const core::StoredEntry &Entry) {
        return Revision < Entry.Changed;
      });
  Out.List.Entries.assign(First, Entries.end());
  return Out;
}

} // namespace internal

void StoreRelay::share(const core::EntryChanges &Changes) {
  {
    const std::lock_guard Lock(Mutex);
    // A gap in what this VM knows starts a new history.
    if (Changes.After > Recent.List.AsOf || Recent.List.AsOf == 0)
      Recent = {.After = Changes.After, .List = {}};
    for (const core::StoredEntry &Entry : Changes.List.Entries)
      if (Entry.Changed > Recent.List.AsOf)
        Recent.List.Entries.push_back(Entry);
    Recent.List.AsOf = std::max(Recent.List.AsOf, Changes.List.AsOf);
    while (Recent.List.Entries.size() > internal::MaxRecent ||
           internal::valueBytes(Recent) > internal::MaxSharedBytes) {
      Recent.After = Recent.List.Entries.front().Changed;
      Recent.List.Entries.erase(Recent.List.Entries.begin());
    }
  }
  const std::string Self = Members.self().Id;
  for (const core::Member &Vm : Members.members()) {
    const LinkPtr Open = Links.find(Vm.Id);
    if (!Open) {
      if (Vm.Id != Self && Vm.State == core::MemberState::Live)
        Links.connectLater(Vm.Id, Vm.Address);
      continue;
    }
    core::EntryChanges News;
    {
      const std::lock_guard Lock(Mutex);
      core::Revision &Known = Told[Open->number()];
      News = internal::changesAfter(Recent, Known);
      Known = Recent.List.AsOf;
    }
    Open->send(StoreChanges{.Changes = std::move(News)});
  }
}

std::size_t StoreRelay::readerRank() {
  const std::uint64_t Version = Members.version();
  const std::lock_guard Lock(Mutex);
  if (RankedVersion == Version)
    return Rank;
  const std::vector<std::string> Ranked =
      decision::rankMembers("store/reader", "", Members.members());
  const auto Found = std::find(Ranked.begin(), Ranked.end(), Members.self().Id);
  Rank = static_cast<std::size_t>(Found - Ranked.begin());
  RankedVersion = Version;
  return Rank;
}

void StoreRelay::onFrame(const LinkPtr & /*Source*/, const Frame &Item) {
  const auto *Received = std::get_if<StoreChanges>(&Item.Body);
  if (Received != nullptr && Notified)
    Notified(Received->Changes);
}

void StoreRelay::onClose(const LinkPtr &Source) {
  const std::lock_guard Lock(Mutex);
  Told.erase(Source->number());
}

} // namespace jujubecart::peers
