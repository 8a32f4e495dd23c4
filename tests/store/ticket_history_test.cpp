#include "ticket_history.hpp"

#include <criterion/criterion.h>

using namespace jujubecart;
using store::TicketStatus;
using tests::History;
using tests::HistoryTicket;

namespace {

HistoryTicket ticket(std::uint64_t Number, core::Revision BasedOn,
                     const std::string &Service) {
  return HistoryTicket{.Number = Number,
                       .BasedOn = BasedOn,
                       .Services = {{Service, Number}},
                       .Digest = "d" + std::to_string(Number)};
}

store::TicketResult answer(TicketStatus Status, core::Revision Accepted) {
  store::TicketResult Result;
  Result.Status = Status;
  Result.Accepted = Accepted;
  return Result;
}

// Ticket 1 changes a, ticket 2 changes b, ticket 3 is beaten by ticket 1.
History valid() {
  History Run;
  auto Beaten = answer(TicketStatus::Beaten, 1);
  Beaten.BeatenBy = 1;
  Beaten.Service = "a";
  Run.Submissions = {
      {ticket(1, 0, "a"), answer(TicketStatus::Accepted, 1), 1, 2},
      {ticket(2, 0, "b"), answer(TicketStatus::Accepted, 2), 3, 4},
      {ticket(3, 0, "a"), Beaten, 5, 6}};
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

// Guards against a checker that objects to correct histories.
Test(CheckHistory, valid_history_has_no_violation) {
  cr_assert(tests::checkHistory(valid()).empty());
}

// Guards against a checker that misses a lost update.
Test(CheckHistory, lost_update_is_found) {
  History Run = valid();
  Run.Accepted.push_back({3, "d3", 3});
  Run.Submissions[2].Answer = answer(TicketStatus::Accepted, 3);
  cr_assert(mentions(tests::checkHistory(Run), "lost update"));
}

// Guards against a checker that misses a VM that reverts.
Test(CheckHistory, revert_is_found) {
  History Run = valid();
  std::swap(Run.Observations[0], Run.Observations[1]);
  cr_assert(mentions(tests::checkHistory(Run), "older than the one before"));
}

// Guards against a checker that misses a partly applied ticket.
Test(CheckHistory, torn_ticket_is_found) {
  History Run = valid();
  Run.Submissions[1].Ticket.Services["c"] = 9;
  cr_assert(mentions(tests::checkHistory(Run), "not the state"));
}

// Guards against a checker that accepts a refusal without a winner.
Test(CheckHistory, false_refusal_is_found) {
  History Run = valid();
  Run.Submissions[2].Ticket.BasedOn = 1;
  cr_assert(mentions(tests::checkHistory(Run), "not beaten"));
  Run = valid();
  Run.Submissions[2].Answer->BeatenBy = 2;
  cr_assert(mentions(tests::checkHistory(Run), "wrong winner"));
  Run = valid();
  Run.Submissions[2].Answer = answer(TicketStatus::NumberReused, 0);
  cr_assert(mentions(tests::checkHistory(Run), "number is not reused"));
}

// Guards against a checker that misses untrue responses.
Test(CheckHistory, untrue_response_is_found) {
  History Run = valid();
  Run.Submissions[1].Answer = answer(TicketStatus::Unavailable, 0);
  cr_assert(mentions(tests::checkHistory(Run), "not accepted but accepted"));
  Run = valid();
  Run.Accepted.pop_back();
  Run.Observations.pop_back();
  cr_assert(mentions(tests::checkHistory(Run), "as accepted but is not"));
}

// Guards against a checker that misses two orders or a reordering.
Test(CheckHistory, broken_order_is_found) {
  History Run = valid();
  Run.Accepted[1].Accepted = 1;
  cr_assert(mentions(tests::checkHistory(Run), "gap or duplicate"));
  Run = valid();
  std::swap(Run.Submissions[0].Invoked, Run.Submissions[1].Invoked);
  std::swap(Run.Submissions[0].Returned, Run.Submissions[1].Returned);
  cr_assert(mentions(tests::checkHistory(Run), "before an earlier response"));
}
