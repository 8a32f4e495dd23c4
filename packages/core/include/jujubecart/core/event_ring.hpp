#ifndef JUJUBECART_CORE_EVENT_RING_HPP
#define JUJUBECART_CORE_EVENT_RING_HPP

#include <jujubecart/core/event_sink.hpp>
#include <jujubecart/core/hybrid_clock.hpp>

#include <cstdint>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace jujubecart::core {

/// @brief An event with its hybrid logical time.
struct TimedEvent {
  std::uint64_t Logical = 0;
  Event Item;
};

/// @brief Ring buffer with the latest timeline events of this VM.
class EventRing final : public EventSink {
public:
  /// @brief Creates an empty ring buffer.
  /// @param Source Clock; must outlive the ring.
  /// @param Capacity Maximum number of events kept; 0 disables recording.
  EventRing(const Clock &Source, std::size_t Capacity);

  void record(Event Item) noexcept override;
  [[nodiscard]] std::uint64_t logicalNow() noexcept override;
  void observe(std::uint64_t Remote) noexcept override;

  /// @brief Events after a logical time, oldest first.
  /// @param Since Logical time of the last event already seen.
  /// @param Limit Maximum number of events returned.
  [[nodiscard]] std::vector<TimedEvent> since(std::uint64_t Since,
                                              std::size_t Limit) const;

  /// @brief Number of events overwritten by later ones so far.
  [[nodiscard]] std::uint64_t dropped() const noexcept;

private:
  HybridClock LogicalClock;
  const std::size_t Capacity;
  mutable std::mutex Mutex;
  std::vector<TimedEvent> Events;
  /// Number of events recorded so far, overwritten ones included.
  std::uint64_t Recorded = 0;
};

/// @brief Formats an event as a JSON object; empty fields are omitted.
[[nodiscard]] nlohmann::json toJson(const TimedEvent &Entry);

} // namespace jujubecart::core

#endif
