#include <jujubecart/store/directory.hpp>

#include "directory_entries.hpp"

#include <jujubecart/core/log.hpp>
#include <jujubecart/core/store_era.hpp>

#include <algorithm>
#include <set>

namespace jujubecart::store {

namespace internal {

// Time after the store came back from a copy for which an evacuation that is
// missing from it is kept. Nothing states how fast the operators write it
// again. Ending it too early sends load to a zone that is being emptied;
// keeping it costs an idle zone.
constexpr std::chrono::seconds EvacuationRewriteTime{12};

void logInvalid(std::string_view Key, const core::Findings &Report) {
  core::LogLine(core::LogLevel::Warning, "directory.entry_invalid")
      .field("key", Key)
      .field("reason", Report.text());
}

const char *stateName(core::ServerState State) {
  return State == core::ServerState::Active ? "active" : "draining";
}

// The entry may have been under way for a time, so the server is warm a little
// before the result. A server counts its cold time down in its entries; the end
// stays the same then, so that the service does not change with each of them.
core::TimePoint coldUntil(const core::RegisteredServer &Known,
                          const core::RegisteredServer &Read,
                          core::TimePoint Now) {
  constexpr std::chrono::milliseconds Tolerance{500};
  if (Read.ColdMs == 0)
    return core::TimePoint::min();
  const core::TimePoint Until = Now + std::chrono::milliseconds(Read.ColdMs);
  const core::TimePoint Before = Known.Server.ColdUntil;
  const bool SameEnd = Known.Server.Incarnation == Read.Server.Incarnation &&
                       Before != core::TimePoint::min() &&
                       std::chrono::abs(Until - Before) <= Tolerance;
  return SameEnd ? Before : Until;
}

} // namespace internal

Directory::Directory(const core::DirectoryCodec &Codec, Zones ZoneRegions,
                     std::chrono::milliseconds ReregistrationTime)
    : Codec(Codec), ZoneRegions(std::move(ZoneRegions)),
      ReregistrationTime(ReregistrationTime) {}

// What the store accepted after the copy was made is missing from it until its
// writers have written it again.
bool Directory::beginEra(core::Revision Reported, core::TimePoint Now) {
  if (AsOf == 0 || core::eraOf(Reported) <= core::eraOf(AsOf))
    return false;
  core::LogLine(core::LogLevel::Warning, "store.era_changed")
      .field("era", core::eraOf(Reported))
      .field("revision", core::withoutEra(Reported))
      .field("known_era", core::eraOf(AsOf))
      .field("known_revision", core::withoutEra(AsOf));
  DeletionsDeferredUntil =
      std::max(DeletionsDeferredUntil, Now + ReregistrationTime);
  EvacuationsKeptUntil = Now + internal::EvacuationRewriteTime;
  return true;
}

// Changes that lead from one era to another contain all entries of the new one,
// because no watch goes across. Entries that are left from before are missing.
void Directory::removeOlderEras(core::TimePoint Now) {
  const auto KeysBefore = [this](const auto &Known) {
    std::vector<std::string> Keys;
    for (const auto &[Key, Entry] : Known)
      if (core::eraOf(Entry.Changed) < core::eraOf(AsOf))
        Keys.push_back(Key);
    return Keys;
  };
  for (const std::string &Key : KeysBefore(Servers))
    removeServer(Key, Now);
  for (const std::string &Key : KeysBefore(Vms))
    removeVm(Key, Now, AsOf);
  for (const std::string &Key : KeysBefore(Evacuations))
    endEvacuation(Key, Now, AsOf);
}

// Another VM may have reported later changes while the list was under way, and
// snapshots may be older than what was read before. All changes up to AsOf are
// known, so an older list has nothing to add and lacks the later changes.
bool Directory::replace(const core::EntryList &All, core::TimePoint Now) {
  if (All.AsOf < AsOf) {
    core::LogLine(core::LogLevel::Info, "directory.older_list")
        .field("revision", All.AsOf)
        .field("known", AsOf);
    return false;
  }
  beginEra(All.AsOf, Now);
  std::set<std::string, std::less<>> Present;
  for (const core::StoredEntry &Entry : All.Entries)
    Present.insert(Entry.Key);
  // An earlier list may have contained entries that were newer than its AsOf.
  const auto MissingKeys = [&](const auto &Known) {
    std::vector<std::string> Keys;
    for (const auto &[Key, Entry] : Known)
      if (!Present.contains(Key) && Entry.Changed <= All.AsOf)
        Keys.push_back(Key);
    return Keys;
  };
  for (const std::string &Key : MissingKeys(Servers))
    removeServer(Key, Now);
  for (const std::string &Key : MissingKeys(Vms))
    removeVm(Key, Now, All.AsOf);
  for (const std::string &Key : MissingKeys(Evacuations))
    endEvacuation(Key, Now, All.AsOf);
  // One line for the first list instead of one for each of its servers: at the
  // start of a VM the log would cost more time than the list itself.
  LogsServers = !Servers.empty();
  // Evacuations last, so that their lines in the log count the servers.
  const auto IsEvacuation = [&](const core::StoredEntry &Entry) {
    return Codec.entryKind(Entry.Key) == core::EntryKind::Evacuation;
  };
  for (const core::StoredEntry &Entry : All.Entries)
    if (!IsEvacuation(Entry))
      apply(Entry, Now);
  for (const core::StoredEntry &Entry : All.Entries)
    if (IsEvacuation(Entry))
      apply(Entry, Now);
  LogsServers = true;
  AsOf = std::max(AsOf, All.AsOf);
  core::LogLine(core::LogLevel::Info, "directory.listed")
      .field("servers", Servers.size())
      .field("vms", Vms.size())
      .field("revision", AsOf);
  return true;
}

core::EntryChanges Directory::changesTo(const core::EntryList &All) const {
  core::EntryChanges Result{.After = AsOf,
                            .List = {.AsOf = std::max(AsOf, All.AsOf)}};
  if (All.AsOf <= AsOf)
    return Result;
  Result.Listed = {.After = AsOf, .UpTo = All.AsOf};
  std::vector<core::StoredEntry> &Changes = Result.List.Entries;
  std::set<std::string, std::less<>> Present;
  for (const core::StoredEntry &Entry : All.Entries) {
    Present.insert(Entry.Key);
    if (Entry.Changed > AsOf && Entry.Changed <= All.AsOf &&
        Codec.entryKind(Entry.Key) != core::EntryKind::Other)
      Changes.push_back(Entry);
  }
  std::sort(Changes.begin(), Changes.end(),
            [](const core::StoredEntry &Left, const core::StoredEntry &Right) {
              return Left.Changed < Right.Changed;
            });
  // The revision of a deletion is not in the list.
  const auto AddMissing = [&](const auto &Known) {
    for (const auto &[Key, Entry] : Known)
      if (!Present.contains(Key) && Entry.Changed <= All.AsOf)
        Changes.push_back({.Key = Key, .Value = {}, .Changed = All.AsOf});
  };
  AddMissing(Servers);
  AddMissing(Vms);
  AddMissing(Evacuations);
  return Result;
}

void Directory::apply(const core::EntryList &Changes, core::TimePoint Now) {
  const core::Revision Known = AsOf;
  const bool EraBegins = beginEra(Changes.AsOf, Now);
  for (const core::StoredEntry &Entry : Changes.Entries)
    if (Entry.Changed > Known)
      apply(Entry, Now);
  AsOf = std::max(AsOf, Changes.AsOf);
  if (EraBegins)
    removeOlderEras(Now);
}

void Directory::apply(const core::EntryChanges &Changes, core::TimePoint Now) {
  const bool AddsListed = AsOf < Changes.Listed.UpTo;
  apply(Changes.List, Now);
  if (AddsListed)
    removeUnlisted(Changes, Now);
}

void Directory::apply(const core::StoredEntry &Entry, core::TimePoint Now) {
  switch (Codec.entryKind(Entry.Key)) {
  case core::EntryKind::Routing:
    applyRouting(Entry);
    break;
  case core::EntryKind::Server:
    applyServer(Entry, Now);
    break;
  case core::EntryKind::Vm:
    applyVm(Entry, Now);
    break;
  case core::EntryKind::Evacuation:
    applyEvacuation(Entry, Now);
    break;
  case core::EntryKind::Other:
    break;
  }
}

// A deleted, invalid or older routing configuration never replaces the current
// one.
void Directory::applyRouting(const core::StoredEntry &Entry) {
  if (!Entry.Value)
    return;
  core::Findings Report(Entry.Key);
  auto Read = Codec.decodeRouting(*Entry.Value, Report);
  if (!Report.empty())
    internal::logInvalid(Entry.Key, Report);
  if (!Read ||
      (Config.Routing && Read->Routing->version() <= Config.Routing->version()))
    return;
  Config = std::move(*Read);
}

void Directory::applyServer(const core::StoredEntry &Entry,
                            core::TimePoint Now) {
  if (!Entry.Value)
    return removeServer(Entry.Key, Now);
  core::Findings Report(Entry.Key);
  auto Read = Codec.decodeServer(Entry.Key, *Entry.Value, Report);
  if (!Read) {
    internal::logInvalid(Entry.Key, Report);
    return removeServer(Entry.Key, core::TimePoint::max());
  }
  if (isRemoved(Entry, *Read, Now))
    return;
  ServerEntry &Known = Servers[Entry.Key];
  // The first watch after a list reports changes that the list contained.
  if (Entry.Changed < Known.Changed)
    return;
  Known.Changed = Entry.Changed;
  Known.RemoveAt = core::TimePoint::max();
  // A store that comes back from a copy has an older report of the same process
  // until the server writes again.
  if (Read->Sequence != 0 && Read->Server.Incarnation != 0 &&
      Read->Server.Incarnation == Known.Registered.Server.Incarnation &&
      Read->Sequence < Known.Registered.Sequence) {
    core::LogLine(core::LogLevel::Info, "server.older_report")
        .field("server", Read->Server.Id)
        .field("sequence", Read->Sequence)
        .field("known", Known.Registered.Sequence);
    return;
  }
  const core::TimePoint ColdBefore = Known.Registered.Server.ColdUntil;
  // A further cold start may be as long as the one before, and a list lacks the
  // reports in between.
  const bool ColdAgain = Read->ColdMs != 0 && ColdBefore <= Now &&
                         Read->Sequence != Known.Registered.Sequence;
  // Every report of the server process has another sequence, which alone is no
  // change.
  Known.Registered.Sequence = Read->Sequence;
  Read->Server.ColdUntil = ColdBefore;
  if (Known.Registered == *Read && !ColdAgain)
    return;
  // A cold server counts down in its reports, which is no change to log.
  core::RegisteredServer Counted = *Read;
  Counted.ColdMs = Known.Registered.ColdMs;
  Read->Server.ColdUntil = internal::coldUntil(Known.Registered, *Read, Now);
  const bool BecomesCold = ColdBefore <= Now && Read->Server.ColdUntil > Now;
  const bool Logged =
      LogsServers && (BecomesCold || Counted != Known.Registered);
  Known.Registered = std::move(*Read);
  if (Logged)
    internal::logServerChange(
        internal::stateName(Known.Registered.Server.State), Known.Registered,
        Entry.Changed);
}

void Directory::applyVm(const core::StoredEntry &Entry, core::TimePoint Now) {
  if (!Entry.Value)
    return removeVm(Entry.Key, Now, Entry.Changed);
  const auto Known = Vms.find(Entry.Key);
  if (Known != Vms.end() && Entry.Changed < Known->second.Changed)
    return;
  core::Findings Report(Entry.Key);
  if (auto Read = Codec.decodeVm(Entry.Key, *Entry.Value, Report))
    Vms.insert_or_assign(Entry.Key, VmEntry{.Registered = std::move(*Read),
                                            .Changed = Entry.Changed});
  else
    internal::logInvalid(Entry.Key, Report);
}

} // namespace jujubecart::store
