#ifndef JUJUBECART_PEERS_PEER_NODE_HPP
#define JUJUBECART_PEERS_PEER_NODE_HPP

#include <jujubecart/peers/gossip.hpp>
#include <jujubecart/peers/remote_broker.hpp>
#include <jujubecart/peers/store_relay.hpp>

namespace jujubecart::peers {

/// @brief Everything that one VM needs to work with the others.
class PeerNode {
public:
  /// @brief What the node works with; everything must outlive it.
  struct Environment {
    const core::Clock &Time;
    core::EventSink &Events;
    core::ConfigTable &Config;
    core::OrderClaims &Claims;
    decision::LocalBroker &Fallback;
    /// May be nullptr: no probes.
    HealthProber *Prober = nullptr;
  };

  /// @brief Creates the parts; the executor must have stopped running before
  /// the node is destroyed.
  PeerNode(const boost::asio::any_io_executor &Executor,
           const PeerOptions &Options, const Environment &Surroundings);
  PeerNode(const PeerNode &) = delete;
  PeerNode &operator=(const PeerNode &) = delete;
  ~PeerNode();

  /// @brief Reads the certificates, binds and starts everything.
  /// @return Empty, or why it failed.
  [[nodiscard]] std::string start();

  /// @brief Tells the others that this VM is leaving.
  void leave();

  /// @brief Closes the links and ends all loops.
  void stop();

  /// @brief Address that is bound.
  [[nodiscard]] const std::string &address() const noexcept { return Bound; }

  /// @brief Certificates, or nullptr with PeerOptions::PlainTcp.
  [[nodiscard]] TlsContext *tls() noexcept { return Tls.get(); }

  [[nodiscard]] LinkTable &links() noexcept { return *Links; }
  [[nodiscard]] MemberTable &members() noexcept { return Members; }
  [[nodiscard]] DispatchService &dispatch() noexcept { return Dispatch; }
  [[nodiscard]] RemoteBroker &broker() noexcept { return Broker; }
  [[nodiscard]] ConfigSync &config() noexcept { return Sync; }
  [[nodiscard]] StoreRelay &storeRelay() noexcept { return Relay; }

private:
  [[nodiscard]] Hello hello() const;

  const std::shared_ptr<TlsContext> Tls;
  const std::shared_ptr<LinkTable> Links;
  core::ConfigTable &Config;
  MemberTable Members;
  GroupDirectory Groups;
  DispatchService Dispatch;
  RemoteBroker Broker;
  ConfigSync Sync;
  StoreRelay Relay;
  Gossip Rounds;
  std::string Bound;
};

} // namespace jujubecart::peers

#endif
