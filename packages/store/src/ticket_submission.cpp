#include "ticket_submission.hpp"

#include <jujubecart/core/config_json.hpp>
#include <jujubecart/core/log.hpp>
#include <jujubecart/core/request_id.hpp>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jujubecart::store::internal {

using core::Error;

namespace {

// Delay before another attempt; concurrent operators conflict at most a few
// times, so a short one suffices. The random part keeps them apart.
constexpr std::chrono::milliseconds FirstPause{5};
constexpr std::chrono::milliseconds LongestPause{500};

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

// A ticket is archived before the head drops it. Reading the head first and
// the archive second therefore misses no ticket accepted up to that head.
core::Awaitable<core::Result<AcceptedTicket>>
findAccepted(core::KeyValueStore &Store, const ConfigHead &Head,
             std::uint64_t Number, core::TimePoint Deadline) {
  if (const AcceptedTicket *Recent = Head.findRecent(Number))
    co_return *Recent;
  // Nothing was dropped yet.
  if (Head.Number <= MaxRecentTickets)
    co_return make_error_code(Error::NotFound);
  const auto Stored = co_await Store.get(archiveKey(Number), Deadline);
  if (Stored.has_error())
    co_return Stored.error();
  co_return readAccepted(Stored->Value);
}

bool TicketSubmission::expired() const noexcept {
  return Time.now() >= Deadline;
}

TicketResult TicketSubmission::result(TicketStatus Status) const {
  TicketResult Result;
  Result.Status = Status;
  Result.Number = Change.Number;
  return Result;
}

TicketResult TicketSubmission::storeFailed() const {
  return result(Uncertain ? TicketStatus::Unknown : TicketStatus::Unavailable);
}

TicketResult TicketSubmission::known(const AcceptedTicket &Record) const {
  if (Record.Digest != Change.Digest)
    return result(TicketStatus::NumberReused);
  TicketResult Result = result(TicketStatus::Accepted);
  Result.Accepted = Record.Accepted;
  return Result;
}

TicketSubmission::Decision
TicketSubmission::conflict(const ConfigHead &Head) const {
  if (Change.BasedOn > Head.Number) {
    TicketResult Result = result(TicketStatus::Invalid);
    core::Findings Report("ticket");
    Report.add("/based_on", std::to_string(Change.BasedOn),
               "revision up to " + std::to_string(Head.Number));
    Result.Findings = Report.items();
    return Result;
  }
  for (const auto &[Name, Service] : Change.Services) {
    const auto Entry = Head.Services.find(Name);
    if (Entry == Head.Services.end() || Entry->second.Changed <= Change.BasedOn)
      continue;
    TicketResult Result = result(TicketStatus::Beaten);
    Result.Accepted = Entry->second.Changed;
    Result.BeatenBy = Entry->second.Ticket;
    Result.Service = Name;
    return Result;
  }
  return std::nullopt;
}

ConfigHead TicketSubmission::nextHead(const ConfigHead &Head) const {
  ConfigHead Next = Head;
  ++Next.Number;
  for (const auto &[Name, Service] : Change.Services) {
    const auto Key = Keys.find(Name);
    Next.Services[Name] =
        HeadEntry{.Changed = Next.Number,
                  .Ticket = Change.Number,
                  .Key = Key == Keys.end() ? std::string() : Key->second};
  }
  if (Next.Recent.size() >= MaxRecentTickets)
    Next.Recent.erase(Next.Recent.begin());
  Next.Recent.push_back(AcceptedTicket{.Number = Change.Number,
                                       .Digest = Change.Digest,
                                       .Accepted = Next.Number});
  return Next;
}

// Each attempt uses a new key, so a write with unknown outcome leaves at worst
// a value that no head refers to.
core::Awaitable<bool> TicketSubmission::writeValue(std::string Name,
                                                   std::string Value) {
  while (!expired()) {
    std::string Key = "config/service/" + Name + "/" +
                      std::to_string(Change.Number) + "-" +
                      core::toString(core::RequestId{Random()});
    const auto Written = co_await Store.put(Key, Value, 0, Deadline);
    if (Written.has_value()) {
      Keys[Name] = std::move(Key);
      co_return true;
    }
    if (Written.error() != Error::Conflict &&
        Written.error() != Error::OutcomeUnknown)
      co_return false;
    co_await pause();
  }
  co_return false;
}

core::Awaitable<bool> TicketSubmission::writeValues() {
  if (ValuesWritten)
    co_return true;
  for (const auto &[Name, Service] : Change.Services) {
    if (!Service || Keys.count(Name) != 0)
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
    co_await pause();
  }
  co_return false;
}

core::Awaitable<TicketSubmission::Decision> TicketSubmission::attempt() {
  const auto Loaded = co_await loadHead(Store, Deadline);
  if (Loaded.has_error())
    co_return storeFailed();
  const auto Known =
      co_await findAccepted(Store, Loaded->Head, Change.Number, Deadline);
  if (Known.has_value())
    co_return known(*Known);
  if (Known.error() != Error::NotFound)
    co_return storeFailed();
  // The head has moved on without this ticket, so the uncertain write can
  // never succeed any more.
  if (Uncertain && Loaded->Version > *Uncertain)
    Uncertain.reset();
  if (auto Lost = conflict(Loaded->Head))
    co_return Lost;
  if (!co_await writeValues())
    co_return storeFailed();
  const auto &Recent = Loaded->Head.Recent;
  if (Recent.size() >= MaxRecentTickets && !co_await archive(Recent.front()))
    co_return storeFailed();
  const ConfigHead Next = nextHead(Loaded->Head);
  const auto Written = co_await Store.put(std::string(HeadKey), writeHead(Next),
                                          Loaded->Version, Deadline);
  if (Written.has_value()) {
    TicketResult Result = result(TicketStatus::Accepted);
    Result.Accepted = Next.Number;
    co_return Result;
  }
  if (Written.error() == Error::OutcomeUnknown)
    Uncertain = Loaded->Version;
  else if (Written.error() != Error::Conflict)
    co_return storeFailed();
  co_return std::nullopt;
}

core::Awaitable<void> TicketSubmission::pause() {
  const auto Longest =
      std::min(LongestPause, FirstPause * (1U << std::min(Attempts, 7U)));
  ++Attempts;
  const std::chrono::milliseconds Delay{
      1 + static_cast<std::int64_t>(
              Random() % static_cast<std::uint64_t>(Longest.count()))};
  co_await Delays.sleepUntil(std::min(Deadline, Time.now() + Delay));
}

// The write of the head is repeated only after the head was read again, and
// always as a compare-and-swap on the version that was read: a delayed earlier
// write and the new one exclude each other.
core::Awaitable<TicketResult> TicketSubmission::run() {
  while (!expired()) {
    Decision Decided = co_await attempt();
    if (Decided)
      co_return std::move(*Decided);
    co_await pause();
  }
  co_return storeFailed();
}

} // namespace jujubecart::store::internal
