#ifndef JUJUBECART_PEERS_CONFIG_SYNC_HPP
#define JUJUBECART_PEERS_CONFIG_SYNC_HPP

#include <jujubecart/core/config_table.hpp>
#include <jujubecart/peers/link_table.hpp>
#include <jujubecart/peers/member_table.hpp>

#include <unordered_map>

namespace jujubecart::peers {

/// @brief Replicates the newest configuration between entry VMs over their
/// links, as deltas between two revisions. Thread-safe.
class ConfigSync : public LinkListener {
public:
  /// @brief Objects that the synchronization uses; each must outlive it.
  struct Environment {
    LinkTable &Links;
    MemberTable &Members;
    core::ConfigTable &Config;
    const core::Clock &Time;
    core::EventSink &Events;
  };

  ConfigSync(const boost::asio::any_io_executor &Executor,
             const Environment &Dependencies);
  ConfigSync(const ConfigSync &) = delete;
  ConfigSync &operator=(const ConfigSync &) = delete;

  /// @brief Requests the configuration from peers until one has been applied
  /// or the deadline has passed; used at startup.
  /// @return Whether a configuration is in force.
  [[nodiscard]] core::Awaitable<bool>
  requestFromPeers(core::TimePoint Deadline);

  /// @brief Compares a peer's revision with the local one and requests or
  /// sends the delta, whichever side is behind.
  void onPeerRevision(const LinkPtr &Source, core::Revision PeerRevision);

  void onOpen(const LinkPtr &Source) override;
  void onFrame(const LinkPtr &Source, const Frame &Item) override;
  void onClose(const LinkPtr &Source) override;

private:
  /// State of one link.
  struct Peer {
    /// Latest revision that the peer is known to have or was sent.
    core::Revision KnownRevision = 0;
    /// Peer revision that the last request aimed at.
    core::Revision RequestedRevision = 0;
    core::TimePoint RequestedAt;
  };

  void pushToPeers(const core::ConfigSource::Snapshot &Snapshot);
  void sendDelta(const LinkPtr &To, const core::ConfigSnapshot &Snapshot,
                 core::Revision Since);
  void onDelta(const LinkPtr &Source, const ConfigDelta &Item);

  const boost::asio::any_io_executor Executor;
  const Environment Env;
  std::mutex Mutex;
  /// By link number.
  std::unordered_map<std::uint64_t, Peer> Peers;
  /// Revision in force before the current one.
  core::Revision PreviousRevision = 0;
  /// State of the random number generator that selects peers.
  std::uint64_t Random;
};

} // namespace jujubecart::peers

#endif
