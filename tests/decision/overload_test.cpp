#include "simulation.hpp"

#include <criterion/criterion.h>

using namespace simulation;
using namespace jujubecart;
using namespace jujubecart::decision;
using namespace std::chrono_literals;

namespace {

/// @brief A dispatcher of one server with one slot and a fake clock.
struct Queue {
  core::TimePoint Now{1h};
  GroupDispatcher Dispatcher;
  Decisions Out;
  CallToken Next = 1;

  explicit Queue(DispatcherOptions Options = {.Margin = 0})
      : Dispatcher({"tags/a/0", "tags", "a", {{.Id = "s0"}}}, Options, Now) {
    call(0);
  }

  CallToken call(std::uint64_t Caller, std::uint8_t Priority = 5,
                 std::chrono::milliseconds Left = 10s) {
    PendingCall Call;
    Call.Token = Next++;
    Call.Deadline = Now + Left;
    Call.CallerHash = Caller;
    Call.Priority = Priority;
    Dispatcher.enqueue(Call, Now, Out);
    return Call.Token;
  }
  // Ends the running call and returns the token of the next one.
  CallToken serveNext() {
    const auto Last = std::get<Granted>(
        *std::find_if(Out.rbegin(), Out.rend(), [](const Decision &Item) {
          return std::holds_alternative<Granted>(Item);
        }));
    Now += 1ms;
    core::CallReport Report;
    Report.Elapsed = 1ms;
    Dispatcher.release(Last.GrantId, Report, Now, Out);
    return std::get<Granted>(Out.back()).Token;
  }
};

} // namespace

// Guards against congestion collapse: at 120% load the capacity must be used,
// rejections must be fast, and latency must return to normal.
Test(Overload, goodput_stays_and_latency_recovers_within_two_seconds) {
  Setting Given;
  Given.Load = 1.2;
  Given.Calls = 25000;
  Given.SwitchAfter = 15000;
  const double End = draws(Given)[Given.SwitchAfter].Arrival;
  Figures Result = dispatched(Given, {});
  unsigned Good = 0;
  double Late = 0;
  Figures After;
  for (const auto &[Time, Latency] : Result.Done) {
    Good += Time > 1000 && Time <= End;
    Late = std::max(Late, Latency);
    if (Time - Latency > End + 2000)
      After.Latency.push_back(Latency);
  }
  cr_assert_geq(Good, 0.95 * 1.6 * (End - 1000));
  cr_assert_leq(Late, Given.DeadlineMs);
  Figures Refusals;
  for (const auto &[Time, Latency] : Result.Refused)
    Refusals.Latency.push_back(Latency);
  cr_assert_gt(Result.Rejected, 1000);
  cr_assert_lt(Refusals.quantile(0.5), 20);
  Given.Load = 0.75;
  Given.SwitchAfter = ~0U;
  cr_assert_leq(After.quantile(0.99),
                1.15 * dispatched(Given, {}).quantile(0.99));
}

// Guards against a call that waits although it cannot meet its deadline, and
// against rejected callers that all return at the same time.
Test(Overload, call_that_cannot_meet_its_deadline_is_rejected_at_once) {
  Queue Fixture;
  for (int Call = 0; Call < 9; ++Call)
    Fixture.call(1);
  std::set<std::int64_t> Hints;
  for (int Call = 0; Call < 8; ++Call) {
    Fixture.call(1, 5, 50ms);
    const auto &Refusal = std::get<Rejected>(Fixture.Out.back());
    cr_assert_eq(Refusal.Reason, core::Error::Overloaded);
    cr_assert_geq(Refusal.RetryAfter, 50ms);
    Hints.insert(Refusal.RetryAfter.count());
  }
  cr_assert_geq(Hints.size(), 4);
  Fixture.call(1, 5, 0ms);
  cr_assert_eq(std::get<Rejected>(Fixture.Out.back()).Reason,
               core::Error::DeadlineExceeded);
}

// Guards against one caller's flood that starves the others.
Test(Overload, flood_of_one_caller_does_not_delay_another) {
  Queue Fixture;
  for (int Call = 0; Call < 500; ++Call)
    Fixture.call(1);
  const CallToken Other = Fixture.call(2);
  const CallToken First = Fixture.serveNext();
  cr_assert(First == Other || Fixture.serveNext() == Other);
  // A full queue drops the flood's newest call, not the other caller's.
  DispatcherOptions Small{.Margin = 0};
  Small.MaxQueued = 10;
  Queue Full(Small);
  for (int Call = 0; Call < 10; ++Call)
    Full.call(1);
  Full.call(2);
  cr_assert_eq(std::get<Rejected>(Full.Out.back()).Token, 11);
}

// Guards against a low priority that is served first, or never.
Test(Overload, lower_priority_gets_one_turn_in_sixteen) {
  Queue Fixture;
  const CallToken Low = Fixture.call(1, 9);
  for (int Round = 1; Round <= 16; ++Round) {
    Fixture.call(2, 1);
    cr_assert_eq(Fixture.serveNext() == Low, Round == 16, "round %d", Round);
  }
}

// Guards against a queue without bound in time: a call that no server takes
// is rejected before its deadline.
Test(Overload, waiting_call_is_rejected_before_its_deadline) {
  Queue Fixture;
  const CallToken Token = Fixture.call(1, 5, 100ms);
  Fixture.Now += 99ms;
  Fixture.Dispatcher.tick(Fixture.Now, Fixture.Out);
  cr_assert_eq(std::get<Rejected>(Fixture.Out.back()).Token, Token);
  cr_assert_not(Fixture.Dispatcher.withdraw(Token, Fixture.Now, Fixture.Out));
}
