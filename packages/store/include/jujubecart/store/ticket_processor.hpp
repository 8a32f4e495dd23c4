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

/// @brief Accepts tickets by compare-and-swap on the configuration head.
class TicketProcessor {
public:
  /// @brief Random source for the keys of service values and for backoff
  /// jitter.
  using RandomSource = std::function<std::uint64_t()>;

  /// @brief Creates a stateless processor; all state is in the store.
  /// @param Store Must outlive the processor, like Time and Sleeper.
  /// @param Time Clock of the deadlines.
  /// @param Sleeper Suspends between attempts.
  /// @param Random Called from any thread.
  TicketProcessor(core::KeyValueStore &Store, const core::Clock &Time,
                  core::Sleeper &Sleeper, RandomSource Random);

  /// @brief Validates a ticket and tries to accept it.
  /// @param Text JSON text of the ticket file.
  /// @param File Name of the file, quoted in findings.
  /// @param Deadline Instant by which to respond.
  /// @return The decision. Submitting is idempotent: the same ticket can be
  /// submitted again.
  [[nodiscard]] core::Awaitable<TicketResult>
  submit(std::string Text, std::string File, core::TimePoint Deadline);

  /// @brief Looks up an accepted ticket by its number.
  /// @return The record, NotFound if no such ticket was accepted, or Malformed,
  /// Unavailable, DeadlineExceeded.
  [[nodiscard]] core::Awaitable<core::Result<AcceptedTicket>>
  findAccepted(std::uint64_t Number, core::TimePoint Deadline);

private:
  core::KeyValueStore &Store;
  const core::Clock &Time;
  core::Sleeper &Sleeper;
  const RandomSource Random;
};

} // namespace jujubecart::store

#endif
