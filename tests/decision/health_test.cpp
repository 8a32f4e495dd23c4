#include "simulation.hpp"

#include <criterion/criterion.h>

using namespace simulation;
using namespace jujubecart;
using namespace jujubecart::decision;
using namespace std::chrono_literals;

namespace {

core::CallReport rejection() {
  core::CallReport Report;
  Report.Outcome = core::CallOutcome::Rejected;
  return Report;
}

// Workload of 20000 calls; a server rejects a call at time Now, in
// milliseconds, if Fails returns true.
SimulationConfig
configWithFault(std::function<bool(unsigned Server, double Now)> Fails) {
  SimulationConfig Config;
  Config.Calls = 20000;
  Config.Fault = [Fails = std::move(Fails)](unsigned Server, double Now) {
    return Fails(Server, Now) ? std::optional(rejection()) : std::nullopt;
  };
  return Config;
}

// Fraction of the grants from time From on, in milliseconds, that went to a
// server.
double grantShare(const SimulationResult &Result, unsigned Server,
                  double From) {
  double All = 0;
  double Own = 0;
  for (const auto &[Time, Id] : Result.Grants) {
    All += Time >= From;
    Own += Time >= From && Id == Server;
  }
  return Own / All;
}

DispatchGroup groupOf(std::size_t Count) {
  DispatchGroup Group{"tags/a/0", "tags", "a", {}};
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Group.Servers.emplace_back().Id = "s" + std::to_string(Index);
    Group.Servers.back().Slots = 2;
  }
  return Group;
}

/// @brief GroupDispatcher with a fake clock and without a network.
struct Driver {
  core::TimePoint Now{1h};
  GroupDispatcher Dispatcher;
  CallToken Next = 1;

  explicit Driver(std::size_t Servers, const DispatcherOptions &Options = {})
      : Dispatcher(groupOf(Servers), Options, Now) {}

  std::optional<Granted> call() {
    PendingCall Call;
    Call.Token = Next++;
    Call.Deadline = Now + 1s;
    Decisions Out;
    Dispatcher.enqueue(Call, Now, Out);
    for (const Decision &Item : Out)
      if (const auto *Grant = std::get_if<Granted>(&Item))
        return *Grant;
    return std::nullopt;
  }
  Decisions finish(const Granted &Grant, const core::CallReport &Report = {}) {
    Decisions Out;
    Dispatcher.release(Grant.GrantId, Report, Now, Out);
    return Out;
  }
  ServerStatus status(std::size_t Index) {
    return Dispatcher.status(Now)[Index];
  }
};

// Enqueues a call and expects a grant on a server.
Granted callGrantedBy(Driver &Fixture, std::string_view Expected) {
  const auto Grant = Fixture.call();
  cr_assert(Grant && Grant->Server.Id == Expected);
  return *Grant;
}

} // namespace

// Guards against a server that attracts calls by failing fast: it rejects each
// call within a millisecond, so it always looks free.
Test(Health, fail_fast_server_gets_at_most_one_percent_after_300_ms) {
  const SimulationResult Result =
      simulateDispatcher(configWithFault([](unsigned Server, double Now) {
                           return Server == 2 && Now > 2000;
                         }),
                         {});
  cr_assert_gt(Result.Failed, 0);
  cr_assert_leq(grantShare(Result, 2, 2300), 0.01);
  cr_assert_leq(Result.Failed, Result.Grants.size() / 500);
}

// Guards against one fault hiding another: while a slow server is avoided, the
// dispatcher must not return to the server that fails fast.
Test(Health, fail_fast_server_stays_ejected_while_another_is_slow) {
  SimulationConfig Config = configWithFault(
      [](unsigned Server, double Now) { return Server == 2 && Now > 2000; });
  Config.SlowIntervals = slowEpisodes(20000, 1);
  const SimulationResult Result = simulateDispatcher(Config, {});
  cr_assert_leq(grantShare(Result, 2, 2300), 0.01);
  cr_assert_leq(Result.Rejected, Config.Calls / 100);
}

// Guards against a flapping server that gets its full load back after each
// recovery and fails those calls.
Test(Health, flapping_server_fails_few_calls) {
  const SimulationResult Result =
      simulateDispatcher(configWithFault([](unsigned Server, double Now) {
                           return Server == 2 && std::fmod(Now, 200) < 100;
                         }),
                         {});
  cr_assert_leq(Result.Failed, Result.Grants.size() / 50, "%u of %zu failed",
                Result.Failed, Result.Grants.size());
}

// Guards against a group that stays without servers after a fault that made all
// of them fail at once: after it, every server must get calls again.
Test(Health, all_servers_unhealthy_at_once_are_all_used) {
  const SimulationResult Result =
      simulateDispatcher(configWithFault([](unsigned, double Now) {
                           return Now > 2000 && Now < 3000;
                         }),
                         {});
  for (unsigned Server = 0; Server < 8; ++Server)
    cr_assert_geq(grantShare(Result, Server, 5500), 0.05, "server %u", Server);
}

