#ifndef JUJUBECART_PEERS_CONFIG_SYNC_HPP
#define JUJUBECART_PEERS_CONFIG_SYNC_HPP

#include <jujubecart/core/config_table.hpp>
#include <jujubecart/peers/link_table.hpp>
#include <jujubecart/peers/member_table.hpp>

#include <unordered_map>

namespace jujubecart::peers {

/// @brief Spreads the newest configuration between entry VMs.
class ConfigSync : public LinkListener {
public:
  /// @brief What it works with; everything must outlive it.
  struct Environment {
    LinkTable &Links;
    MemberTable &Members;
    core::ConfigTable &Config;
    const core::Clock &Time;
    core::EventSink &Events;
  };

  ConfigSync(const boost::asio::any_io_executor &Executor,
             const Environment &Surroundings);
  ConfigSync(const ConfigSync &) = delete;
  ConfigSync &operator=(const ConfigSync &) = delete;

  /// @brief Asks peers until one has supplied a configuration.
  /// @return Whether there is a configuration now.
  [[nodiscard]] core::Awaitable<bool> askPeers(core::TimePoint Deadline);

  /// @brief Learns a peer's revision; pulls or pushes the difference.
  void observe(const LinkPtr &Source, core::Revision Remote);

  void onOpen(const LinkPtr &Source) override;
  void onFrame(const LinkPtr &Source, const Frame &Item) override;
  void onClose(const LinkPtr &Source) override;

private:
  struct Peer {
    core::Revision Known = 0;
    core::Revision Asked = 0;
    core::TimePoint AskedAt;
  };

  void push(const core::ConfigSource::Snapshot &Snapshot);
  void sendDelta(const LinkPtr &To, const core::ConfigSnapshot &Snapshot,
                 core::Revision Since);
  void onDelta(const LinkPtr &Source, const ConfigDelta &Item);

  const boost::asio::any_io_executor Executor;
  const Environment Env;
  std::mutex Mutex;
  std::unordered_map<std::uint64_t, Peer> Peers;
  core::Revision Previous = 0;
  std::uint64_t Random;
};

} // namespace jujubecart::peers

#endif
