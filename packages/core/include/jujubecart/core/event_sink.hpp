#ifndef JUJUBECART_CORE_EVENT_SINK_HPP
#define JUJUBECART_CORE_EVENT_SINK_HPP

#include <jujubecart/core/request_id.hpp>

#include <cstdint>
#include <string>

namespace jujubecart::core {

/// @brief One entry of the event timeline; unused fields stay empty.
struct Event {
  /// Stable name such as `call.granted`.
  std::string Kind;
  RequestId Request;
  std::uint64_t Ticket = 0;
  std::uint64_t OrderKeyHash = 0;
  std::string Server;
  /// The other VM of a message.
  std::string Peer;
  std::string Detail;
};

/// @brief Receives timeline events.
class EventSink {
public:
  virtual ~EventSink() = default;

  /// @brief Records an event with the current hybrid logical time.
  virtual void record(Event Item) noexcept = 0;

  /// @brief Hybrid logical time to put on an outgoing message.
  [[nodiscard]] virtual std::uint64_t logicalNow() noexcept = 0;

  /// @brief Merges the hybrid logical time of a received message.
  virtual void observe(std::uint64_t Remote) noexcept = 0;
};

} // namespace jujubecart::core

#endif