// Guards against the ejection of more than half of a group when six of eight
// servers fail, which would overload the rest.
Test(Health, at_most_half_of_the_servers_are_ejected) {
  Driver Fixture(8);
  for (int Round = 0; Round < 200; ++Round) {
    if (const auto Grant = Fixture.call())
      Fixture.finish(*Grant, Grant->Server.Id < "s6" ? rejection()
                                                     : core::CallReport{});
    Fixture.Now += 1ms;
  }
  const auto All = Fixture.Dispatcher.status(Fixture.Now);
  cr_assert_eq(std::count_if(All.begin(), All.end(),
                             [](const ServerStatus &Item) {
                               return Item.Health == ServerHealth::Ejected;
                             }),
               4);
}

// Guards against new calls on a server that operators drain or that reported
// draining in a response, while its health endpoint lags behind and still says
// ok.
Test(Health, draining_server_gets_no_grant) {
  for (const bool ByOperator : {false, true}) {
    Driver Fixture(3);
    Decisions Out;
    if (ByOperator) {
      DispatchGroup Group = groupOf(3);
      Group.Servers[0].State = core::ServerState::Draining;
      Fixture.Dispatcher.configure(Group, Fixture.Now, Out);
    } else {
      core::CallReport Report;
      Report.Draining = true;
      std::optional<Granted> Grant;
      while (!Grant || Grant->Server.Id != "s0")
        Grant = Fixture.call();
      Fixture.finish(*Grant, Report);
    }
    for (int Round = 0; Round < 3000; ++Round) {
      Fixture.Now += 1ms;
      Fixture.Dispatcher.recordProbe("s0", {ProbeState::Ok, {}}, Fixture.Now,
                                     Out);
      Fixture.Dispatcher.tick(Fixture.Now, Out);
      if (const auto Grant = Fixture.call()) {
        cr_assert_neq(Grant->Server.Id, "s0");
        Fixture.finish(*Grant);
      }
    }
    cr_assert_eq(Fixture.status(0).Health, ServerHealth::Draining);
    // After the endpoint itself has reported draining, its next ok is current
    // and ends the draining state, unless operators set it.
    Fixture.Dispatcher.recordProbe("s0", {ProbeState::Draining, {}},
                                   Fixture.Now, Out);
    Fixture.Dispatcher.recordProbe("s0", {ProbeState::Ok, {}}, Fixture.Now,
                                   Out);
    cr_assert_eq(Fixture.status(0).Health,
                 ByOperator ? ServerHealth::Draining : ServerHealth::Ramping);
  }
}

// Guards against a cold server that gets its full load as soon as it is added.
Test(Health, added_server_starts_slowly_over_two_seconds) {
  Driver Fixture(2);
  Decisions Out;
  Fixture.Dispatcher.configure(groupOf(3), Fixture.Now, Out);
  std::uint32_t Last = 1;
  for (int Ms = 0; Ms <= 2000; Ms += 100, Fixture.Now += 100ms) {
    const std::uint32_t Limit = Fixture.status(2).Limit;
    cr_assert_eq(Limit, 1 + 4 * Ms / 2000);
    cr_assert_geq(Limit, Last);
    Last = Limit;
  }
  cr_assert_eq(Fixture.status(0).Limit, Last);
}

// Guards against a health endpoint that contradicts call results: probes must
// neither readmit a server whose calls fail nor eject one whose calls succeed.
Test(Health, call_results_outweigh_the_health_endpoint) {
  Driver Fixture(4);
  Decisions Out;
  for (int Step = 0; Step < 150; ++Step) {
    Fixture.Now += 1ms;
    // Six concurrent calls reach all four servers.
    std::vector<Granted> Round;
    Round.reserve(6);
    for (int Call = 0; Call < 6; ++Call)
      Round.push_back(*Fixture.call());
    for (const Granted &Grant : Round)
      Fixture.finish(Grant, Grant.Server.Id == "s1" ? rejection()
                                                    : core::CallReport{});
    Fixture.Dispatcher.recordProbe("s1", {ProbeState::Ok, {}}, Fixture.Now,
                                   Out);
    for (const char *Id : {"s0", "s2", "s3"})
      Fixture.Dispatcher.recordProbe(Id, {ProbeState::Unreachable, {}},
                                     Fixture.Now, Out);
  }
  for (std::size_t Index = 0; Index < 4; ++Index)
    cr_assert_eq(Fixture.status(Index).Health,
                 Index == 1 ? ServerHealth::Ejected : ServerHealth::Active);
}

// Guards against grants to a server that does not respond while another one has
// a free slot.
Test(Health, suspect_server_gets_nothing_while_others_are_free) {
  Driver Fixture(2);
  // Fill all slots of both servers, then end only the calls of s1.
  std::vector<Granted> Started;
  Started.reserve(4);
  for (int Call = 0; Call < 4; ++Call)
    Started.push_back(*Fixture.call());
  Fixture.Now += 10ms;
  for (const Granted &Grant : Started)
    if (Grant.Server.Id == "s1")
      Fixture.finish(Grant);
  Fixture.Now += 100ms;
  cr_assert_eq(Fixture.status(0).Health, ServerHealth::Suspect);
  for (int Round = 0; Round < 100; ++Round)
    Fixture.finish(callGrantedBy(Fixture, "s1"));
}
