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

/// @brief All links of this VM; one per peer, used by both sides.
class LinkTable : public std::enable_shared_from_this<LinkTable> {
public:
  /// @brief Creates an empty table.
  /// @param Tls Certificates, or nullptr with PeerOptions::PlainTcp.
  LinkTable(const boost::asio::any_io_executor &Executor, PeerOptions Options,
            const core::Clock &Time, core::EventSink &Events,
            std::shared_ptr<TlsContext> Tls);
  LinkTable(const LinkTable &) = delete;
  LinkTable &operator=(const LinkTable &) = delete;
  ~LinkTable();

  /// @brief Adds a listener; call before listen().
  void subscribe(LinkListener &Listener) { Listeners.push_back(&Listener); }

  /// @brief Sets the source of this VM's Hello; call before listen().
  void setHello(std::function<Hello()> Source) {
    MakeHello = std::move(Source);
  }

  /// @brief Binds and accepts links.
  /// @return The bound address, or why binding failed.
  [[nodiscard]] core::Result<std::string> listen();

  /// @brief Open link to a VM, or nullptr.
  [[nodiscard]] LinkPtr find(std::string_view Vm) const;

  /// @brief Opens a link unless there is one.
  /// @return The link, or nullptr if it failed or backs off.
  [[nodiscard]] core::Awaitable<LinkPtr> connect(std::string Vm,
                                                 std::string Address);

  /// @brief Opens a link in the background.
  void connectLater(const std::string &Vm, const std::string &Address);

  /// @brief Opens a link to whichever VM answers at an address.
  void connectSeed(const std::string &Address);

  /// @brief Open links, one per peer.
  [[nodiscard]] std::vector<LinkPtr> links() const;

  /// @brief Closes all links of a VM.
  void drop(std::string_view Vm, std::string_view Reason);

  /// @brief Closes everything; listeners are not called afterwards.
  void stop();

  [[nodiscard]] PeerCounters &counters() noexcept { return Counters; }
  [[nodiscard]] const PeerOptions &options() const noexcept { return Options; }

private:
  using Dial = internal::OneShot<LinkPtr>;
  using Socket = boost::asio::ip::tcp::socket;

  struct Peer {
    std::vector<LinkPtr> Links;
    LinkPtr Primary;
    std::vector<std::shared_ptr<Dial>> Dials;
    bool Dialing = false;
    int Failures = 0;
    core::TimePoint NextDial;
  };

  core::Awaitable<void> acceptLoop(std::shared_ptr<LinkTable> Self);
  core::Awaitable<void> serve(std::shared_ptr<LinkTable> Self, Socket Io);
  core::Awaitable<void> dial(std::shared_ptr<LinkTable> Self, std::string Vm,
                             std::string Address);
  core::Awaitable<std::shared_ptr<internal::Stream>> secure(Socket Io,
                                                            bool Dialed);
  core::Awaitable<void> sweepLoop(std::shared_ptr<LinkTable> Self);
  void sweep();

  LinkPtr adopt(std::shared_ptr<internal::Stream> Io, bool Dialed,
                const std::string &Expected);
  void onFrame(const LinkPtr &Source, const Frame &Item,
               const std::string &Expected);
  void onHello(const LinkPtr &Source, const Hello &Item,
               const std::string &Expected);
  void onClosed(const LinkPtr &Source, const std::string &Expected);
  [[nodiscard]] bool preferred(const Link &Candidate,
                               const Link &Present) const;
  void settle(const std::string &Vm, const LinkPtr &Outcome);

  boost::asio::any_io_executor Executor;
  const PeerOptions Options;
  const core::Clock &Time;
  core::EventSink &Events;
  const std::shared_ptr<TlsContext> Tls;
  PeerCounters Counters;
  std::vector<LinkListener *> Listeners;
  std::function<Hello()> MakeHello;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer Sweeper;

  mutable std::mutex Mutex;
  std::map<std::string, Peer, std::less<>> Peers;
  // Links whose Hello has not arrived.
  std::vector<LinkPtr> Pending;
  std::uint64_t NextNumber = 0;
  std::minstd_rand Random;
  std::atomic<bool> Stopped{false};
};

} // namespace jujubecart::peers

#endif
