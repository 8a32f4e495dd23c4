#include "ticket_submission.hpp"

#include <jujubecart/core/config_json.hpp>
#include <jujubecart/core/log.hpp>
#include <jujubecart/core/request_id.hpp>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jujubecart::store::internal {

using core::Error;

namespace {

// Bounds of the maximum delay before another attempt. Concurrent submissions
// conflict at most a few times, so a short delay suffices; its random length
// keeps them from conflicting again.
constexpr std::chrono::milliseconds InitialBackoff{5};
constexpr std::chrono::milliseconds MaxBackoff{500};

std::string archiveKey(std::uint64_t Number) {
  return "config/ticket/" + std::to_string(Number);
}

} // namespace

core::Awaitable<core::Result<VersionedHead>>
loadHead(core::KeyValueStore &Store, core::TimePoint Deadline) {
  const auto Stored = co_await Store.get(std::string(HeadKey), Deadline);
  if (Stored.has_error()) {
    if (Stored.error() == Error::NotFound)
      co_return VersionedHead{};
    co_return Stored.error();
  }
  auto Head = readHead(Stored->Value);
  if (Head.has_error()) {
    core::LogLine(core::LogLevel::Error, "config.head-malformed")
        .field("version", Stored->Version);
    co_return Head.error();
  }
  co_return VersionedHead{.Version = Stored->Version, .Head = std::move(*Head)};
}

// A ticket is archived before it is removed from the head. Reading first the
// head and then the archive therefore finds every ticket accepted up to that
// head.
core::Awaitable<core::Result<AcceptedTicket>>
findAccepted(core::KeyValueStore &Store, const ConfigHead &Head,
             std::uint64_t Number, core::TimePoint Deadline) {
  if (const AcceptedTicket *Recent = Head.findRecent(Number))
    co_return *Recent;
  // No ticket was removed from the head yet.
  if (Head.Revision <= MaxRecentTickets)
    co_return make_error_code(Error::NotFound);
  const auto Stored = co_await Store.get(archiveKey(Number), Deadline);
  if (Stored.has_error())
    co_return Stored.error();
  co_return readAccepted(Stored->Value);
}

bool TicketSubmission::expired() const noexcept {
  return Time.now() >= Deadline;
}

TicketResult TicketSubmission::makeResult(TicketStatus Status) const {
  TicketResult Result;
  Result.Status = Status;
  Result.Number = Submitted.Number;
  return Result;
}

TicketResult TicketSubmission::makeStoreFailure() const {
  return makeResult(UncertainVersion ? TicketStatus::Unknown
                                     : TicketStatus::Unavailable);
}

TicketResult
TicketSubmission::makeAcceptedResult(const AcceptedTicket &Record) const {
  if (Record.Digest != Submitted.Digest)
    return makeResult(TicketStatus::NumberReused);
  TicketResult Result = makeResult(TicketStatus::Accepted);
  Result.Revision = Record.Revision;
  return Result;
}

TicketSubmission::Decision
TicketSubmission::findConflict(const ConfigHead &Head) const {
  if (Submitted.BasedOn > Head.Revision) {
    TicketResult Result = makeResult(TicketStatus::Invalid);
    core::Findings Report("ticket");
    Report.add("/based_on", std::to_string(Submitted.BasedOn),
               "revision up to " + std::to_string(Head.Revision));
    Result.Findings = Report.items();
    return Result;
  }
  for (const auto &[Name, Service] : Submitted.Services) {
    const auto Entry = Head.Services.find(Name);
    if (Entry == Head.Services.end() ||
        Entry->second.Changed <= Submitted.BasedOn)
      continue;
    TicketResult Result = makeResult(TicketStatus::Beaten);
    Result.Revision = Entry->second.Changed;
    Result.BeatenBy = Entry->second.Ticket;
    Result.Service = Name;
    return Result;
  }
  return std::nullopt;
}

ConfigHead TicketSubmission::makeNextHead(const ConfigHead &Head) const {
  ConfigHead Next = Head;
  ++Next.Revision;
  for (const auto &[Name, Service] : Submitted.Services) {
    const auto Key = ValueKeys.find(Name);
    Next.Services[Name] =
        HeadEntry{.Changed = Next.Revision,
                  .Ticket = Submitted.Number,
                  .Key = Key == ValueKeys.end() ? std::string() : Key->second};
  }
  if (Next.RecentTickets.size() >= MaxRecentTickets)
    Next.RecentTickets.erase(Next.RecentTickets.begin());
  Next.RecentTickets.push_back(AcceptedTicket{.Number = Submitted.Number,
                                              .Digest = Submitted.Digest,
                                              .Revision = Next.Revision});
  return Next;
}

