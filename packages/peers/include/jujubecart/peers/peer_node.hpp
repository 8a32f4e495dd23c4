#ifndef JUJUBECART_PEERS_PEER_NODE_HPP
#define JUJUBECART_PEERS_PEER_NODE_HPP

#include <jujubecart/peers/gossip.hpp>
#include <jujubecart/peers/remote_broker.hpp>
#include <jujubecart/peers/store_relay.hpp>

namespace jujubecart::peers {

/// @brief The links, membership, dispatch and configuration exchange of one
/// entry VM, wired together.
class PeerNode {
public:
  /// @brief Objects that the node uses; all must outlive it.
  struct Environment {
    const core::Clock &Time;
    core::EventSink &Events;
    core::ConfigTable &Config;
    core::OrderClaims &Claims;
    /// Grants slots when no dispatcher can be reached.
    decision::LocalBroker &Fallback;
    /// Health checks of backend servers; nullptr disables them.
    HealthProber *Prober = nullptr;
  };

  /// @brief Creates the node without opening any socket.
  /// @param Executor Must have stopped running handlers before the node is
  /// destroyed.
  PeerNode(const boost::asio::any_io_executor &Executor,
           const PeerOptions &Options, const Environment &Dependencies);
  PeerNode(const PeerNode &) = delete;
  PeerNode &operator=(const PeerNode &) = delete;
  ~PeerNode();

  /// @brief Reads the certificates, binds the listening socket and starts the
  /// background tasks.
  /// @return Empty on success, otherwise an error message.
  [[nodiscard]] std::string start();

  /// @brief Marks this VM as leaving and announces that to all peers.
  void leave();

  /// @brief Closes the links and ends the background tasks; the destructor
  /// calls it too.
  void stop();

  /// @brief The bound `IP:port`; empty before start().
  [[nodiscard]] const std::string &address() const noexcept {
    return BoundAddress;
  }

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
  const core::Clock &Time;
  core::ConfigTable &Config;
  MemberTable Members;
  GroupDirectory Groups;
  DispatchService Dispatch;
  RemoteBroker Broker;
  ConfigSync Sync;
  StoreRelay Relay;
  Gossip Gossiper;
  std::string BoundAddress;
};

} // namespace jujubecart::peers

#endif
