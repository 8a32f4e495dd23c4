#include <criterion/criterion.h>
#include <jujubecart/decision/objective_dispatcher.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>

using namespace jujubecart;
using namespace std::chrono_literals;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

const core::TimePoint Start{1h};

/// @brief Servers on shared machines: work takes Slow times as long in spells,
/// and Knee times as long if all slots are busy; the pace holds for a call.
struct Pattern {
  unsigned Servers = 8;
  unsigned Slots = 2;
  double PerSecond = 28;
  double WorkMs = 120;
  milliseconds Objective = 300ms;
  milliseconds Deadline = 1000ms;
  double SpellShare = 0.25;
  double Slow = 4;
  double Knee = 1.7;
  /// Servers that never answer.
  unsigned Dead = 0;
  double Seconds = 40;
};

struct Outcome {
  unsigned Calls = 0;
  unsigned InTime = 0;
  unsigned Late = 0;
  unsigned Refused = 0;
  milliseconds LongestRefusal{0};
  unsigned MostInFlight = 0;

  [[nodiscard]] double inTime() const { return double(InTime) / Calls; }
  [[nodiscard]] double served() const { return double(InTime + Late) / Calls; }
};

/// @brief Plays a load pattern in simulated time, without a network.
class Play {
public:
  explicit Play(const Pattern &Given)
      : Given(Given), Dispatcher(group(Given), options(), Start),
        Spells(Given.Servers), Running(Given.Servers) {}

