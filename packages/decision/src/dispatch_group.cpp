#include <jujubecart/decision/dispatch_group.hpp>
#include <jujubecart/decision/dispatcher_options.hpp>

#include <jujubecart/core/hash.hpp>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <map>
#include <numeric>

namespace jujubecart::decision {

namespace {

std::string regionOf(const core::ServiceConfig &Service,
                     const std::string &Zone) {
  const auto Found = Service.Zones.find(Zone);
  return Found == Service.Zones.end() ? Zone : Found->second;
}

constexpr std::size_t groupsNeeded(std::size_t Servers) noexcept {
  return (Servers + MaxGroupServers - 1) / MaxGroupServers;
}

std::size_t groupCount(const core::ServiceConfig &Service) {
  std::map<std::string, std::size_t> Servers;
  for (const core::BackendServer &Server : Service.Servers)
    ++Servers[regionOf(Service, Server.Zone)];
  return std::accumulate(Servers.begin(), Servers.end(), std::size_t{0},
                         [](std::size_t Sum, const auto &Item) {
                           return Sum + groupsNeeded(Item.second);
                         });
}

// Creates the groups of one region, without servers.
std::vector<DispatchGroup> emptyGroups(const std::string &Service,
                                       const std::string &Region,
                                       std::size_t Servers) {
  std::vector<DispatchGroup> Groups;
  const std::string Prefix = Service + '/' + Region + '/';
  for (std::size_t Index = 0; Index < groupsNeeded(Servers); ++Index)
    Groups.push_back({.Name = std::string(Prefix).append(std::to_string(Index)),
                      .Service = Service,
                      .Region = Region,
                      .Servers = {}});
  return Groups;
}

// Rendezvous hashing keeps a server in its group when other servers join or
// leave. If its first choice is full, the server goes to the next group in its
// order of hashes.
DispatchGroup &chooseGroup(const core::BackendServer &Server,
                           std::vector<DispatchGroup> &Groups) {
  DispatchGroup *Best = nullptr;
  std::uint64_t BestHash = 0;
  for (DispatchGroup &Group : Groups) {
    if (Group.Servers.size() >= MaxGroupServers)
      continue;
    const std::uint64_t Hash =
        core::hash64(Server.Id, core::hash64(Group.Name));
    if (Best != nullptr && Hash <= BestHash)
      continue;
    Best = &Group;
    BestHash = Hash;
  }
  assert(Best != nullptr && "the groups have room for all servers");
  return *Best;
}

} // namespace

std::vector<DispatchGroup> dispatchGroups(const core::ServiceConfig &Service) {
  std::map<std::string, std::vector<core::BackendServer>> ServersByRegion;
  for (const core::BackendServer &Server : Service.Servers)
    ServersByRegion[regionOf(Service, Server.Zone)].push_back(Server);

  std::vector<DispatchGroup> Groups;
  for (auto &[Region, Servers] : ServersByRegion) {
    std::sort(Servers.begin(), Servers.end());
    std::vector<DispatchGroup> RegionGroups =
        emptyGroups(Service.Name, Region, Servers.size());
    for (core::BackendServer &Server : Servers)
      chooseGroup(Server, RegionGroups).Servers.push_back(std::move(Server));
    std::move(RegionGroups.begin(), RegionGroups.end(),
              std::back_inserter(Groups));
  }
  return Groups;
}

DispatcherOptions dispatcherOptions(const core::ServiceConfig &Service,
                                    std::uint64_t Seed) {
  const std::size_t Groups = std::max<std::size_t>(1, groupCount(Service));
  DispatcherOptions Options;
  Options.ProbesPerS = static_cast<std::uint32_t>(Service.ProbesPerS / Groups);
  Options.Profile = Service.Profile;
  Options.Seed = Seed;
  return Options;
}

} // namespace jujubecart::decision
