#ifndef JUJUBECART_PEERS_PEER_CLOCK_HPP
#define JUJUBECART_PEERS_PEER_CLOCK_HPP

#include <chrono>
#include <optional>

namespace jujubecart::peers {

/// @brief Converts instants from this VM's Clock::uptime() to that of a peer.
/// The result is never later than the true instant, however long messages were
/// under way and whoever was suspended meanwhile.
class PeerClock {
public:
  /// @brief Records a message of the peer.
  /// @param SentAt Instant on the peer's clock at which it sent the message, or
  /// earlier.
  /// @param HandledAt Instant on this VM's clock after its arrival.
  void record(std::chrono::milliseconds SentAt,
              std::chrono::milliseconds HandledAt) noexcept;

  /// @brief Converts an instant.
  /// @param Instant On this VM's clock.
  /// @param Now On this VM's clock.
  /// @return Nothing before the first message.
  [[nodiscard]] std::optional<std::chrono::milliseconds>
  toPeer(std::chrono::milliseconds Instant,
         std::chrono::milliseconds Now) const noexcept;

private:
  /// Lower bound of the peer's clock minus this VM's at an instant.
  [[nodiscard]] std::chrono::milliseconds
  offsetAt(std::chrono::milliseconds Now) const noexcept;

  /// The bound when it was recorded, and when that was.
  std::chrono::milliseconds Offset{0};
  std::optional<std::chrono::milliseconds> RecordedAt;
};

} // namespace jujubecart::peers

#endif