  Outcome run() {
    std::exponential_distribution<> Gap(Given.PerSecond);
    std::exponential_distribution<> Spell(1 / 0.3);
    for (unsigned Server = 0; Server < Given.Servers; ++Server)
      changeSpell(Server, Spell);
    double At = 0;
    while ((At += Gap(Random)) < Given.Seconds)
      at(Start + microseconds(std::int64_t(At * 1e6)), [this] { arrive(); });
    tick();
    while (!Events.empty()) {
      const auto Next = Events.begin();
      Now = Next->first;
      const auto Do = std::move(Next->second);
      Events.erase(Next);
      Do();
      probe();
    }
    return Result;
  }

private:
  static decision::DispatchGroup group(const Pattern &Given) {
    decision::DispatchGroup Out{.Name = "g", .Service = "s", .Region = "r"};
    for (unsigned Server = 0; Server < Given.Servers; ++Server)
      Out.Servers.push_back({.Id = std::to_string(Server),
                             .Address = "10.0.0.1:1",
                             .Slots = Given.Slots});
    return Out;
  }
  static decision::DispatcherOptions options() {
    decision::DispatcherOptions Out;
    Out.Profile = core::PolicyProfile::Objective;
    return Out;
  }
  void at(core::TimePoint When, std::function<void()> Do) {
    Events.emplace(When, std::move(Do));
  }
  void changeSpell(unsigned Server, std::exponential_distribution<> &Spell) {
    Spells[Server] =
        std::uniform_real_distribution<>(0, 1)(Random) < Given.SpellShare;
    if (Now < Start + microseconds(std::int64_t(Given.Seconds * 1e6)))
      at(Now + microseconds(std::int64_t(Spell(Random) * 1e6)),
         [this, Server, &Spell] { changeSpell(Server, Spell); });
  }
  void tick() {
    decision::Decisions Out;
    Dispatcher.tick(Now, Out);
    apply(Out);
    if (!Events.empty())
      at(std::max(Dispatcher.nextTick(), Now + 1ms), [this] { tick(); });
  }
  void arrive() {
    const decision::CallToken Token = ++Tokens;
    Arrived[Token] = Now;
    ++Result.Calls;
    decision::Decisions Out;
    Dispatcher.enqueue({.Token = Token,
                        .Holder = "vm",
                        .Deadline = Now + Given.Deadline,
                        .Objective = Now + Given.Objective,
                        .WorkClass = 1},
                       Now, Out);
    apply(Out);
  }
  void apply(const decision::Decisions &Out) {
    for (const decision::Decision &Item : Out) {
      if (const auto *Given = std::get_if<decision::Granted>(&Item)) {
        begin(*Given);
        continue;
      }
      const auto &Failed = std::get<decision::Rejected>(Item);
      ++Result.Refused;
      Result.LongestRefusal = std::max(Result.LongestRefusal,
                                       std::chrono::duration_cast<milliseconds>(
                                           Now - Arrived[Failed.Token]));
    }
  }
  void begin(const decision::Granted &Grant) {
    const unsigned Server = unsigned(std::stoul(Grant.Server.Id));
    const unsigned InFlight = ++Running[Server];
    Result.MostInFlight = std::max(Result.MostInFlight, InFlight);
    std::lognormal_distribution<> Work(std::log(Given.WorkMs) - 0.045, 0.3);
    double Ms = Work(Random) * (Spells[Server] ? Given.Slow : 1) *
                (InFlight == Given.Slots ? Given.Knee : 1);
    const bool Dead = Server < Given.Dead;
    if (Dead)
      Ms = double(Given.Deadline.count());
    const core::TimePoint Begin = Now;
    at(Now + microseconds(std::int64_t(Ms * 1000)),
       [this, Grant, Server, Dead, Begin] {
         --Running[Server];
         core::CallReport Report;
         Report.Elapsed = std::chrono::duration_cast<microseconds>(Now - Begin);
         if (Dead)
           Report.Outcome = core::CallOutcome::TimedOut;
         else
           Report.Load = core::LoadReport{.InFlight = Running[Server],
                                          .PacePercent = pace(Server)};
         const auto Whole = Now - Arrived[Grant.Token];
         if (!Dead && Whole <= Given.Objective)
           ++Result.InTime;
         else if (!Dead && Whole <= Given.Deadline)
           ++Result.Late;
         decision::Decisions Out;
         Dispatcher.release(Grant.GrantId, Report, Now, Out);
         apply(Out);
       });
  }
  [[nodiscard]] std::uint32_t pace(unsigned Server) const {
    return Spells[Server] ? std::uint32_t(100 * Given.Slow) : 100;
  }
  void probe() {
    while (const auto Server = Dispatcher.nextProbe(Now)) {
      const unsigned Index = unsigned(std::stoul(Server->Id));
      if (Index < Given.Dead)
        continue;
      at(Now + 3ms, [this, Index, Id = Server->Id] {
        decision::Decisions Out;
        Dispatcher.probeResult(
            Id,
            {.State = decision::ProbeState::Ok,
             .Load = core::LoadReport{.PacePercent = pace(Index)}},
            Now, Out);
        apply(Out);
      });
    }
  }

  const Pattern Given;
  decision::ObjectiveDispatcher Dispatcher;
  std::mt19937_64 Random{7};
  core::TimePoint Now = Start;
  std::multimap<core::TimePoint, std::function<void()>> Events;
  std::vector<bool> Spells;
  std::vector<unsigned> Running;
  std::map<decision::CallToken, core::TimePoint> Arrived;
  decision::CallToken Tokens = 0;
  Outcome Result;
};

struct Fixture {
  decision::DispatchGroup Group{.Name = "g", .Service = "s", .Region = "r"};
  std::vector<decision::Granted> Grants;
  std::vector<decision::Rejected> Refusals;
  std::unique_ptr<decision::Dispatcher> Dispatcher;
  core::TimePoint Now = Start;
  decision::CallToken Tokens = 0;

