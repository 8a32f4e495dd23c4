#ifndef JUJUBECART_PEERS_TRANSIT_DELAY_HPP
#define JUJUBECART_PEERS_TRANSIT_DELAY_HPP

#include <chrono>
#include <optional>

namespace jujubecart::peers {

/// @brief Estimates how long the messages of one sender were under way. The
/// clocks of sender and receiver need not agree.
class TransitDelay {
public:
  /// @brief Records a message.
  /// @param SentAt Instant on the sender's clock.
  /// @param ReceivedAt Instant on the receiver's clock, not before that of an
  /// earlier message. Neither clock stops while its machine is suspended.
  /// @return How much longer the message was under way than the fastest one of
  /// the last one to two minutes.
  [[nodiscard]] std::chrono::milliseconds
  record(std::chrono::milliseconds SentAt,
         std::chrono::milliseconds ReceivedAt) noexcept;

private:
  /// Smallest difference of the two clocks in the current period and in the
  /// one before; that of the fastest message.
  std::chrono::milliseconds Smallest = std::chrono::milliseconds::max();
  std::chrono::milliseconds EarlierSmallest = std::chrono::milliseconds::max();
  std::optional<std::chrono::milliseconds> PeriodStart;
};

} // namespace jujubecart::peers

#endif
