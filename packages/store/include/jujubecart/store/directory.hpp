#ifndef JUJUBECART_STORE_DIRECTORY_HPP
#define JUJUBECART_STORE_DIRECTORY_HPP

#include <jujubecart/core/config_snapshot.hpp>
#include <jujubecart/core/directory_codec.hpp>
#include <jujubecart/core/entry_store.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jujubecart::store {

/// @brief In-memory copy of the routes, backend servers and entry VMs that are
/// registered in a store. Does no I/O.
class Directory {
public:
  /// Region of each availability zone, by zone name.
  using Zones = std::map<std::string, std::string>;

  /// @brief Creates an empty directory.
  /// @param Codec Must outlive the directory.
  /// @param ZoneRegions Region of each availability zone.
  /// @param ReregistrationTime Time after the store came back from a copy for
  /// which servers and VMs that are missing from it are kept.
  Directory(
      const core::DirectoryCodec &Codec, Zones ZoneRegions,
      std::chrono::milliseconds ReregistrationTime = std::chrono::seconds(2));

  /// @brief Replaces all servers and entry VMs by a complete list. The routes
  /// are kept unless the list has a newer version of them.
  /// @return False if the list is older than asOf() and was ignored.
  bool replace(const core::EntryList &All, core::TimePoint Now);

  /// @brief Changes that lead from the known entries to those of a complete
  /// list, up to its AsOf and in order of their revisions.
  /// @param All Later than the known entries; if it is not, the result is
  /// empty.
  [[nodiscard]] core::EntryChanges changesTo(const core::EntryList &All) const;

  /// @brief Applies changes in order and skips those that are already known.
  void apply(const core::EntryList &Changes, core::TimePoint Now);

  /// @brief The same for changes that another VM reported and that may be
  /// derived from a list. Must follow the known entries without a gap.
  void apply(const core::EntryChanges &Changes, core::TimePoint Now);

  /// @brief Keeps active servers whose entry is deleted before an instant until
  /// that instant, because a store that had an outage may have dropped entries
  /// of live servers.
  void deferDeletions(core::TimePoint Until) { DeletionsDeferredUntil = Until; }

  /// @brief Removes the servers whose deleted entry was not written again in
  /// time.
  /// @return Whether any server was removed.
  bool removeExpired(core::TimePoint Now);

  /// @brief Next time at which removeExpired() removes a server, or max.
  [[nodiscard]] core::TimePoint nextRemoval() const noexcept;

  /// @brief Store revision up to which all changes were applied.
  [[nodiscard]] core::Revision asOf() const noexcept { return AsOf; }

  /// @brief Whether a valid routing configuration was read.
  [[nodiscard]] bool hasRouting() const noexcept {
    return Config.Routing != nullptr;
  }

  /// @brief Builds a configuration snapshot with a higher revision than the
  /// previous one.
  /// @param Previous Snapshot whose unchanged service entries are shared.
  [[nodiscard]] std::shared_ptr<const core::ConfigSnapshot>
  buildSnapshot(const core::ConfigSnapshot &Previous) const;

  /// @brief Returns the registered entry VMs in the order of their store keys.
  [[nodiscard]] std::vector<core::Member> vms() const;

  /// @brief Store entries of registered VMs, without those of unknown ids.
  [[nodiscard]] std::vector<core::EntryVersion>
  vmEntries(const std::vector<std::string> &Ids) const;

  /// @brief Whether an entry VM is registered with the given properties; its
  /// other properties are ignored.
  [[nodiscard]] bool isRegistered(const core::Member &Vm) const;

  /// @brief Number of evacuated availability zones.
  [[nodiscard]] std::size_t evacuatedZones() const noexcept {
    return Evacuations.size();
  }

