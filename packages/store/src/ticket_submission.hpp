#ifndef JUJUBECART_STORE_SRC_TICKET_SUBMISSION_HPP
#define JUJUBECART_STORE_SRC_TICKET_SUBMISSION_HPP

#include <jujubecart/store/ticket.hpp>
#include <jujubecart/store/ticket_processor.hpp>

#include <optional>

namespace jujubecart::store::internal {

/// @brief Configuration head and its version in the store; version 0 if it does
/// not exist.
struct VersionedHead {
  std::uint64_t Version = 0;
  ConfigHead Head;
};

/// @brief Reads the configuration head.
/// @return The head, an empty one if there is none, Malformed, or the store's
/// error.
[[nodiscard]] core::Awaitable<core::Result<VersionedHead>>
loadHead(core::KeyValueStore &Store, core::TimePoint Deadline);

/// @brief Finds an accepted ticket in a head or in the archive.
/// @return The record, NotFound, Malformed, or the store's error.
[[nodiscard]] core::Awaitable<core::Result<AcceptedTicket>>
findAccepted(core::KeyValueStore &Store, const ConfigHead &Head,
             std::uint64_t Number, core::TimePoint Deadline);

/// @brief Runs the acceptance protocol for one submission of one ticket.
///
/// Writes the service values under new keys, then replaces the head by
/// compare-and-swap, and repeats this after a conflict or an unknown outcome.
class TicketSubmission {
public:
  TicketSubmission(core::KeyValueStore &Store, const core::Clock &Time,
                   core::Sleeper &Sleeper,
                   const TicketProcessor::RandomSource &Random,
                   Ticket Submitted, core::TimePoint Deadline)
      : Store(Store), Time(Time), Sleeper(Sleeper), Random(Random),
        Submitted(std::move(Submitted)), Deadline(Deadline) {}

  /// @brief Runs until the decision is known or the deadline has passed.
  [[nodiscard]] core::Awaitable<TicketResult> run();

private:
  core::KeyValueStore &Store;
  const core::Clock &Time;
  core::Sleeper &Sleeper;
  const TicketProcessor::RandomSource &Random;
  const Ticket Submitted;
  const core::TimePoint Deadline;
  /// Store key of each service value that was written, by service name.
  std::map<std::string, std::string> ValueKeys;
  bool ValuesWritten = false;
  /// Version of the head that a write with unknown outcome would replace.
  std::optional<std::uint64_t> UncertainVersion;
  /// Number of backoffs so far.
  unsigned Backoffs = 0;

  /// Nothing if another attempt is needed.
  using Decision = std::optional<TicketResult>;

  [[nodiscard]] core::Awaitable<Decision> attempt();
  [[nodiscard]] core::Awaitable<bool> writeValues();
  [[nodiscard]] core::Awaitable<bool> writeValue(std::string Name,
                                                 std::string Value);
  /// @brief Writes the record of a ticket that the next head no longer lists.
  [[nodiscard]] core::Awaitable<bool> archive(AcceptedTicket Dropped);
  [[nodiscard]] core::Awaitable<void> backOff();
  [[nodiscard]] bool expired() const noexcept;
  [[nodiscard]] TicketResult makeResult(TicketStatus Status) const;
  [[nodiscard]] TicketResult makeStoreFailure() const;
  [[nodiscard]] Decision findConflict(const ConfigHead &Head) const;
  [[nodiscard]] TicketResult
  makeAcceptedResult(const AcceptedTicket &Record) const;
  [[nodiscard]] ConfigHead makeNextHead(const ConfigHead &Head) const;
};

} // namespace jujubecart::store::internal

#endif
