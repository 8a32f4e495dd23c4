#include <jujubecart/peers/group_directory.hpp>

#include <jujubecart/core/hash.hpp>

#include <utility>

namespace jujubecart::peers {

namespace internal {

GroupPtr makeEntry(decision::DispatchGroup Group,
                   const decision::DispatcherOptions &Options,
                   core::Revision Changed) {
  auto Entry = std::make_shared<GroupEntry>();
  Entry->Hash = core::hash64(Group.Name);
  Entry->Options = Options;
  Entry->Changed = Changed;
  for (std::size_t At = 0; At < Group.Servers.size(); ++At) {
    Entry->Capacity += Group.Servers[At].Slots;
    Entry->ServerIndex.emplace(core::hash64(Group.Servers[At].Id), At);
  }
  Entry->Group = std::move(Group);
  return Entry;
}

} // namespace internal

const core::BackendServer *GroupEntry::server(std::uint64_t Id) const noexcept {
  const auto Found = ServerIndex.find(Id);
  return Found == ServerIndex.end() ? nullptr : &Group.Servers[Found->second];
}

GroupPtr GroupIndex::find(std::uint64_t Hash) const {
  const auto Found = ByHash.find(Hash);
  return Found == ByHash.end() ? nullptr : Found->second;
}

GroupDirectory::GroupDirectory(core::ConfigSource &Config,
                               decision::DispatcherOptions Common)
    : Common(std::move(Common)), Current(std::make_shared<GroupIndex>()) {
  Config.subscribe([this](const auto &Snapshot) { rebuild(Snapshot); });
  rebuild(Config.current());
}

GroupDirectory::Index GroupDirectory::current() const {
  const std::lock_guard Lock(Mutex);
  return Current;
}

void GroupDirectory::subscribe(std::function<void(const Index &)> Listener) {
  const std::lock_guard Lock(Mutex);
  Listeners.push_back(std::move(Listener));
}

void GroupDirectory::rebuild(const core::ConfigSource::Snapshot &Snapshot) {
  auto NewIndex = std::make_shared<GroupIndex>();
  NewIndex->Revision = Snapshot->revision();
  for (const auto &[Name, Entry] : Snapshot->entries()) {
    if (!Entry->Service)
      continue;
    auto Options = decision::dispatcherOptions(*Entry->Service, Common.Seed);
    Options.Zone = Common.Zone;
    Options.ZonePricePerGb = Common.ZonePricePerGb;
    for (decision::DispatchGroup &Group :
         decision::dispatchGroups(*Entry->Service)) {
      const GroupPtr Item =
          internal::makeEntry(std::move(Group), Options, Entry->Changed);
      NewIndex->ByHash.emplace(Item->Hash, Item);
      NewIndex->ByService[Name].push_back(Item);
    }
  }
  std::vector<std::function<void(const Index &)>> ToNotify;
  {
    const std::lock_guard Lock(Mutex);
    // The constructor's call may run concurrently with that of a newer
    // snapshot; the newer one stays.
    if (NewIndex->Revision < Current->Revision)
      return;
    Current = NewIndex;
    ToNotify = Listeners;
  }
  for (const auto &Listener : ToNotify)
    Listener(NewIndex);
}

} // namespace jujubecart::peers
