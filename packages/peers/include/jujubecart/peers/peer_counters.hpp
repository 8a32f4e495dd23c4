#ifndef JUJUBECART_PEERS_PEER_COUNTERS_HPP
#define JUJUBECART_PEERS_PEER_COUNTERS_HPP

#include <jujubecart/peers/message.hpp>

#include <array>
#include <atomic>
#include <cstdint>

namespace jujubecart::peers {

/// @brief Counters of the connections to other entry VMs and of dispatch;
/// thread-safe.
class PeerCounters {
public:
  /// @brief Frames and bytes of one message type in one direction.
  struct Traffic {
    std::atomic<std::uint64_t> Frames{0};
    std::atomic<std::uint64_t> Bytes{0};

    void add(std::size_t Size) noexcept {
      Frames.fetch_add(1, std::memory_order_relaxed);
      Bytes.fetch_add(Size, std::memory_order_relaxed);
    }
  };

  /// Received and sent traffic by message type, see messageName().
  std::array<Traffic, MessageTypeCount> In;
  std::array<Traffic, MessageTypeCount> Out;
  /// The part of Out that went to VMs in other availability zones.
  std::array<Traffic, MessageTypeCount> OutToOtherZones;
  /// Socket writes; one write may contain many frames.
  std::atomic<std::uint64_t> Writes{0};
  /// Writes whose oldest byte waited for 250 ms or longer.
  std::atomic<std::uint64_t> SlowWrites{0};
  std::atomic<std::int64_t> LinksOpen{0};
  /// Attempts to open a link that failed.
  std::atomic<std::uint64_t> DialsFailed{0};
  /// Links closed because a received frame was invalid.
  std::atomic<std::uint64_t> FramesRejected{0};
  /// Calls decided by this VM because no dispatcher answered.
  std::atomic<std::uint64_t> Fallbacks{0};
  std::atomic<std::uint64_t> DispatchersSuspected{0};
  std::atomic<std::uint64_t> Grants{0};
  std::atomic<std::uint64_t> Probes{0};
  /// Requests that counted against the quota of a workspace, and those refused.
  std::atomic<std::uint64_t> QuotaRequests{0};
  std::atomic<std::uint64_t> QuotaRefusals{0};
  /// Admitted requests that got no slot and did not use the quota.
  std::atomic<std::uint64_t> QuotaReturns{0};
  /// Answers of other VMs about what workspaces used in the last window.
  std::atomic<std::uint64_t> QuotaHistories{0};

  /// @brief Whether the number of messages of a type grows with the calls.
  [[nodiscard]] static bool isPerCall(std::size_t Type) noexcept;

  /// @brief Bytes received and sent in all messages that are not per call:
  /// membership, gossip, configuration and store changes.
  [[nodiscard]] std::uint64_t controlBytes() const noexcept;
};

} // namespace jujubecart::peers

#endif
