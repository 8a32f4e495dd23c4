#ifndef JUJUBECART_CORE_EVENT_SINK_HPP
#define JUJUBECART_CORE_EVENT_SINK_HPP

#include <jujubecart/core/request_id.hpp>

#include <cstdint>
#include <string>

namespace jujubecart::core {

/// @brief One event of the timeline; fields without a value are empty or 0.
struct Event {
  /// Event name such as `call.granted`; part of the external interface.
  std::string Kind;
  RequestId Request;
  std::uint64_t Ticket = 0;
  std::uint64_t OrderKeyHash = 0;
  std::string Server;
  /// VM that the message came from or went to.
  std::string Peer;
  std::string Detail;
};

/// @brief Receives timeline events.
class EventSink {
public:
  virtual ~EventSink() = default;

  /// @brief Records an event at the current hybrid logical time.
  virtual void record(Event Item) noexcept = 0;

  /// @brief Advances the hybrid logical clock for an outgoing message.
  /// @return Time to send with the message.
  [[nodiscard]] virtual std::uint64_t logicalNow() noexcept = 0;

  /// @brief Advances the hybrid logical clock past the time of a received
  /// message.
  virtual void observe(std::uint64_t Remote) noexcept = 0;
};

} // namespace jujubecart::core

#endif