// Each attempt uses a new key, so a write with unknown outcome leaves at worst
// a value that no head refers to.
core::Awaitable<bool> TicketSubmission::writeValue(std::string Name,
                                                   std::string Value) {
  while (!expired()) {
    std::string Key = "config/service/" + Name + "/" +
                      std::to_string(Submitted.Number) + "-" +
                      core::toString(core::RequestId{Random()});
    const auto Written = co_await Store.put(Key, Value, 0, Deadline);
    if (Written.has_value()) {
      ValueKeys[Name] = std::move(Key);
      co_return true;
    }
    if (Written.error() != Error::Conflict &&
        Written.error() != Error::OutcomeUnknown)
      co_return false;
    co_await backOff();
  }
  co_return false;
}

core::Awaitable<bool> TicketSubmission::writeValues() {
  if (ValuesWritten)
    co_return true;
  for (const auto &[Name, Service] : Submitted.Services) {
    if (!Service || ValueKeys.count(Name) != 0)
      continue;
    const bool Written =
        co_await writeValue(Name, core::writeService(*Service).dump());
    if (!Written)
      co_return false;
  }
  ValuesWritten = true;
  co_return true;
}

core::Awaitable<bool> TicketSubmission::archive(AcceptedTicket Dropped) {
  const std::string Key = archiveKey(Dropped.Number);
  while (!expired()) {
    const auto Written =
        co_await Store.put(Key, writeAccepted(Dropped), 0, Deadline);
    // A conflict means that another writer archived the same ticket.
    if (Written.has_value() || Written.error() == Error::Conflict)
      co_return true;
    if (Written.error() != Error::OutcomeUnknown)
      co_return false;
    co_await backOff();
  }
  co_return false;
}

core::Awaitable<TicketSubmission::Decision> TicketSubmission::attempt() {
  const auto Loaded = co_await loadHead(Store, Deadline);
  if (Loaded.has_error())
    co_return makeStoreFailure();
  const auto Known =
      co_await findAccepted(Store, Loaded->Head, Submitted.Number, Deadline);
  if (Known.has_value())
    co_return makeAcceptedResult(*Known);
  if (Known.error() != Error::NotFound)
    co_return makeStoreFailure();
  // The head has a newer version without this ticket, so the write with unknown
  // outcome did not succeed and never will.
  if (UncertainVersion && Loaded->Version > *UncertainVersion)
    UncertainVersion.reset();
  if (auto Lost = findConflict(Loaded->Head))
    co_return Lost;
  if (!co_await writeValues())
    co_return makeStoreFailure();
  const auto &RecentTickets = Loaded->Head.RecentTickets;
  if (RecentTickets.size() >= MaxRecentTickets &&
      !co_await archive(RecentTickets.front()))
    co_return makeStoreFailure();
  const ConfigHead Next = makeNextHead(Loaded->Head);
  const auto Written = co_await Store.put(std::string(HeadKey), writeHead(Next),
                                          Loaded->Version, Deadline);
  if (Written.has_value()) {
    TicketResult Result = makeResult(TicketStatus::Accepted);
    Result.Revision = Next.Revision;
    co_return Result;
  }
  if (Written.error() == Error::OutcomeUnknown)
    UncertainVersion = Loaded->Version;
  else if (Written.error() != Error::Conflict)
    co_return makeStoreFailure();
  co_return std::nullopt;
}

core::Awaitable<void> TicketSubmission::backOff() {
  const auto MaxDelay =
      std::min(MaxBackoff, InitialBackoff * (1U << std::min(Backoffs, 7U)));
  ++Backoffs;
  const std::chrono::milliseconds Delay{
      1 + static_cast<std::int64_t>(
              Random() % static_cast<std::uint64_t>(MaxDelay.count()))};
  co_await Sleeper.sleepUntil(std::min(Deadline, Time.now() + Delay));
}

// The head is written again only after it was read again, and always by
// compare-and-swap on the version that was read. Therefore at most one of a
// delayed earlier write and the new write succeeds.
core::Awaitable<TicketResult> TicketSubmission::run() {
  while (!expired()) {
    Decision Decided = co_await attempt();
    if (Decided)
      co_return std::move(*Decided);
    co_await backOff();
  }
  co_return makeStoreFailure();
}

} // namespace jujubecart::store::internal
