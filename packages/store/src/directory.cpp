#include <jujubecart/store/directory.hpp>

#include <jujubecart/core/log.hpp>

#include <algorithm>
#include <set>

namespace jujubecart::store {

namespace internal {

void logInvalid(std::string_view Key, const core::Findings &Report) {
  core::LogLine(core::LogLevel::Warning, "directory.entry_invalid")
      .field("key", Key)
      .field("reason", Report.text());
}

void logServerChange(const char *State, const core::RegisteredServer &Item,
                     core::Revision Changed) {
  core::LogLine(core::LogLevel::Info, "server.changed")
      .field("server", Item.Server.Id)
      .field("service", Item.Service)
      .field("address", Item.Server.Address)
      .field("state", State)
      .field("revision", Changed);
}

const char *stateName(core::ServerState State) {
  return State == core::ServerState::Active ? "active" : "draining";
}

} // namespace internal

Directory::Directory(const core::DirectoryCodec &Codec, Zones ZoneRegions)
    : Codec(Codec), ZoneRegions(std::move(ZoneRegions)) {}

void Directory::replace(const core::EntryList &All, core::TimePoint Now) {
  std::set<std::string, std::less<>> Present;
  for (const core::StoredEntry &Entry : All.Entries)
    Present.insert(Entry.Key);
  std::vector<std::string> Missing;
  for (const auto &[Key, Entry] : Servers)
    if (!Present.contains(Key))
      Missing.push_back(Key);
  for (const std::string &Key : Missing)
    removeServer(Key, Now);
  std::erase_if(
      Vms, [&](const auto &Item) { return !Present.contains(Item.first); });
  std::vector<std::string> Ended;
  for (const auto &[Key, Entry] : Evacuations)
    if (!Present.contains(Key))
      Ended.push_back(Key);
  for (const std::string &Key : Ended)
    endEvacuation(Key);
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
      if (!Present.contains(Key))
        Changes.push_back({.Key = Key, .Value = {}, .Changed = All.AsOf});
  };
  AddMissing(Servers);
  AddMissing(Vms);
  AddMissing(Evacuations);
  return Result;
}

void Directory::apply(const core::EntryList &Changes, core::TimePoint Now) {
  const core::Revision Known = AsOf;
  for (const core::StoredEntry &Entry : Changes.Entries)
    if (Entry.Changed > Known)
      apply(Entry, Now);
  AsOf = std::max(AsOf, Changes.AsOf);
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
    applyVm(Entry);
    break;
  case core::EntryKind::Evacuation:
    applyEvacuation(Entry);
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
  ServerEntry &Known = Servers[Entry.Key];
  // The first watch after a list reports changes that the list contained.
  if (Entry.Changed < Known.Changed)
    return;
  Known.Changed = Entry.Changed;
  Known.RemoveAt = core::TimePoint::max();
  if (Known.Registered == *Read)
    return;
  Known.Registered = std::move(*Read);
  if (LogsServers)
    internal::logServerChange(
        internal::stateName(Known.Registered.Server.State), Known.Registered,
        Entry.Changed);
}

void Directory::applyVm(const core::StoredEntry &Entry) {
  if (!Entry.Value) {
    Vms.erase(Entry.Key);
    return;
  }
  core::Findings Report(Entry.Key);
  if (auto Read = Codec.decodeVm(Entry.Key, *Entry.Value, Report))
    Vms.insert_or_assign(Entry.Key, VmEntry{.Registered = std::move(*Read),
                                            .Changed = Entry.Changed});
  else
    internal::logInvalid(Entry.Key, Report);
}

// The key alone names the zone, so that an entry with an invalid value counts
// all the same: requests to a zone in trouble cost more than idle servers.
void Directory::applyEvacuation(const core::StoredEntry &Entry) {
  if (!Entry.Value)
    return endEvacuation(Entry.Key);
  const auto [Known, New] = Evacuations.try_emplace(Entry.Key);
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

void Directory::endEvacuation(const std::string &Key) {
  const auto Found = Evacuations.find(Key);
  if (Found == Evacuations.end())
    return;
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

bool Directory::isEvacuated(std::string_view Zone) const {
  return !Zone.empty() && std::any_of(Evacuations.begin(), Evacuations.end(),
                                      [&](const auto &Item) {
                                        return Item.second.Zone == Zone;
                                      });
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
  Servers.erase(Found);
}

bool Directory::removeExpired(core::TimePoint Now) {
  return std::erase_if(Servers, [&](const auto &Item) {
           if (Item.second.RemoveAt > Now)
             return false;
           internal::logServerChange("gone", Item.second.Registered, AsOf);
           return true;
         }) > 0;
}

core::TimePoint Directory::nextRemoval() const noexcept {
  core::TimePoint Next = core::TimePoint::max();
  for (const auto &[Key, Entry] : Servers)
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
  if (Found == Vms.end())
    return false;
  const core::Member &Known = Found->second.Registered;
  return Known.Address == Vm.Address && Known.Zone == Vm.Zone &&
         Known.Region == Vm.Region && Known.ProcessorMilli == Vm.ProcessorMilli;
}

} // namespace jujubecart::store
