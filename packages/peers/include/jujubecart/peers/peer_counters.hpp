#ifndef JUJUBECART_PEERS_PEER_COUNTERS_HPP
#define JUJUBECART_PEERS_PEER_COUNTERS_HPP

#include <jujubecart/peers/message.hpp>

#include <array>
#include <atomic>
#include <cstdint>

namespace jujubecart::peers {

/// @brief Counters of all links; safe to read from any thread.
class PeerCounters {
public:
  struct Traffic {
    std::atomic<std::uint64_t> Frames{0};
    std::atomic<std::uint64_t> Bytes{0};

    void add(std::size_t Size) noexcept {
      Frames.fetch_add(1, std::memory_order_relaxed);
      Bytes.fetch_add(Size, std::memory_order_relaxed);
    }
  };

  /// @brief Traffic by message type, see messageName().
  std::array<Traffic, MessageTypes> In;
  std::array<Traffic, MessageTypes> Out;
  std::atomic<std::uint64_t> Writes{0};
  std::atomic<std::int64_t> LinksOpen{0};
  std::atomic<std::uint64_t> LinksFailed{0};
  std::atomic<std::uint64_t> FramesRejected{0};
  std::atomic<std::uint64_t> Fallbacks{0};
  std::atomic<std::uint64_t> DispatchersSuspected{0};
  std::atomic<std::uint64_t> Grants{0};
  std::atomic<std::uint64_t> Probes{0};

  /// @brief Whether a message type is sent per call.
  [[nodiscard]] static bool isPerCall(std::size_t Type) noexcept;

  /// @brief Bytes in and out of gossip, membership and configuration.
  [[nodiscard]] std::uint64_t controlBytes() const noexcept;
};

} // namespace jujubecart::peers

#endif
