#include <jujubecart/store/directory.hpp>

#include <algorithm>

namespace jujubecart::store {

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