  explicit Fixture(unsigned Servers, unsigned Slots = 3) {
    for (unsigned Server = 0; Server < Servers; ++Server)
      Group.Servers.push_back({.Id = std::to_string(Server),
                               .Address = "10.0.0.1:1",
                               .Slots = Slots});
    decision::DispatcherOptions Options;
    Options.Profile = core::PolicyProfile::Objective;
    Dispatcher = decision::makeDispatcher(Group, Options, Now);
  }
  void apply(const decision::Decisions &Out) {
    for (const decision::Decision &Item : Out) {
      if (const auto *Given = std::get_if<decision::Granted>(&Item))
        Grants.push_back(*Given);
      else
        Refusals.push_back(std::get<decision::Rejected>(Item));
    }
  }
  decision::CallToken call(std::uint8_t Priority = 5,
                           std::vector<std::string> Excluded = {}) {
    decision::Decisions Out;
    Dispatcher->enqueue({.Token = ++Tokens,
                         .Holder = "vm",
                         .Deadline = Now + 1000ms,
                         .Priority = Priority,
                         .Excluded = std::move(Excluded),
                         .Objective = Now + 500ms,
                         .WorkClass = 1},
                        Now, Out);
    apply(Out);
    return Tokens;
  }
  void wait(milliseconds Time) {
    Now += Time;
    decision::Decisions Out;
    Dispatcher->tick(Now, Out);
    apply(Out);
  }
  void end(std::size_t Grant, const core::CallReport &Report) {
    decision::Decisions Out;
    Dispatcher->release(Grants[Grant].GrantId, Report, Now, Out);
    apply(Out);
  }
};

} // namespace

// Load pattern: quiet day, neighbours slow each server a quarter of the time.
// Guards against calls that start in a slow spell although others are free.
Test(ObjectiveDispatcher, quiet_load_with_slow_spells_meets_the_objective) {
  const Outcome Got = Play({}).run();
  cr_assert_geq(Got.inTime(), 0.9, "%.3f", Got.inTime());
  cr_assert_eq(Got.Refused, 0);
}

// Load pattern: burst above what the servers can do in time.
// Guards against a queue that serves everybody late.
Test(ObjectiveDispatcher, burst_serves_most_in_time_and_refuses_the_rest_soon) {
  Pattern Given;
  Given.PerSecond = 62;
  const Outcome Got = Play(Given).run();
  // Refusing by a fixed margin reached 0.66 in the model of the notes.
  cr_assert_geq(Got.inTime(), 0.55, "%.3f", Got.inTime());
  cr_assert_leq(Got.LongestRefusal, Given.Deadline);
}

// Load pattern: three slots with a knee, twice the usual rate.
// Guards against servers that are loaded beyond the point where they slow down.
Test(ObjectiveDispatcher, high_load_stays_below_saturation) {
  const Outcome Got = Play({.Servers = 17,
                            .Slots = 3,
                            .PerSecond = 46,
                            .WorkMs = 480,
                            .Objective = 1200ms,
                            .Deadline = 8000ms,
                            .SpellShare = 0.35})
                          .run();
  cr_assert_geq(Got.inTime(), 0.75, "%.3f", Got.inTime());
  cr_assert_geq(Got.served(), 0.95, "%.3f", Got.served());
}

// Load pattern: servers that do not slow down near capacity, at a rate that
// needs all of their slots. Guards against slots that stay empty for good: a
// fixed limit reached 0.82.
Test(ObjectiveDispatcher, servers_without_a_knee_are_used_up_to_all_slots) {
  const Outcome Got = Play({.PerSecond = 75, .Knee = 1}).run();
  cr_assert_geq(Got.inTime(), 0.88, "%.3f", Got.inTime());
}

// Load pattern: servers that slow down steeply near capacity, above the rate
// that they bear. Guards against an assumed slow-down that is too mild: a fixed
// one reached 0.74.
Test(ObjectiveDispatcher, servers_with_a_steep_knee_are_kept_below_it) {
  const Outcome Got = Play({.Slots = 3, .PerSecond = 97.5, .Knee = 2.5}).run();
  cr_assert_geq(Got.inTime(), 0.82, "%.3f", Got.inTime());
}

// Load pattern: two of eight servers accept calls and never answer.
// Guards against dead servers that keep taking calls.
Test(ObjectiveDispatcher, silent_servers_cost_few_calls) {
  const Outcome Got = Play({.Dead = 2}).run();
  cr_assert_geq(Got.inTime(), 0.8, "%.3f", Got.inTime());
}

