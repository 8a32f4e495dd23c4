#include <jujubecart/decision/dispatch_group.hpp>
#include <jujubecart/decision/dispatcher_options.hpp>

#include <algorithm>
#include <map>

namespace jujubecart::decision {

namespace {

std::string regionOf(const core::ServiceConfig &Service,
                     const std::string &Zone) {
  const auto Found = Service.Zones.find(Zone);
  return Found == Service.Zones.end() ? Zone : Found->second;
}

} // namespace

std::vector<DispatchGroup> dispatchGroups(const core::ServiceConfig &Service) {
  std::map<std::string, std::vector<core::BackendServer>> Regions;
  for (const core::BackendServer &Server : Service.Servers)
    Regions[regionOf(Service, Server.Zone)].push_back(Server);

  std::vector<DispatchGroup> Groups;
  for (auto &[Region, Servers] : Regions) {
    std::sort(Servers.begin(), Servers.end());
    const std::size_t First = Groups.size();
    for (std::size_t Start = 0; Start < Servers.size();
         Start += MaxGroupServers)
      Groups.push_back({.Name = Service.Name + '/' + Region + '/' +
                                std::to_string(Groups.size() - First),
                        .Service = Service.Name,
                        .Region = Region,
                        .Servers = {}});
    // Round robin keeps the groups of a region equally large.
    std::size_t Next = First;
    for (const core::BackendServer &Server : Servers) {
      Groups[Next].Servers.push_back(Server);
      if (++Next == Groups.size())
        Next = First;
    }
  }
  return Groups;
}

DispatcherOptions dispatcherOptions(const core::ServiceConfig &Service,
                                    std::uint64_t Seed) {
  const std::size_t Groups =
      std::max<std::size_t>(1, dispatchGroups(Service).size());
  DispatcherOptions Options;
  Options.MeasurePerS =
      static_cast<std::uint32_t>(Service.MeasurePerS / Groups);
  Options.Profile = Service.Profile;
  Options.Seed = Seed;
  return Options;
}

} // namespace jujubecart::decision
