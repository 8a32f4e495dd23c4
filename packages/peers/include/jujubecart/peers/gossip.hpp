#ifndef JUJUBECART_PEERS_GOSSIP_HPP
#define JUJUBECART_PEERS_GOSSIP_HPP

#include <jujubecart/peers/config_sync.hpp>

namespace jujubecart::peers {

/// @brief Periodic push-pull gossip with random peers: synchronizes the member
/// tables and announces configuration revisions.
class Gossip : public LinkListener {
public:
  /// @brief Stores the references; all objects must outlive the Gossip.
  Gossip(const boost::asio::any_io_executor &Executor, LinkTable &Links,
         MemberTable &Members, core::ConfigSource &Config, ConfigSync &Sync);
  Gossip(const Gossip &) = delete;
  Gossip &operator=(const Gossip &) = delete;

  /// @brief Starts the periodic gossip rounds.
  void start();

  /// @brief Ends the rounds; safe from any thread.
  void stop();

  /// @brief Sends a digest on every open link without waiting for the next
  /// round, so that a change of this VM's entry spreads at once.
  void announce();

  void onOpen(const LinkPtr &Source) override;
  void onFrame(const LinkPtr &Source, const Frame &Item) override;

private:
  /// @brief Uptime to state in a message, in milliseconds; 0 if this VM states
  /// none, see PeerOptions::StatedClock.
  [[nodiscard]] std::uint64_t sentAtMs() const noexcept;
  core::Awaitable<void> roundLoop();
  void runRound();
  void sendDigest(const LinkPtr &To, bool Reply,
                  std::vector<MemberEntry> Differing);

  LinkTable &Links;
  MemberTable &Members;
  core::ConfigSource &Config;
  ConfigSync &Sync;
  boost::asio::steady_timer Timer;
  std::atomic<bool> Stopped{false};
  std::uint64_t RandomState;
};

} // namespace jujubecart::peers

#endif