Test(ObjectiveDispatcher, no_server_refuses_at_once_as_unavailable) {
  Fixture With(1);
  With.call(5, {"0"});
  cr_assert_eq(With.Refusals.size(), 1);
  cr_assert(With.Refusals.front().Reason == core::Error::Unavailable);
  cr_assert_gt(With.Refusals.front().RetryAfter.count(), 0);
}

// Guards against a caller that waits for a probe of a silent server.
Test(ObjectiveDispatcher, unanswered_probes_delay_a_call_by_milliseconds_only) {
  Fixture With(2);
  With.call();
  cr_assert(With.Grants.empty());
  cr_assert(With.Dispatcher->nextProbe(With.Now).has_value());
  With.wait(20ms);
  cr_assert_eq(With.Grants.size(), 1);
}

// Guards against less urgent calls that are served before urgent ones.
Test(ObjectiveDispatcher, urgent_call_is_served_first) {
  Fixture With(1, 1);
  With.call();
  With.wait(20ms);
  cr_assert_eq(With.Grants.size(), 1);
  With.call(2);
  const decision::CallToken Urgent = With.call(1);
  With.wait(20ms);
  With.end(0, {.Elapsed = microseconds(20000)});
  With.wait(20ms);
  cr_assert_geq(With.Grants.size(), 2);
  cr_assert_eq(With.Grants[1].Token, Urgent);
}

// Guards against calls to an address that another process has taken over.
Test(ObjectiveDispatcher,
     replaced_instance_gets_no_calls_until_its_entry_changes) {
  Fixture With(1);
  With.call();
  With.wait(20ms);
  With.end(0, {.Outcome = core::CallOutcome::Rejected, .OtherInstance = true});
  With.call();
  cr_assert(With.Refusals.back().Reason == core::Error::Unavailable);
  With.Group.Servers.front().Incarnation = 2;
  decision::Decisions Out;
  With.Dispatcher->configure(With.Group, With.Now, Out);
  With.call();
  With.wait(20ms);
  cr_assert_eq(With.Grants.size(), 2);
}

// Guards against slots that stay taken after a VM has gone.
Test(ObjectiveDispatcher, dropped_holder_frees_its_grants_and_waiting_calls) {
  Fixture With(1, 1);
  With.call();
  With.wait(20ms);
  With.call();
  decision::Decisions Out;
  With.Dispatcher->dropHolder("vm", With.Now, Out);
  cr_assert_eq(With.Dispatcher->queued(), 0);
  cr_assert_eq(With.Dispatcher->status(With.Now).front().InFlight, 0);
}

// Guards against a slot that counts as free while an adopted call holds it.
Test(ObjectiveDispatcher, each_adopted_call_is_returned_on_its_own) {
  Fixture With(1);
  With.Dispatcher->adopt("other", "0", 2, With.Now);
  cr_assert_eq(With.Dispatcher->status(With.Now).front().InFlight, 2);
  decision::Decisions Out;
  With.Dispatcher->releaseAdopted("other", "0", {}, With.Now, Out);
  cr_assert_eq(With.Dispatcher->status(With.Now).front().InFlight, 1);
  With.Dispatcher->releaseAdopted("other", "0", {}, With.Now, Out);
  With.Dispatcher->releaseAdopted("other", "0", {}, With.Now, Out);
  cr_assert_eq(With.Dispatcher->status(With.Now).front().InFlight, 0);
}

// Guards against draining servers that get new calls.
Test(ObjectiveDispatcher, draining_server_gets_no_calls) {
  Fixture With(2);
  With.Group.Servers[0].State = core::ServerState::Draining;
  decision::Decisions Out;
  With.Dispatcher->configure(With.Group, With.Now, Out);
  for (int Count = 0; Count < 4; ++Count) {
    With.call();
    With.wait(20ms);
  }
  for (const decision::Granted &Each : With.Grants)
    cr_assert_eq(Each.Server.Id, "1");
}
