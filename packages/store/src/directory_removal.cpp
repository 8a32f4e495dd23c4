#include <jujubecart/store/directory.hpp>

#include "directory_entries.hpp"

#include <jujubecart/core/log.hpp>
#include <jujubecart/core/store_era.hpp>

#include <algorithm>
#include <map>
#include <string_view>

namespace jujubecart::store {

namespace internal {

// How long a removed server is remembered. Copies are seconds old when the
// store comes back.
constexpr std::chrono::seconds RemovedServerMemory{30};
constexpr std::size_t MaxRemovedServers = 4096;

void logServerChange(const char *State, const core::RegisteredServer &Item,
                     core::Revision Changed) {
  core::LogLine Line(core::LogLevel::Info, "server.changed");
  Line.field("server", Item.Server.Id)
      .field("service", Item.Service)
      .field("address", Item.Server.Address)
      .field("state", State)
      .field("revision", Changed);
  if (Item.ColdMs != 0)
    Line.field("cold_ms", Item.ColdMs);
}

} // namespace internal

// The key alone names the zone, so that an entry with an invalid value counts
// all the same: requests to a zone in trouble cost more than idle servers.
void Directory::applyEvacuation(const core::StoredEntry &Entry,
                                core::TimePoint Now) {
  if (!Entry.Value)
    return endEvacuation(Entry.Key, Now, Entry.Changed);
  const auto [Known, New] = Evacuations.try_emplace(Entry.Key);
  Known->second.RemoveAt = core::TimePoint::max();
  Known->second.Changed = std::max(Known->second.Changed, Entry.Changed);
  if (!New)
    return;
  Known->second.Zone = Codec.evacuatedZone(Entry.Key);
  if (ZoneRegions.contains(Known->second.Zone))
    logZone("zone.evacuated", Known->second.Zone, Entry.Changed);
  else
    core::LogLine(core::LogLevel::Warning, "zone.unknown")
        .field("key", Entry.Key)
        .field("revision", Entry.Changed);
}

// Only an entry that is missing after the store came back from a copy is kept;
// operators' entries have no lease, so that any other deletion is theirs.
void Directory::endEvacuation(const std::string &Key, core::TimePoint Now,
                              core::Revision Changed) {
  const auto Found = Evacuations.find(Key);
  if (Found == Evacuations.end())
    return;
  if (Now < EvacuationsKeptUntil &&
      core::eraOf(Found->second.Changed) < core::eraOf(Changed)) {
    Found->second.RemoveAt =
        std::min(Found->second.RemoveAt, EvacuationsKeptUntil);
    return;
  }
  const std::string Zone = std::move(Found->second.Zone);
  Evacuations.erase(Found);
  if (ZoneRegions.contains(Zone))
    logZone("zone.restored", Zone, AsOf);
}

void Directory::logZone(const char *Event, const std::string &Zone,
                        core::Revision Changed) const {
  const auto Count =
      std::count_if(Servers.begin(), Servers.end(), [&](const auto &Item) {
        return Item.second.Registered.Server.Zone == Zone;
      });
  core::LogLine(core::LogLevel::Info, Event)
      .field("zone", Zone)
      .field("servers", Count)
      .field("revision", Changed);
}

bool Directory::isDeferred(core::Revision Known, core::Revision Deleted,
                           core::TimePoint Now) const noexcept {
  return Now < DeletionsDeferredUntil &&
         core::eraOf(Known) < core::eraOf(Deleted);
}

void Directory::removeVm(const std::string &Key, core::TimePoint Now,
                         core::Revision Changed) {
  const auto Found = Vms.find(Key);
  if (Found == Vms.end())
    return;
  if (isDeferred(Found->second.Changed, Changed, Now))
    Found->second.RemoveAt =
        std::min(Found->second.RemoveAt, DeletionsDeferredUntil);
  else
    Vms.erase(Found);
}

void Directory::removeServer(const std::string &Key, core::TimePoint Now) {
  const auto Found = Servers.find(Key);
  if (Found == Servers.end())
    return;
  // A draining server is about to leave, so nobody will write its entry again.
  if (Now < DeletionsDeferredUntil &&
      Found->second.Registered.Server.State == core::ServerState::Active) {
    Found->second.RemoveAt =
        std::min(Found->second.RemoveAt, DeletionsDeferredUntil);
    return;
  }
  internal::logServerChange("gone", Found->second.Registered, AsOf);
  rememberRemoved(Key, Found->second, Now);
  Servers.erase(Found);
}

void Directory::rememberRemoved(const std::string &Key,
                                const ServerEntry &Entry, core::TimePoint Now) {
  const core::RegisteredServer &Server = Entry.Registered;
  // An invalid entry is removed without a time, and may be corrected.
  if (Now == core::TimePoint::max() || Server.Sequence == 0 ||
      Server.Server.Incarnation == 0)
    return;
  std::erase_if(RemovedServers,
                [&](const auto &Item) { return Item.second.Until <= Now; });
  if (RemovedServers.size() >= internal::MaxRemovedServers)
    return;
  RemovedServers.insert_or_assign(
      Key, RemovedServer{.Incarnation = Server.Server.Incarnation,
                         .Sequence = Server.Sequence,
                         .Changed = std::max(AsOf, Entry.Changed),
                         .Until = Now + internal::RemovedServerMemory});
}

// Whoever wrote the entry has left, but a store that came back from a copy
// still has it. A server that lives on writes a report with a higher sequence.
bool Directory::isRemoved(const core::StoredEntry &Entry,
                          const core::RegisteredServer &Read,
                          core::TimePoint Now) const {
  const auto Found = RemovedServers.find(Entry.Key);
  if (Found == RemovedServers.end() || Found->second.Until <= Now ||
      core::eraOf(Entry.Changed) <= core::eraOf(Found->second.Changed) ||
      Read.Server.Incarnation != Found->second.Incarnation ||
      Read.Sequence > Found->second.Sequence)
    return false;
  core::LogLine(core::LogLevel::Info, "server.removed_before")
      .field("server", Read.Server.Id)
      .field("sequence", Read.Sequence)
      .field("known", Found->second.Sequence);
  return true;
}

// The VM that read the list could not report the deletion of entries that it
// did not know. Those that exist are among the changes.
void Directory::removeUnlisted(const core::EntryChanges &Changes,
                               core::TimePoint Now) {
  const core::ListedRange &Listed = Changes.Listed;
  std::map<std::string_view, core::Revision> Reported;
  for (const core::StoredEntry &Entry : Changes.List.Entries) {
    core::Revision &Last = Reported[Entry.Key];
    Last = std::max(Last, Entry.Changed);
  }
  const auto UnlistedKeys = [&](const auto &Known) {
    std::vector<std::string> Keys;
    for (const auto &[Key, Entry] : Known) {
      const auto Found = Reported.find(Key);
      if (Entry.Changed > Listed.After && Entry.Changed <= Listed.UpTo &&
          (Found == Reported.end() || Found->second < Entry.Changed))
        Keys.push_back(Key);
    }
    return Keys;
  };
  for (const std::string &Key : UnlistedKeys(Servers))
    removeServer(Key, Now);
  for (const std::string &Key : UnlistedKeys(Vms))
    removeVm(Key, Now, Listed.UpTo);
  for (const std::string &Key : UnlistedKeys(Evacuations))
    endEvacuation(Key, Now, Listed.UpTo);
}

bool Directory::removeExpired(core::TimePoint Now) {
  std::vector<std::string> Ended;
  for (const auto &[Key, Entry] : Evacuations)
    if (Entry.RemoveAt <= Now)
      Ended.push_back(Key);
  for (const std::string &Key : Ended)
    endEvacuation(Key, core::TimePoint::max(), AsOf);
  const std::size_t LostVms = std::erase_if(
      Vms, [&](const auto &Item) { return Item.second.RemoveAt <= Now; });
  const std::size_t LostServers = std::erase_if(Servers, [&](const auto &Item) {
    if (Item.second.RemoveAt > Now)
      return false;
    internal::logServerChange("gone", Item.second.Registered, AsOf);
    rememberRemoved(Item.first, Item.second, Now);
    return true;
  });
  return !Ended.empty() || LostVms > 0 || LostServers > 0;
}

core::TimePoint Directory::nextRemoval() const noexcept {
  core::TimePoint Next = core::TimePoint::max();
  for (const auto &[Key, Entry] : Servers)
    Next = std::min(Next, Entry.RemoveAt);
  for (const auto &[Key, Entry] : Vms)
    Next = std::min(Next, Entry.RemoveAt);
  for (const auto &[Key, Entry] : Evacuations)
    Next = std::min(Next, Entry.RemoveAt);
  return Next;
}

} // namespace jujubecart::store
