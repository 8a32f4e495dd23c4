#include "simulation.hpp"

#include <criterion/criterion.h>

using namespace simulation;
using namespace jujubecart;
using namespace jujubecart::decision;
using namespace std::chrono_literals;

namespace {

/// @brief A dispatcher of one server with one slot, which the first call
/// occupies, and a manual clock.
struct BusyServer {
  core::TimePoint Now{1h};
  GroupDispatcher Dispatcher;
  Decisions Out;
  CallToken NextToken = 1;

  explicit BusyServer(const DispatcherOptions &Options = {.Margin = 0})
      : Dispatcher({"tags/a/0", "tags", "a", {{.Id = "s0"}}}, Options, Now) {
    call(0);
  }

  /// @brief Enqueues a call.
  /// @param TimeLeft Time until its deadline.
  CallToken call(std::uint64_t Caller, std::uint8_t Priority = 5,
                 std::chrono::milliseconds TimeLeft = 10s) {
    PendingCall Call;
    Call.Token = NextToken++;
    Call.Deadline = Now + TimeLeft;
    Call.CallerHash = Caller;
    Call.Priority = Priority;
    Dispatcher.enqueue(Call, Now, Out);
    return Call.Token;
  }
  /// @brief Ends the running call after 1 ms.
  /// @return Token of the call that is granted next.
  CallToken serveNext() {
    const auto Running = std::get<Granted>(
        *std::find_if(Out.rbegin(), Out.rend(), [](const Decision &Item) {
          return std::holds_alternative<Granted>(Item);
        }));
    Now += 1ms;
    core::CallReport Report;
    Report.Elapsed = 1ms;
    Dispatcher.release(Running.GrantId, Report, Now, Out);
    return std::get<Granted>(Out.back()).Token;
  }
};

} // namespace

// Guards against congestion collapse: at 120% load the throughput of completed
// calls must stay near the capacity, rejections must be fast, and latency must
// return to normal within two seconds after the overload.
Test(Overload, goodput_stays_and_latency_recovers_within_two_seconds) {
  SimulationConfig Config;
  Config.Load = 1.2;
  Config.Calls = 25000;
  Config.SwitchAfter = 15000;
  const double OverloadEnd = generateCalls(Config)[Config.SwitchAfter].Arrival;
  SimulationResult Result = simulateDispatcher(Config, {});
  unsigned CompletedInOverload = 0;
  double MaxLatency = 0;
  SimulationResult Recovered;
  for (const auto &[Time, Latency] : Result.Completions) {
    CompletedInOverload += Time > 1000 && Time <= OverloadEnd;
    MaxLatency = std::max(MaxLatency, Latency);
    if (Time - Latency > OverloadEnd + 2000)
      Recovered.Latency.push_back(Latency);
  }
  // Capacity: 8 servers with 2 slots and 10 ms per call, 1.6 calls per ms.
  cr_assert_geq(CompletedInOverload, 0.95 * 1.6 * (OverloadEnd - 1000));
  cr_assert_leq(MaxLatency, Config.DeadlineMs);
  SimulationResult Rejections;
  for (const auto &[Time, Latency] : Result.Rejections)
    Rejections.Latency.push_back(Latency);
  cr_assert_gt(Result.Rejected, 1000);
  cr_assert_lt(Rejections.quantile(0.5), 20);
  Config.Load = 0.75;
  Config.SwitchAfter = ~0U;
  cr_assert_leq(Recovered.quantile(0.99),
                1.15 * simulateDispatcher(Config, {}).quantile(0.99));
}

// Guards against a call that waits although it cannot meet its deadline, and
// against rejected callers that all retry at the same time because their
// Retry-After times lack jitter.
Test(Overload, call_that_cannot_meet_its_deadline_is_rejected_at_once) {
  BusyServer Fixture;
  for (int Call = 0; Call < 9; ++Call)
    Fixture.call(1);
  std::set<std::int64_t> RetryTimes;
  for (int Call = 0; Call < 8; ++Call) {
    Fixture.call(1, 5, 50ms);
    const auto &Rejection = std::get<Rejected>(Fixture.Out.back());
    cr_assert_eq(Rejection.Reason, core::Error::Overloaded);
    cr_assert_geq(Rejection.RetryAfter, 50ms);
    RetryTimes.insert(Rejection.RetryAfter.count());
  }
  cr_assert_geq(RetryTimes.size(), 4);
  Fixture.call(1, 5, 0ms);
  cr_assert_eq(std::get<Rejected>(Fixture.Out.back()).Reason,
               core::Error::DeadlineExceeded);
}

// Guards against starvation: the many waiting calls of one caller must not
// delay the call of another, nor get it rejected when the queue is full.
Test(Overload, many_calls_of_one_caller_do_not_delay_another) {
  BusyServer Fixture;
  for (int Call = 0; Call < 500; ++Call)
    Fixture.call(1);
  const CallToken OtherCaller = Fixture.call(2);
  const CallToken First = Fixture.serveNext();
  cr_assert(First == OtherCaller || Fixture.serveNext() == OtherCaller);
  // A full queue rejects the newest call of the caller with many calls, not the
  // call of the other caller.
  DispatcherOptions Small{.Margin = 0};
  Small.MaxQueued = 10;
  BusyServer Full(Small);
  for (int Call = 0; Call < 10; ++Call)
    Full.call(1);
  Full.call(2);
  cr_assert_eq(std::get<Rejected>(Full.Out.back()).Token, 11);
}

// Guards against calls of low priority that are served before others, or never
// while calls of higher priority keep arriving.
Test(Overload, lower_priority_gets_one_turn_in_sixteen) {
  BusyServer Fixture;
  const CallToken Low = Fixture.call(1, 9);
  for (int Round = 1; Round <= 16; ++Round) {
    Fixture.call(2, 1);
    cr_assert_eq(Fixture.serveNext() == Low, Round == 16, "round %d", Round);
  }
}

// Guards against an unbounded queue time: a call that no server can take must
// be rejected before its deadline.
Test(Overload, waiting_call_is_rejected_before_its_deadline) {
  BusyServer Fixture;
  const CallToken Token = Fixture.call(1, 5, 100ms);
  Fixture.Now += 99ms;
  Fixture.Dispatcher.tick(Fixture.Now, Fixture.Out);
  cr_assert_eq(std::get<Rejected>(Fixture.Out.back()).Token, Token);
  cr_assert_not(Fixture.Dispatcher.withdraw(Token, Fixture.Now, Fixture.Out));
}
