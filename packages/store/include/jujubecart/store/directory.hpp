#ifndef JUJUBECART_STORE_DIRECTORY_HPP
#define JUJUBECART_STORE_DIRECTORY_HPP

#include <jujubecart/core/config_snapshot.hpp>
#include <jujubecart/core/directory_codec.hpp>
#include <jujubecart/core/entry_store.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jujubecart::store {

/// @brief Backend servers, routes and entry VMs as read from a store; no I/O.
class Directory {
public:
  using Zones = std::map<std::string, std::string>;

  /// @brief Creates an empty directory.
  /// @param Codec Must outlive the directory.
  /// @param ZoneRegions Region of each availability zone.
  Directory(const core::DirectoryCodec &Codec, Zones ZoneRegions);

  /// @brief Replaces everything by a complete list.
  void replace(const core::EntryList &All, core::TimePoint Now);

  /// @brief Applies changes in order.
  void apply(const core::EntryList &Changes, core::TimePoint Now);

  /// @brief Keeps servers whose entry disappears until an instant, because a
  /// store that was away may have dropped entries of live servers.
  void distrustDeletions(core::TimePoint Until) { TrustFrom = Until; }

  /// @brief Drops the servers whose entry did not come back in time.
  /// @return Whether any was dropped.
  bool expire(core::TimePoint Now);

  /// @brief When expire has something to do, or max.
  [[nodiscard]] core::TimePoint nextExpiry() const noexcept;

  /// @brief Revision up to which everything is known.
  [[nodiscard]] core::Revision asOf() const noexcept { return AsOf; }

  /// @brief Whether routes are known.
  [[nodiscard]] bool configured() const noexcept {
    return Config.Routing != nullptr;
  }

  /// @brief Builds the configuration.
  /// @param Previous Snapshot whose unchanged services are shared.
  [[nodiscard]] std::shared_ptr<const core::ConfigSnapshot>
  snapshot(const core::ConfigSnapshot &Previous) const;

  /// @brief Registered entry VMs in order of their id.
  [[nodiscard]] std::vector<core::Member> vms() const;

  /// @brief Whether an entry VM is registered as given.
  [[nodiscard]] bool registered(const core::Member &Vm) const;

private:
  struct ServerEntry {
    core::RegisteredServer Registered;
    core::Revision Changed = 0;
    /// When a server whose entry disappeared is dropped, or max.
    core::TimePoint DropAt = core::TimePoint::max();
  };

  void apply(const core::StoredEntry &Entry, core::TimePoint Now);
  void applyRouting(const core::StoredEntry &Entry);
  void applyServer(const core::StoredEntry &Entry, core::TimePoint Now);
  void applyVm(const core::StoredEntry &Entry);
  void drop(const std::string &Key, core::TimePoint Now);
  [[nodiscard]] std::map<std::string, core::ServiceConfig> services() const;

  const core::DirectoryCodec &Codec;
  const Zones ZoneRegions;
  core::Revision AsOf = 0;
  core::TimePoint TrustFrom = core::TimePoint::min();
  core::RoutingConfig Config;
  std::map<std::string, ServerEntry> Servers;
  std::map<std::string, core::Member> Vms;
};

} // namespace jujubecart::store

#endif