  /// @brief Names of the evacuated availability zones.
  [[nodiscard]] std::vector<std::string> evacuatedZoneNames() const;

private:
  struct ServerEntry {
    core::RegisteredServer Registered;
    core::Revision Changed = 0;
    /// When a server whose entry was deleted is removed; max if it has an
    /// entry.
    core::TimePoint RemoveAt = core::TimePoint::max();
  };

  void apply(const core::StoredEntry &Entry, core::TimePoint Now);
  void applyRouting(const core::StoredEntry &Entry);
  void applyServer(const core::StoredEntry &Entry, core::TimePoint Now);
  /// @brief Notes that the store came back from a copy since the last change.
  /// @return Whether the reported revision is of a later era.
  bool beginEra(core::Revision Reported, core::TimePoint Now);
  /// @brief Removes all entries that were last changed in an earlier era.
  void removeOlderEras(core::TimePoint Now);
  void applyVm(const core::StoredEntry &Entry, core::TimePoint Now);
  void removeVm(const std::string &Key, core::TimePoint Now,
                core::Revision Changed);
  void applyEvacuation(const core::StoredEntry &Entry, core::TimePoint Now);
  void endEvacuation(const std::string &Key, core::TimePoint Now,
                     core::Revision Changed);
  /// @brief Whether an entry is kept for now although it was deleted.
  /// @param Known Revision of its last change.
  /// @param Deleted Revision of its deletion.
  [[nodiscard]] bool isDeferred(core::Revision Known, core::Revision Deleted,
                                core::TimePoint Now) const noexcept;
  /// @brief Logs that a zone was evacuated or taken back.
  void logZone(const char *Event, const std::string &Zone,
               core::Revision Changed) const;
  [[nodiscard]] bool isEvacuated(std::string_view Zone) const;
  void removeServer(const std::string &Key, core::TimePoint Now);
  /// @brief Removes entries that a list lacked which was read by another VM.
  void removeUnlisted(const core::EntryChanges &Changes, core::TimePoint Now);
  void rememberRemoved(const std::string &Key, const ServerEntry &Entry,
                       core::TimePoint Now);
  /// @brief Whether an entry is an old report of a server that was removed
  /// before the store came back from a copy.
  [[nodiscard]] bool isRemoved(const core::StoredEntry &Entry,
                               const core::RegisteredServer &Read,
                               core::TimePoint Now) const;
  [[nodiscard]] std::map<std::string, core::ServiceConfig>
  buildServices() const;

  const core::DirectoryCodec &Codec;
  const Zones ZoneRegions;
  const std::chrono::milliseconds ReregistrationTime;
  core::Revision AsOf = 0;
  /// Whether changes of servers are logged.
  bool LogsServers = true;
  /// Deletions of active servers before this instant are deferred until then.
  core::TimePoint DeletionsDeferredUntil = core::TimePoint::min();
  /// Evacuations that a restored store lacks are kept until this instant.
  core::TimePoint EvacuationsKeptUntil = core::TimePoint::min();
  core::RoutingConfig Config;
  /// By store key.
  std::map<std::string, ServerEntry> Servers;
  struct RemovedServer {
    std::uint64_t Incarnation = 0;
    std::uint64_t Sequence = 0;
    /// Store revision of the removal or later.
    core::Revision Changed = 0;
    /// When it is forgotten.
    core::TimePoint Until;
  };
  /// By store key.
  std::map<std::string, RemovedServer, std::less<>> RemovedServers;
  struct VmEntry {
    core::Member Registered;
    core::Revision Changed = 0;
    /// As in ServerEntry.
    core::TimePoint RemoveAt = core::TimePoint::max();
  };
  /// By store key.
  std::map<std::string, VmEntry> Vms;
  struct EvacuationEntry {
    std::string Zone;
    core::Revision Changed = 0;
    /// As in ServerEntry.
    core::TimePoint RemoveAt = core::TimePoint::max();
  };
  /// By store key.
  std::map<std::string, EvacuationEntry> Evacuations;
};

} // namespace jujubecart::store

#endif
