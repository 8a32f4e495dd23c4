#include <jujubecart/core/config_snapshot.hpp>

#include <algorithm>

namespace jujubecart::core {

namespace internal {

// Compares whole path segments: "/tags" matches "/tags", "/tags/1" and
// "/tags?x=1", but not "/tagsale".
bool matchesPrefix(std::string_view Path, std::string_view Prefix) noexcept {
  if (Path.substr(0, Prefix.size()) != Prefix)
    return false;
  return Prefix.back() == '/' || Path.size() == Prefix.size() ||
         Path[Prefix.size()] == '/' || Path[Prefix.size()] == '?';
}

} // namespace internal

ConfigSnapshot::ConfigSnapshot(Revision SnapshotRevision, ServiceMap Entries,
                               std::shared_ptr<const RoutingTable> Routing)
    : SnapshotRevision(SnapshotRevision), Entries(std::move(Entries)),
      Routing(std::move(Routing)) {}

const ServiceConfig *
ConfigSnapshot::find(std::string_view Name) const noexcept {
  const auto Found = Entries.find(Name);
  if (Found == Entries.end() || !Found->second->Service)
    return nullptr;
  return &*Found->second->Service;
}

const ServiceConfig *
ConfigSnapshot::route(std::string_view Host,
                      std::string_view Path) const noexcept {
  const ServiceConfig *Best = nullptr;
  std::pair<std::size_t, std::size_t> BestScore{0, 0};
  for (const auto &[Name, Entry] : Entries) {
    if (!Entry->Service)
      continue;
    for (const RouteRule &Rule : Entry->Service->Rules) {
      if (!Rule.Host.empty() && Rule.Host != Host)
        continue;
      if (!internal::matchesPrefix(Path, Rule.PathPrefix))
        continue;
      const std::pair Score{Rule.PathPrefix.size(), Rule.Host.size()};
      if (Best == nullptr || Score > BestScore) {
        Best = &*Entry->Service;
        BestScore = Score;
      }
    }
  }
  return Best;
}

ConfigSnapshot::ServiceMap ConfigSnapshot::changedSince(Revision Since) const {
  ServiceMap Changed;
  for (const auto &[Name, Entry] : Entries)
    if (Entry->Changed > Since)
      Changed.emplace(Name, Entry);
  return Changed;
}

bool operator==(const ConfigSnapshot &Left,
                const ConfigSnapshot &Right) noexcept {
  const bool SameRouting =
      Left.Routing == Right.Routing ||
      (Left.Routing && Right.Routing && *Left.Routing == *Right.Routing);
  return Left.SnapshotRevision == Right.SnapshotRevision && SameRouting &&
         std::equal(Left.Entries.begin(), Left.Entries.end(),
                    Right.Entries.begin(), Right.Entries.end(),
                    [](const auto &LeftEntry, const auto &RightEntry) {
                      return LeftEntry.first == RightEntry.first &&
                             *LeftEntry.second == *RightEntry.second;
                    });
}

} // namespace jujubecart::core
