#include "ticket_submission.hpp"

#include <jujubecart/core/log.hpp>
#include <jujubecart/store/ticket_processor.hpp>

namespace jujubecart::store {

namespace internal {

void logDecision(const TicketResult &Result) {
  core::LogLine Line(core::LogLevel::Info, "ticket.decided");
  Line.field("ticket", Result.Number).field("status", toString(Result.Status));
  if (Result.Revision != 0)
    Line.field("revision", Result.Revision);
  if (Result.BeatenBy != 0)
    Line.field("beaten_by", Result.BeatenBy).field("service", Result.Service);
  if (!Result.Findings.empty())
    Line.field("findings", Result.Findings.size());
}

} // namespace internal

std::string_view toString(TicketStatus Status) noexcept {
  switch (Status) {
  case TicketStatus::Accepted:
    return "accepted";
  case TicketStatus::Beaten:
    return "beaten";
  case TicketStatus::NumberReused:
    return "number-reused";
  case TicketStatus::Invalid:
    return "invalid";
  case TicketStatus::Unknown:
    return "unknown";
  case TicketStatus::Unavailable:
    return "unavailable";
  }
  return "unknown";
}

TicketProcessor::TicketProcessor(core::KeyValueStore &Store,
                                 const core::Clock &Time,
                                 core::Sleeper &Sleeper, RandomSource Random)
    : Store(Store), Time(Time), Sleeper(Sleeper), Random(std::move(Random)) {}

core::Awaitable<TicketResult>
TicketProcessor::submit(std::string Text, std::string File,
                        core::TimePoint Deadline) {
  core::Findings Report(std::move(File));
  auto Parsed = parseTicket(Text, Report);
  TicketResult Result;
  if (Parsed) {
    internal::TicketSubmission Submission(Store, Time, Sleeper, Random,
                                          std::move(*Parsed), Deadline);
    Result = co_await Submission.run();
  } else {
    Result.Status = TicketStatus::Invalid;
    Result.Findings = Report.items();
  }
  internal::logDecision(Result);
  co_return Result;
}

core::Awaitable<core::Result<AcceptedTicket>>
TicketProcessor::findAccepted(std::uint64_t Number, core::TimePoint Deadline) {
  const auto Loaded = co_await internal::loadHead(Store, Deadline);
  if (Loaded.has_error())
    co_return Loaded.error();
  co_return co_await internal::findAccepted(Store, Loaded->Head, Number,
                                            Deadline);
}

} // namespace jujubecart::store
