#ifndef JUJUBECART_TESTS_PEERS_FLEET_HPP
#define JUJUBECART_TESTS_PEERS_FLEET_HPP

#include "loop.hpp"
#include <jujubecart/core/config_table.hpp>
#include <jujubecart/peers/gossip.hpp>
#include <jujubecart/peers/remote_broker.hpp>
#include <memory>
#include <string>
#include <vector>

namespace jujubecart::peers::test {

/// @brief Options of VM number At: plain TCP, a port chosen by the system and
/// shorter gossip and failure times than the defaults.
inline PeerOptions fleetOptions(std::size_t At) {
  PeerOptions Options;
  Options.PlainTcp = true;
  Options.Self = {.Id = "vm-" + std::to_string(At),
                  .Address = "127.0.0.1:0",
                  .Zone = "z1",
                  .Region = "r1",
                  .Incarnation = 1};
  Options.RandomSeed = At + 1;
  Options.GossipInterval = std::chrono::milliseconds(100);
  Options.SuspectAfter = std::chrono::milliseconds(1000);
  Options.RemoveAfter = std::chrono::milliseconds(4000);
  return Options;
}

/// @brief One VM with links, gossip and configuration exchange, without
/// dispatch. Counts configuration revisions that did not increase.
class ControlNode {
public:
  ControlNode(IoThreads &Context, const PeerOptions &Options)
      : Links(std::make_shared<LinkTable>(Context.executor(), Options, Clock,
                                          Events, nullptr)),
        Members(Options, Clock, Events),
        Sync(Context.executor(), {*Links, Members, Config, Clock, Events}),
        Gossiper(Context.executor(), *Links, Members, Config, Sync) {
    Config.subscribe([this](const auto &Snapshot) {
      if (Snapshot->revision() <= HighestRevision)
        ++RevisionRegressions;
      HighestRevision = Snapshot->revision();
    });
    Links->subscribe(Gossiper);
    Links->subscribe(Sync);
    Links->setHello([this] {
      const core::Member Self = Members.self();
      return Hello{.Sender = Self.Id,
                   .Incarnation = Self.Incarnation,
                   .Address = Self.Address,
                   .Zone = Self.Zone,
                   .Region = Self.Region,
                   .Revision = Config.current()->revision(),
                   .Leaving = Self.State == core::MemberState::Leaving,
                   .SentAtMs =
                       static_cast<std::uint64_t>(Clock.uptime().count())};
    });
    Members.setAddress(Links->listen().value());
  }
  ~ControlNode() { stop(); }

  void start() { Gossiper.start(); }
  void stop() {
    Gossiper.stop();
    Links->stop();
  }

  /// @brief Entry of a VM in this node's member table, if there is one.
  [[nodiscard]] std::optional<core::Member>
  member(const std::string &Vm) const {
    for (const core::Member &Item : Members.members())
      if (Item.Id == Vm)
        return Item;
    return std::nullopt;
  }
  /// @brief Number of live members, this node included.
  [[nodiscard]] std::size_t live() const {
    std::size_t Count = 0;
    for (const core::Member &Item : Members.members())
      Count += Item.State == core::MemberState::Live ? 1 : 0;
    return Count;
  }

  core::SystemClock Clock;
  EventRecorder Events;
  core::ConfigTable Config;
  std::shared_ptr<LinkTable> Links;
  MemberTable Members;
  ConfigSync Sync;
  Gossip Gossiper;
  core::Revision HighestRevision = 0;
  std::atomic<int> RevisionRegressions{0};
};

/// @brief A configuration with one service, "tags", whose servers form one
/// group.
inline core::ConfigSource::Snapshot
snapshot(core::Revision Revision, std::size_t Servers = 4,
         core::ServiceKind Kind = core::ServiceKind::Lookup,
         core::PolicyProfile Profile = core::ServiceConfig{}.Profile) {
  core::ServiceConfig Service;
  Service.Name = "tags";
  Service.Kind = Kind;
  Service.Profile = Profile;
  Service.Rules = {{.Host = "", .PathPrefix = "/"}};
  Service.Zones = {{"z1", "r1"}};
  for (std::size_t At = 0; At < Servers; ++At)
    Service.Servers.push_back(
        {.Id = "server-" + std::to_string(At),
         .Address = "127.0.0.1:" + std::to_string(9000 + At),
         .Zone = "z1",
         .Slots = 2});
  auto Entry = std::make_shared<core::ServiceEntry>();
  Entry->Changed = Revision;
  Entry->Service = Service;
  return std::make_shared<core::ConfigSnapshot>(
      Revision, core::ConfigSnapshot::ServiceMap{{"tags", Entry}});
}

} // namespace jujubecart::peers::test

#endif
