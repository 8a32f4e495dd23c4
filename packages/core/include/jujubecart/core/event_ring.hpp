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

/// @brief An event and its hybrid logical time.
struct TimedEvent {
  std::uint64_t Logical = 0;
  Event Item;
};

/// @brief Bounded in-memory timeline of one VM; the oldest events are dropped.
class EventRing final : public EventSink {
public:
  /// @brief Creates an empty ring.
  /// @param Source Clock that must outlive the ring.
  /// @param Capacity Number of events kept; 0 disables recording.
  EventRing(const Clock &Source, std::size_t Capacity);

  void record(Event Item) noexcept override;
  [[nodiscard]] std::uint64_t logicalNow() noexcept override;
  void observe(std::uint64_t Remote) noexcept override;

  /// @brief Events later than a logical time, oldest first.
  /// @param Since Logical time of the last event already seen.
  /// @param Limit Largest number of events; the oldest are returned first.
  [[nodiscard]] std::vector<TimedEvent> since(std::uint64_t Since,
                                              std::size_t Limit) const;

  /// @brief Number of events overwritten so far.
  [[nodiscard]] std::uint64_t dropped() const noexcept;

private:
  HybridClock Logical;
  const std::size_t Capacity;
  mutable std::mutex Mutex;
  std::vector<TimedEvent> Slots;
  std::uint64_t Recorded = 0;
};

/// @brief Formats an event as JSON; empty fields are left out.
[[nodiscard]] nlohmann::json toJson(const TimedEvent &Entry);

} // namespace jujubecart::core

#endif
