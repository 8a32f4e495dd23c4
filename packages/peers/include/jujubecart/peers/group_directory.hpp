#ifndef JUJUBECART_PEERS_GROUP_DIRECTORY_HPP
#define JUJUBECART_PEERS_GROUP_DIRECTORY_HPP

#include <jujubecart/core/config_source.hpp>
#include <jujubecart/decision/dispatch_group.hpp>
#include <jujubecart/decision/dispatcher_options.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jujubecart::peers {

/// @brief One dispatch group with the values derived from it: the hashes used
/// in messages and the total capacity.
struct GroupEntry {
  decision::DispatchGroup Group;
  decision::DispatcherOptions Options;
  /// Hash of the group name; identifies the group in messages.
  std::uint64_t Hash = 0;
  /// Total number of slots of all servers.
  std::uint32_t Capacity = 0;
  /// Configuration revision that last changed the service.
  core::Revision Changed = 0;
  /// Index into Group.Servers by the hash of the server id.
  std::unordered_map<std::uint64_t, std::size_t> ServerIndex;

  /// @brief Finds a server by the hash of its id, or nullptr.
  [[nodiscard]] const core::BackendServer *
  server(std::uint64_t Id) const noexcept;
};

using GroupPtr = std::shared_ptr<const GroupEntry>;

/// @brief Dispatch groups of one configuration revision; immutable.
struct GroupIndex {
  core::Revision Revision = 0;
  std::unordered_map<std::uint64_t, GroupPtr> ByHash;
  std::map<std::string, std::vector<GroupPtr>, std::less<>> ByService;

  /// @brief Finds a group by its hash, or nullptr.
  [[nodiscard]] GroupPtr find(std::uint64_t Hash) const;
};

/// @brief Derives the dispatch groups from the configuration in force.
/// Thread-safe.
class GroupDirectory {
public:
  using Index = std::shared_ptr<const GroupIndex>;

  /// @brief Subscribes to a configuration source.
  /// @param Config Keeps a reference to this directory, which must outlive it.
  /// @param Common Seed, zone and price between zones of all dispatchers.
  GroupDirectory(core::ConfigSource &Config,
                 decision::DispatcherOptions Common);
  GroupDirectory(const GroupDirectory &) = delete;
  GroupDirectory &operator=(const GroupDirectory &) = delete;

  /// @brief Groups of the newest revision seen; never nullptr.
  [[nodiscard]] Index current() const;

  /// @brief Calls a listener after each change.
  /// @param Listener Called without locks held; must outlive the directory.
  void subscribe(std::function<void(const Index &)> Listener);

private:
  void rebuild(const core::ConfigSource::Snapshot &Snapshot);

  const decision::DispatcherOptions Common;
  mutable std::mutex Mutex;
  Index Current;
  std::vector<std::function<void(const Index &)>> Listeners;
};

} // namespace jujubecart::peers

#endif
