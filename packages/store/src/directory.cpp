#include <jujubecart/store/directory.hpp>

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
// How long a removed server is remembered. Copies are seconds old when the
// store comes back.
constexpr std::chrono::seconds RemovedServerMemory{30};
constexpr std::size_t MaxRemovedServers = 4096;

void logInvalid(std::string_view Key, const core::Findings &Report) {
  core::LogLine(core::LogLevel::Warning, "directory.entry_invalid")
      .field("key", Key)
      .field("reason", Report.text());
}

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
  // Every report of the server process has another sequence, which alone is no
  // change.
  Known.Registered.Sequence = Read->Sequence;
  Read->Server.ColdUntil = Known.Registered.Server.ColdUntil;
  if (Known.Registered == *Read)
    return;
  // A cold server counts down in its reports, which is no change to log.
  core::RegisteredServer Counted = *Read;
  Counted.ColdMs = Known.Registered.ColdMs;
  const bool Logged = LogsServers && Counted != Known.Registered;
  Read->Server.ColdUntil = internal::coldUntil(Known.Registered, *Read, Now);
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

std::vector<std::string> Directory::evacuatedZoneNames() const {
  std::vector<std::string> Out;
  Out.reserve(Evacuations.size());
  for (const auto &[Key, Entry] : Evacuations)
    Out.push_back(Entry.Zone);
  return Out;
}

bool Directory::isEvacuated(std::string_view Zone) const {
  return !Zone.empty() && std::any_of(Evacuations.begin(), Evacuations.end(),
                                      [&](const auto &Item) {
                                        return Item.second.Zone == Zone;
                                      });
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

std::map<std::string, core::ServiceConfig> Directory::buildServices() const {
  std::map<std::string, core::ServiceConfig> Result;
  for (const auto &[Name, Settings] : Config.Services) {
    core::ServiceConfig &Service = Result[Name];
    Service.Name = Name;
    Service.Zones = ZoneRegions;
    // Backend servers report their load in responses, so no probes are sent.
    Service.ProbesPerS = 0;
    Service.Profile = core::PolicyProfile::Objective;
  }
  for (const auto &[Key, Entry] : Servers) {
    const auto Found = Result.find(Entry.Registered.Service);
    if (Found == Result.end())
      continue;
    core::BackendServer Server = Entry.Registered.Server;
    const core::ServiceSettings &Settings =
        Config.Services.find(Entry.Registered.Service)->second;
    Server.Connections = Settings.Connections;
    Server.HealthPath = Settings.HealthPath;
    Server.ColdLimit = Settings.ColdLimit;
    if (Settings.ColdLimit.MilliPerS == 0)
      Server.ColdUntil = core::TimePoint::min();
    // Whatever holds for a draining server holds for one of these: no attempt
    // and no probe is sent to it, and requests that it runs go on.
    if (isEvacuated(Server.Zone))
      Server.State = core::ServerState::Draining;
    Found->second.Servers.push_back(std::move(Server));
  }
  return Result;
}

std::shared_ptr<const core::ConfigSnapshot>
Directory::buildSnapshot(const core::ConfigSnapshot &Previous) const {
  const core::Revision Number = std::max(AsOf, Previous.revision() + 1);
  core::ConfigSnapshot::ServiceMap Entries;
  for (auto &[Name, Service] : buildServices()) {
    const auto Known = Previous.entries().find(Name);
    if (Known != Previous.entries().end() && Known->second->Service == Service)
      Entries.emplace(Name, Known->second);
    else
      Entries.emplace(
          Name, std::make_shared<core::ServiceEntry>(
                    core::ServiceEntry{.Changed = Number, .Service = Service}));
  }
  return std::make_shared<core::ConfigSnapshot>(Number, std::move(Entries),
                                                Config.Routing);
}

std::vector<core::Member> Directory::vms() const {
  std::vector<core::Member> Result;
  Result.reserve(Vms.size());
  for (const auto &[Key, Vm] : Vms)
    Result.push_back(Vm.Registered);
  return Result;
}

std::vector<core::EntryVersion>
Directory::vmEntries(const std::vector<std::string> &Ids) const {
  std::vector<core::EntryVersion> Result;
  for (const std::string &Id : Ids)
    if (const auto Found = Vms.find(Codec.vmKey(Id)); Found != Vms.end())
      Result.push_back({.Key = Found->first, .Changed = Found->second.Changed});
  return Result;
}

bool Directory::isRegistered(const core::Member &Vm) const {
  const auto Found = Vms.find(Codec.vmKey(Vm.Id));
  // An entry that is missing from a store that came back must be written again.
  if (Found == Vms.end() || Found->second.RemoveAt != core::TimePoint::max())
    return false;
  const core::Member &Known = Found->second.Registered;
  return Known.Address == Vm.Address && Known.Zone == Vm.Zone &&
         Known.Region == Vm.Region && Known.ProcessorMilli == Vm.ProcessorMilli;
}

} // namespace jujubecart::store
