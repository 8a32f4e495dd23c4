#include "ticket_history.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;
using store::TicketStatus;
using tests::History;
using tests::HistoryTicket;

namespace {

HistoryTicket makeTicket(std::uint64_t Number, core::Revision BasedOn,
                         const std::string &Service) {
  return HistoryTicket{.Number = Number,
                       .BasedOn = BasedOn,
                       .Services = {{Service, Number}},
                       .Digest = "d" + std::to_string(Number)};
}

store::TicketResult makeResult(TicketStatus Status, core::Revision Revision) {
  store::TicketResult Result;
  Result.Status = Status;
  Result.Revision = Revision;
  return Result;
}

// Ticket 1 changes service a, ticket 2 changes service b, and ticket 3 is
// rejected because ticket 1 has changed service a since its base revision.
History makeValidHistory() {
  History Run;
  auto Beaten = makeResult(TicketStatus::Beaten, 1);
  Beaten.BeatenBy = 1;
  Beaten.Service = "a";
  Run.Submissions = {
      {makeTicket(1, 0, "a"), makeResult(TicketStatus::Accepted, 1), 1, 2},
      {makeTicket(2, 0, "b"), makeResult(TicketStatus::Accepted, 2), 3, 4},
      {makeTicket(3, 0, "a"), Beaten, 5, 6}};
  Run.Accepted = {{1, "d1", 1}, {2, "d2", 2}};
  Run.Observations = {{"v", 1, {{"a", 1}}}, {"v", 2, {{"a", 1}, {"b", 2}}}};
  return Run;
}

bool mentions(const std::vector<std::string> &Lines, const std::string &Text) {
  for (const std::string &Line : Lines)
    if (Line.find(Text) != std::string::npos)
      return true;
  return false;
}

} // namespace

// Guards against a checker that reports violations in a correct history.
Test(CheckHistory, valid_history_has_no_violation) {
  cr_assert(tests::checkHistory(makeValidHistory()).empty());
}

// Guards against a checker that misses a lost update: a ticket that was
// accepted although its service had changed since its base revision.
Test(CheckHistory, lost_update_is_found) {
  History Run = makeValidHistory();
  Run.Accepted.push_back({3, "d3", 3});
  Run.Submissions[2].Response = makeResult(TicketStatus::Accepted, 3);
  cr_assert(mentions(tests::checkHistory(Run), "lost update"));
}

// Guards against a checker that misses a VM that applies an older revision
// after a newer one.
Test(CheckHistory, revert_is_found) {
  History Run = makeValidHistory();
  std::swap(Run.Observations[0], Run.Observations[1]);
  cr_assert(
      mentions(tests::checkHistory(Run), "older than the previous revision"));
}

// Guards against a checker that misses a VM that applied only some services of
// a ticket.
Test(CheckHistory, partly_applied_ticket_is_found) {
  History Run = makeValidHistory();
  Run.Submissions[1].Ticket.Services["c"] = 9;
  cr_assert(mentions(tests::checkHistory(Run), "not the state"));
}

// Guards against a checker that accepts a rejection without the conflicting
// change, with the wrong conflicting ticket, or for a number that is not
// reused.
Test(CheckHistory, wrong_rejection_is_found) {
  History Run = makeValidHistory();
  Run.Submissions[2].Ticket.BasedOn = 1;
  cr_assert(mentions(tests::checkHistory(Run), "not beaten"));
  Run = makeValidHistory();
  Run.Submissions[2].Response->BeatenBy = 2;
  cr_assert(mentions(tests::checkHistory(Run), "wrong conflicting ticket"));
  Run = makeValidHistory();
  Run.Submissions[2].Response = makeResult(TicketStatus::NumberReused, 0);
  cr_assert(mentions(tests::checkHistory(Run), "number is not reused"));
}

// Guards against a checker that misses a response that contradicts the accepted
// tickets.
Test(CheckHistory, wrong_response_is_found) {
  History Run = makeValidHistory();
  Run.Submissions[1].Response = makeResult(TicketStatus::Unavailable, 0);
  cr_assert(mentions(tests::checkHistory(Run), "not accepted but accepted"));
  Run = makeValidHistory();
  Run.Accepted.pop_back();
  Run.Observations.pop_back();
  cr_assert(mentions(tests::checkHistory(Run), "as accepted but is not"));
}

// Guards against a checker that misses a revision that was given to two
// tickets, or a ticket that is ordered before one whose response came earlier.
Test(CheckHistory, broken_order_is_found) {
  History Run = makeValidHistory();
  Run.Accepted[1].Revision = 1;
  cr_assert(mentions(tests::checkHistory(Run), "gap or duplicate"));
  Run = makeValidHistory();
  std::swap(Run.Submissions[0].Invoked, Run.Submissions[1].Invoked);
  std::swap(Run.Submissions[0].Returned, Run.Submissions[1].Returned);
  cr_assert(mentions(tests::checkHistory(Run),
                     "before a ticket with an earlier response"));
}
