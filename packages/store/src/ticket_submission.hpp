#ifndef JUJUBECART_STORE_SRC_TICKET_SUBMISSION_HPP
#define JUJUBECART_STORE_SRC_TICKET_SUBMISSION_HPP

#include <jujubecart/store/ticket.hpp>
#include <jujubecart/store/ticket_processor.hpp>

#include <optional>

namespace jujubecart::store::internal {

/// @brief The head as read from the store; version 0 if it does not exist.
struct VersionedHead {
  std::uint64_t Version = 0;
  ConfigHead Head;
};

/// @brief Reads the head.
/// @return The head, an empty one if there is none, or the store's error.
[[nodiscard]] core::Awaitable<core::Result<VersionedHead>>
loadHead(core::KeyValueStore &Store, core::TimePoint Deadline);

/// @brief Finds an accepted ticket in a head or in the archive.
/// @return The record, NotFound or the store's error.
[[nodiscard]] core::Awaitable<core::Result<AcceptedTicket>>
findAccepted(core::KeyValueStore &Store, const ConfigHead &Head,
             std::uint64_t Number, core::TimePoint Deadline);

/// @brief One run of the acceptance protocol for one ticket.
class TicketSubmission {
public:
  TicketSubmission(core::KeyValueStore &Store, const core::Clock &Time,
                   core::Sleeper &Delays,
                   const TicketProcessor::RandomSource &Random, Ticket Change,
                   core::TimePoint Deadline)
      : Store(Store), Time(Time), Delays(Delays), Random(Random),
        Change(std::move(Change)), Deadline(Deadline) {}

  /// @brief Runs until the decision is known or the deadline passed.
  [[nodiscard]] core::Awaitable<TicketResult> run();

private:
  core::KeyValueStore &Store;
  const core::Clock &Time;
  core::Sleeper &Delays;
  const TicketProcessor::RandomSource &Random;
  const Ticket Change;
  const core::TimePoint Deadline;
  /// Keys of the service values, written once.
  std::map<std::string, std::string> Keys;
  bool ValuesWritten = false;
  /// Version that a write of the head with unknown outcome would replace.
  std::optional<std::uint64_t> Uncertain;
  unsigned Attempts = 0;

  using Decision = std::optional<TicketResult>;

  [[nodiscard]] core::Awaitable<Decision> attempt();
  [[nodiscard]] core::Awaitable<bool> writeValues();
  [[nodiscard]] core::Awaitable<bool> writeValue(std::string Name,
                                                 std::string Value);
  [[nodiscard]] core::Awaitable<bool> archive(AcceptedTicket Dropped);
  [[nodiscard]] core::Awaitable<void> pause();
  [[nodiscard]] bool expired() const noexcept;
  [[nodiscard]] TicketResult result(TicketStatus Status) const;
  [[nodiscard]] TicketResult storeFailed() const;
  [[nodiscard]] Decision conflict(const ConfigHead &Head) const;
  [[nodiscard]] TicketResult known(const AcceptedTicket &Record) const;
  [[nodiscard]] ConfigHead nextHead(const ConfigHead &Head) const;
};

} // namespace jujubecart::store::internal

#endif
