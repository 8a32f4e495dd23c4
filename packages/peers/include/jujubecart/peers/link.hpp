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

/// @brief Receives the frames of links; called on the strand of the link.
class LinkListener {
public:
  virtual ~LinkListener() = default;

  /// @brief Both sides have said Hello.
  virtual void onOpen(const LinkPtr & /*Source*/) {}
  virtual void onFrame(const LinkPtr &Source, const Frame &Item) = 0;
  virtual void onClose(const LinkPtr & /*Source*/) {}
};

/// @brief One TCP connection to another entry VM.
class Link : public std::enable_shared_from_this<Link> {
public:
  /// @brief What a link needs from its table.
  struct Environment {
    const core::Clock &Time;
    core::EventSink &Events;
    PeerCounters &Counters;
    std::size_t MaxQueuedBytes;
  };

  /// @brief Takes over a connected stream.
  /// @param Number Unique in the process.
  /// @param Dialed Whether this VM opened the connection.
  Link(std::uint64_t Number, bool Dialed, std::shared_ptr<internal::Stream> Io,
       const Environment &Surroundings);
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;
  ~Link();

  /// @brief Starts reading.
  /// @param OnFrame Called for each frame on the strand of the link.
  /// @param OnClosed Called once.
  void start(std::function<void(const LinkPtr &, const Frame &)> OnFrame,
             std::function<void(const LinkPtr &)> OnClosed);

  /// @brief Queues a message; several are written in one system call.
  /// @return Whether it was queued; a full queue closes the link.
  bool send(const Message &Body) noexcept;

  /// @brief Closes the link; the reason is logged.
  void close(std::string_view Reason) noexcept;

  [[nodiscard]] std::uint64_t number() const noexcept { return Number; }
  [[nodiscard]] bool dialed() const noexcept { return Dialed; }
  [[nodiscard]] bool closed() const noexcept { return Closed; }

  /// @brief The peer's Hello; valid once the link is open.
  [[nodiscard]] const Hello &peer() const noexcept { return Peer; }
  void setPeer(Hello Value) { Peer = std::move(Value); }

  [[nodiscard]] core::TimePoint lastReceived() const noexcept;
  [[nodiscard]] core::TimePoint lastSent() const noexcept;
  [[nodiscard]] core::TimePoint openedAt() const noexcept { return OpenedAt; }

  /// @brief Notes that the peer owes a frame.
  void expectReply() noexcept;

  /// @brief Notes a call that waits for the peer's answer.
  void askStarted() noexcept;

  /// @brief Ends it.
  /// @param Silent Whether the answer is still owed.
  void askEnded(bool Silent) noexcept;

  /// @brief Since when the peer owes a frame; empty if it does not.
  [[nodiscard]] std::optional<core::TimePoint> owedSince() const noexcept;

  /// @brief Counts calls and grants bound to this link.
  void addWork(int Change) noexcept { Work += Change; }
  [[nodiscard]] bool idle() const noexcept { return Work <= 0; }

private:
  void read();
  void onRead(std::size_t Size);
  void write();
  void finish(std::string_view Reason) noexcept;

  const std::uint64_t Number;
  const bool Dialed;
  const std::shared_ptr<internal::Stream> Io;
  const Environment Env;
  const core::TimePoint OpenedAt;
  Hello Peer;
  FrameCodec Codec;
  // A frame is rarely larger; a VM that dispatches has a link to every other.
  std::array<std::byte, 2048> Input{};
  std::function<void(const LinkPtr &, const Frame &)> OnFrame;
  std::function<void(const LinkPtr &)> OnClosed;

  std::mutex Mutex;
  std::vector<std::byte> Waiting;
  std::vector<std::byte> Active;
  std::uint64_t Sequence = 0;
  bool Writing = false;
  std::atomic<bool> Closed{false};
  std::atomic<core::TimePoint::rep> Received;
  std::atomic<core::TimePoint::rep> Sent;
  std::atomic<core::TimePoint::rep> Owed{0};
  std::atomic<int> Work{0};
  std::atomic<int> Asked{0};
};

} // namespace jujubecart::peers

#endif
