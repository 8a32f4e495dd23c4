#ifndef JUJUBECART_PEERS_LINK_TABLE_HPP
#define JUJUBECART_PEERS_LINK_TABLE_HPP

#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/peers/link.hpp>
#include <jujubecart/peers/peer_options.hpp>
#include <jujubecart/peers/tls_context.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <random>
#include <vector>

namespace jujubecart::peers {

namespace internal {
template <typename Value> class OneShot;
} // namespace internal

/// @brief Accepts, opens and closes the links of this VM. Both VMs of a pair
/// use the same link in both directions. Safe from any thread.
class LinkTable : public std::enable_shared_from_this<LinkTable> {
public:
  /// @param Tls Certificates, or nullptr with PeerOptions::PlainTcp.
  LinkTable(const boost::asio::any_io_executor &Executor, PeerOptions Options,
            const core::Clock &Time, core::EventSink &Events,
            std::shared_ptr<TlsContext> Tls);
  LinkTable(const LinkTable &) = delete;
  LinkTable &operator=(const LinkTable &) = delete;
  ~LinkTable();

  /// @brief Adds a listener, which must outlive the table's links; call before
  /// listen(). Listeners are called in the order they were added.
  void subscribe(LinkListener &Listener) { Listeners.push_back(&Listener); }

  /// @brief Sets the function that makes this VM's Hello for each new link;
  /// called from any thread. Call before listen().
  void setHello(std::function<Hello()> Source) {
    HelloSource = std::move(Source);
  }

  /// @brief Binds the listening socket, accepts links and starts the periodic
  /// check for links to close.
  /// @return The bound `IP:port`, or why binding failed.
  [[nodiscard]] core::Result<std::string> listen();

  /// @brief Returns the primary link to a VM, or nullptr if none is open.
  [[nodiscard]] LinkPtr find(std::string_view Vm) const;

  /// @brief Returns the open link to a VM or opens one.
  /// @return The link, or nullptr if the attempt failed, the backoff after an
  /// earlier failure has not elapsed, or the table is stopped.
  [[nodiscard]] core::Awaitable<LinkPtr> connect(std::string Vm,
                                                 std::string Address);

  /// @brief Opens a link in the background, with the same conditions as
  /// connect().
  void connectInBackground(const std::string &Vm, const std::string &Address);

  /// @brief Opens a link in the background to an address whose VM id is not
  /// known yet.
  void connectSeed(const std::string &Address);

  /// @brief Returns the primary link of each peer that has one.
  [[nodiscard]] std::vector<LinkPtr> links() const;

  /// @brief Closes all links to a VM.
  void closeLinks(std::string_view Vm, std::string_view Reason);

  /// @brief Closes the listening socket and all links; listeners are not called
  /// for events after this.
  void stop();

  [[nodiscard]] PeerCounters &counters() noexcept { return Counters; }
  [[nodiscard]] const PeerOptions &options() const noexcept { return Options; }

private:
  using DialWaiter = internal::OneShot<LinkPtr>;
  using Socket = boost::asio::ip::tcp::socket;

  // Links and dial state of one VM, or of a seed address (see seed.hpp).
  struct Peer {
    // More than one after simultaneous dials, until sweep() closes the rest.
    std::vector<LinkPtr> Links;
    // The link used for sending.
    LinkPtr Primary;
    // Callers of connect() that wait for the dial in progress.
    std::vector<std::shared_ptr<DialWaiter>> DialWaiters;
    bool Dialing = false;
    // Consecutive failures, at most 10; exponent of the backoff.
    int FailedDials = 0;
    core::TimePoint NextDialAt;
  };

  core::Awaitable<void> acceptLoop(std::shared_ptr<LinkTable> Self);
  core::Awaitable<void> acceptPeer(std::shared_ptr<LinkTable> Self,
                                   Socket Connection);
  core::Awaitable<void> dial(std::shared_ptr<LinkTable> Self, std::string Vm,
                             std::string Address);
  core::Awaitable<std::shared_ptr<internal::Stream>>
  performHandshake(Socket Connection, bool Dialed);
  core::Awaitable<void> sweepLoop(std::shared_ptr<LinkTable> Self);
  void sweep();

  LinkPtr addLink(std::shared_ptr<internal::Stream> Transport, bool Dialed,
                  const std::string &ExpectedVm);
  void onFrame(const LinkPtr &Source, const Frame &Item,
               const std::string &ExpectedVm);
  void onHello(const LinkPtr &Source, const Hello &PeerHello,
               const std::string &ExpectedVm);
  void onClosed(const LinkPtr &Source, const std::string &ExpectedVm);
  [[nodiscard]] bool shouldReplace(const Link &Candidate,
                                   const Link &Current) const;
  void completeDial(const std::string &Vm, const LinkPtr &Result);

  boost::asio::any_io_executor Executor;
  const PeerOptions Options;
  const core::Clock &Time;
  core::EventSink &Events;
  const std::shared_ptr<TlsContext> Tls;
  PeerCounters Counters;
  std::vector<LinkListener *> Listeners;
  std::function<Hello()> HelloSource;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer SweepTimer;

  mutable std::mutex Mutex;
  std::map<std::string, Peer, std::less<>> Peers;
  // Links on which the peer's Hello has not arrived yet.
  std::vector<LinkPtr> AwaitingHello;
  std::uint64_t NextNumber = 0;
  std::minstd_rand Random;
  std::atomic<bool> Stopped{false};
};

} // namespace jujubecart::peers

#endif
