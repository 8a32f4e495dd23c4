#ifndef JUJUBECART_STORE_TICKET_PROCESSOR_HPP
#define JUJUBECART_STORE_TICKET_PROCESSOR_HPP

#include <jujubecart/core/key_value_store.hpp>
#include <jujubecart/core/sleeper.hpp>
#include <jujubecart/store/config_head.hpp>
#include <jujubecart/store/ticket_result.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace jujubecart::store {

/// @brief Accepts change tickets by compare-and-swap on the head.
class TicketProcessor {
public:
  /// @brief Source of the random part of value keys and of jitter.
  using RandomSource = std::function<std::uint64_t()>;

  /// @brief Creates a processor without state; everything is in the store.
  /// @param Store The store; must outlive the processor.
  /// @param Time Clock of the deadlines.
  /// @param Delays Suspends between attempts.
  /// @param Random Called from any thread.
  TicketProcessor(core::KeyValueStore &Store, const core::Clock &Time,
                  core::Sleeper &Delays, RandomSource Random);

  /// @brief Decides on a ticket.
  /// @param Text JSON text of the ticket file.
  /// @param File Name of the file for findings.
  /// @param Deadline Instant by which to respond.
  /// @return The decision; submitting the same text again is safe.
  [[nodiscard]] core::Awaitable<TicketResult>
  submit(std::string Text, std::string File, core::TimePoint Deadline);

  /// @brief Looks up an accepted ticket.
  /// @return The record, or NotFound, Unavailable, DeadlineExceeded.
  [[nodiscard]] core::Awaitable<core::Result<AcceptedTicket>>
  show(std::uint64_t Number, core::TimePoint Deadline);

private:
  core::KeyValueStore &Store;
  const core::Clock &Time;
  core::Sleeper &Delays;
  const RandomSource Random;
};

} // namespace jujubecart::store

#endif
