#ifndef JUJUBECART_PEERS_LINK_HPP
#define JUJUBECART_PEERS_LINK_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/event_sink.hpp>
#include <jujubecart/peers/frame_codec.hpp>
#include <jujubecart/peers/peer_counters.hpp>

#include <array>
#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace jujubecart::peers {

namespace internal {
class Stream;
} // namespace internal

class Link;
using LinkPtr = std::shared_ptr<Link>;

/// @brief Receives the events of links; called on the strand of the link, so
/// calls for two links may run at the same time.
class LinkListener {
public:
  virtual ~LinkListener() = default;

  /// @brief The peer's Hello has arrived; Link::peer() is valid from now on.
  virtual void onOpen(const LinkPtr & /*Source*/) {}

  /// @brief Called for each frame after the Hello, Bye excepted.
  virtual void onFrame(const LinkPtr &Source, const Frame &Item) = 0;

  /// @brief Called once for each link that was reported by onOpen().
  virtual void onClose(const LinkPtr & /*Source*/) {}
};

/// @brief One TCP connection, plain or TLS, to another entry VM.
class Link : public std::enable_shared_from_this<Link> {
public:
  /// @brief Services shared by all links of a table; the references must
  /// outlive the link.
  struct Environment {
    const core::Clock &Time;
    core::EventSink &Events;
    PeerCounters &Counters;
    /// A link with more unsent bytes than this is closed.
    std::size_t MaxQueuedBytes;
    /// Availability zone of this VM.
    std::string Zone;
  };

  /// @brief Takes over a connected stream.
  /// @param Number Unique in the process; used in logs and as a key.
  /// @param Dialed Whether this VM opened the connection.
  Link(std::uint64_t Number, bool Dialed,
       std::shared_ptr<internal::Stream> Transport,
       const Environment &Dependencies);
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;
  ~Link();

  /// @brief Starts reading.
  /// @param OnFrame Called for each frame on the strand of the link.
  /// @param OnClosed Called once on the strand of the link.
  void start(std::function<void(const LinkPtr &, const Frame &)> OnFrame,
             std::function<void(const LinkPtr &)> OnClosed);

  /// @brief Queues a message; messages queued during a write are sent together
  /// by the next one. Safe from any thread.
  /// @return Whether it was queued. A full queue closes the link.
  bool send(const Message &Body) noexcept;

  /// @brief Closes the link asynchronously; safe from any thread.
  /// @param Reason Written to the log.
  void close(std::string_view Reason) noexcept;

  [[nodiscard]] std::uint64_t number() const noexcept { return Number; }

  /// @brief Whether this VM opened the connection.
  [[nodiscard]] bool dialed() const noexcept { return Dialed; }
  [[nodiscard]] bool closed() const noexcept { return Closed; }

  /// @brief The peer's Hello; its Sender is empty until it has arrived.
  [[nodiscard]] const Hello &peer() const noexcept { return Peer; }

  /// @brief Stores the peer's Hello; called once, on the strand of the link.
  void setPeer(Hello Value) {
    Peer = std::move(Value);
    ToOtherZone = Peer.Zone != Env.Zone;
  }

  [[nodiscard]] core::TimePoint lastReceived() const noexcept;
  [[nodiscard]] core::TimePoint lastSent() const noexcept;
  [[nodiscard]] core::TimePoint openedAt() const noexcept { return OpenedAt; }

  /// @brief Starts the reply timeout unless it is already running. Any frame
  /// from the peer ends it; LinkTable closes the link when it expires.
  void expectReply() noexcept;

  /// @brief Registers a call that waits for the peer's answer.
  void callStarted() noexcept;

  /// @brief Unregisters a call of callStarted().
  /// @param AnswerPending Whether the peer has not answered the call; the reply
  /// timeout then keeps running.
  void callEnded(bool AnswerPending) noexcept;

  /// @brief Start of the reply timeout; empty if no reply is expected.
  [[nodiscard]] std::optional<core::TimePoint>
  awaitingReplySince() const noexcept;

  /// @brief Adjusts the number of calls and grants that use this link.
  /// @param Change 1 or -1.
  void adjustUseCount(int Change) noexcept { UseCount += Change; }

  /// @brief Whether no call and no grant uses this link.
  [[nodiscard]] bool idle() const noexcept { return UseCount <= 0; }

private:
  void read();
  void onRead(std::size_t Size);
  void write();
  void recordWrite();
  void finish(std::string_view Reason) noexcept;

  const std::uint64_t Number;
  const bool Dialed;
  const std::shared_ptr<internal::Stream> Transport;
  const Environment Env;
  const core::TimePoint OpenedAt;
  Hello Peer;
  FrameCodec Codec;
  // Few frames are larger. Kept small because a dispatcher VM holds one link
  // and so one buffer for every other VM.
  std::array<std::byte, 2048> ReadBuffer{};
  std::function<void(const LinkPtr &, const Frame &)> OnFrame;
  std::function<void(const LinkPtr &)> OnClosed;

  // Guards WriteQueue, WriteBuffer, Sequence and Writing.
  std::mutex Mutex;
  std::vector<std::byte> WriteQueue;
  // Bytes of the write that is in progress.
  std::vector<std::byte> WriteBuffer;
  std::uint64_t Sequence = 0;
  bool Writing = false;
  // When the oldest byte of WriteQueue was queued.
  core::TimePoint QueuedAt;
  // The same of WriteBuffer; used on the strand only.
  core::TimePoint WriteQueuedAt;
  core::TimePoint NextSlowWriteLog;
  std::atomic<bool> Closed{false};
  // Whether the peer is in another availability zone; false until its Hello
  // has arrived.
  std::atomic<bool> ToOtherZone{false};
  // Time points as clock ticks; AwaitingReplySince is 0 if no reply is
  // expected.
  std::atomic<core::TimePoint::rep> LastReceived;
  std::atomic<core::TimePoint::rep> LastSent;
  std::atomic<core::TimePoint::rep> AwaitingReplySince{0};
  std::atomic<int> UseCount{0};
  std::atomic<int> PendingCalls{0};
};

} // namespace jujubecart::peers

#endif
