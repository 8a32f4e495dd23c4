#ifndef JUJUBECART_PEERS_GOSSIP_HPP
#define JUJUBECART_PEERS_GOSSIP_HPP

#include <jujubecart/peers/config_sync.hpp>

namespace jujubecart::peers {

/// @brief Exchanges member tables and revisions with random peers.
class Gossip : public LinkListener {
public:
  /// @brief Everything must outlive it.
  Gossip(const boost::asio::any_io_executor &Executor, LinkTable &Links,
         MemberTable &Members, core::ConfigSource &Config, ConfigSync &Sync);
  Gossip(const Gossip &) = delete;
  Gossip &operator=(const Gossip &) = delete;

  /// @brief Starts the rounds.
  void start();
  void stop();

  /// @brief Tells all open links at once that this VM's entry changed.
  void announce();

  void onOpen(const LinkPtr &Source) override;
  void onFrame(const LinkPtr &Source, const Frame &Item) override;

private:
  core::Awaitable<void> loop();
  void exchange();
  void sendDigest(const LinkPtr &To, bool Reply,
                  std::vector<MemberEntry> Differing);

  LinkTable &Links;
  MemberTable &Members;
  core::ConfigSource &Config;
  ConfigSync &Sync;
  boost::asio::steady_timer Timer;
  std::atomic<bool> Stopped{false};
  std::uint64_t Random;
};

} // namespace jujubecart::peers

#endif
