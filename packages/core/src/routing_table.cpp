#include <jujubecart/core/routing_table.hpp>

#include <jujubecart/core/hash.hpp>

#include <algorithm>
#include <numeric>

namespace jujubecart::core {

const std::string &Route::service(std::uint64_t Draw) const noexcept {
  const std::uint64_t Total =
      std::accumulate(Services.begin(), Services.end(), std::uint64_t{0},
                      [](std::uint64_t Sum, const WeightedService &Part) {
                        return Sum + Part.Weight;
                      });
  std::uint64_t Offset = Total == 0 ? 0 : Draw % Total;
  for (const WeightedService &Part : Services) {
    if (Offset < Part.Weight)
      return Part.Service;
    Offset -= Part.Weight;
  }
  return Services.front().Service;
}

RoutingTable::RoutingTable(std::uint64_t Version, std::vector<Route> RouteList,
                           CallerLimits Limits, WorkspaceTable Workspaces)
    : Version(Version), Routes(std::move(RouteList)), Limits(Limits),
      Workspaces(std::move(Workspaces)) {
  for (std::size_t Index = 0; Index < Routes.size(); ++Index)
    ByHost[Routes[Index].Host].push_back(Index);
  for (auto &[Host, Indices] : ByHost)
    std::stable_sort(Indices.begin(), Indices.end(),
                     [this](std::size_t Left, std::size_t Right) {
                       return Routes[Left].PathPrefix.size() >
                              Routes[Right].PathPrefix.size();
                     });
}

const Route *RoutingTable::find(std::string_view Host,
                                std::string_view Path) const noexcept {
  const auto Found = ByHost.find(Host);
  if (Found == ByHost.end())
    return nullptr;
  const auto Match = std::find_if(
      Found->second.begin(), Found->second.end(), [&](std::size_t Index) {
        return Path.substr(0, Routes[Index].PathPrefix.size()) ==
               Routes[Index].PathPrefix;
      });
  return Match == Found->second.end() ? nullptr : &Routes[*Match];
}

} // namespace jujubecart::core
