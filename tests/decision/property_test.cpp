#include <criterion/criterion.h>
#include <jujubecart/decision.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace jujubecart;
using namespace jujubecart::decision;
using namespace std::chrono_literals;

namespace {

DispatchGroup groupOf(std::size_t Count) {
  DispatchGroup Group{"tags/a/0", "tags", "a", {}};
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Group.Servers.emplace_back().Id = "s" + std::to_string(Index);
    Group.Servers.back().Slots = 1 + Index % 3;
  }
  return Group;
}

/// @brief Applies random events to a GroupDispatcher and checks every decision
/// against its own record of the waiting and running calls.
class Model {
public:
  /// @brief Applies one random event.
  void step() {
    Now += std::chrono::milliseconds(*rc::gen::inRange(0, 30));
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
    case 1:
    case 2:
      enqueue();
      break;
    case 3:
    case 4:
      release();
      break;
    case 5:
      if (!Waiting.empty() && Dispatcher.withdraw(*Waiting.begin(), Now, Out))
        Waiting.erase(Waiting.begin());
      break;
    case 6:
      drain();
      break;
    default:
      Dispatcher.tick(Now, Out);
    }
    check();
  }
  /// @brief Ends all calls; every waiting call must get a decision.
  void finish() {
    Group = groupOf(Group.Servers.size());
    Dispatcher.configure(Group, Now, Out);
    check();
    for (int Round = 0; Round < 400 && !(Waiting.empty() && Running.empty());
         ++Round) {
      Now += 5ms;
      release();
      Dispatcher.tick(Now, Out);
      check();
    }
    RC_ASSERT(Waiting.empty());
  }

private:
  void enqueue() {
    PendingCall Call;
    Call.Token = Next++;
    Call.Holder = "vm" + std::to_string(*rc::gen::inRange(0, 3));
    Call.Deadline = Now + std::chrono::milliseconds(*rc::gen::inRange(-5, 400));
    Call.Priority = std::uint8_t(*rc::gen::inRange(0, 3));
    Call.CallerHash = std::uint64_t(*rc::gen::inRange(0, 4));
    if (*rc::gen::inRange(0, 4) == 0)
      Call.Excluded = {"s0"};
    Excluded[Call.Token] = Call.Excluded;
    Waiting.insert(Call.Token);
    Dispatcher.enqueue(Call, Now, Out);
  }
  void release() {
    if (Running.empty())
      return;
    const auto Ended =
        std::next(Running.begin(), *rc::gen::inRange(0, int(Running.size())));
    core::CallReport Report;
    Report.Outcome = core::CallOutcome(*rc::gen::inRange(0, 6));
    Report.Elapsed = std::chrono::milliseconds(*rc::gen::inRange(0, 50));
    const std::uint64_t Id = Ended->first;
    --InFlight[Ended->second];
    Running.erase(Ended);
    Dispatcher.release(Id, Report, Now, Out);
    check();
    // A repeated release must not free another slot.
    Dispatcher.release(Id, Report, Now, Out);
  }
  // Sets a random server to draining or active.
  void drain() {
    auto &Server = Group.Servers[std::size_t(
        *rc::gen::inRange(0, int(Group.Servers.size())))];
    Server.State = *rc::gen::arbitrary<bool>() ? core::ServerState::Draining
                                               : core::ServerState::Active;
    Dispatcher.configure(Group, Now, Out);
  }
  void check() {
    for (const Decision &Item : std::exchange(Out, {})) {
      const auto *Grant = std::get_if<Granted>(&Item);
      const CallToken Token =
          Grant ? Grant->Token : std::get<Rejected>(Item).Token;
      RC_ASSERT(Waiting.erase(Token) == 1U);
      if (!Grant)
        continue;
      const std::string &Id = Grant->Server.Id;
      RC_ASSERT(Running.emplace(Grant->GrantId, Id).second);
      RC_ASSERT(++InFlight[Id] <= Grant->Server.Slots + Options.Margin);
      RC_ASSERT(Grant->Server.State == core::ServerState::Active);
      RC_ASSERT(
          std::count(Excluded[Token].begin(), Excluded[Token].end(), Id) == 0);
    }
    for (const ServerStatus &Item : Dispatcher.status(Now))
      RC_ASSERT(Item.InFlight == InFlight[Item.Id]);
    RC_ASSERT(Dispatcher.queued() == Waiting.size());
  }

  core::TimePoint Now{1h};
  DispatchGroup Group = groupOf(std::size_t(*rc::gen::inRange(1, 6)));
  DispatcherOptions Options;
  GroupDispatcher Dispatcher{Group, Options, Now};
  Decisions Out;
  CallToken Next = 1;
  std::set<CallToken> Waiting;
  std::map<CallToken, std::vector<std::string>> Excluded;
  std::map<std::uint64_t, std::string> Running;
  std::map<std::string, std::uint32_t> InFlight;
};

} // namespace

// Guards against a grant beyond the limit or to a draining or excluded server,
// a call that gets no decision or two, and a slot that is freed twice, whatever
// the order of events.
Test(Property, invariants_hold_in_any_order_of_events) {
  cr_assert(rc::check("dispatcher invariants", [] {
    Model Checked;
    const int Steps = *rc::gen::inRange(1, 200);
    for (int Step = 0; Step < Steps; ++Step)
      Checked.step();
    Checked.finish();
  }));
}

// Guards against probes beyond the budget in any one-second window when two VMs
// both act as dispatcher, and against probes right after a pause, during which
// another VM may have become the dispatcher.
Test(Probe, two_dispatchers_together_stay_within_the_budget) {
  unsigned Sent[2] = {};
  for (const auto Profile :
       {core::PolicyProfile::Tail, core::PolicyProfile::Cost}) {
    DispatcherOptions Options;
    Options.Profile = Profile;
    core::TimePoint Now{1h};
    GroupDispatcher First(groupOf(20), Options, Now);
    GroupDispatcher Second(groupOf(20), Options, Now);
    std::vector<core::TimePoint> Times;
    const core::TimePoint Paused = Now + 5s;
    core::TimePoint Resumed;
    for (int Ms = 0; Ms < 20000; ++Ms) {
      Now += Now == Paused ? 300ms : 1ms;
      Resumed = Now == Paused + 300ms ? Now : Resumed;
      for (GroupDispatcher *Each : {&First, &Second})
        if (Each->nextProbe(Now))
          Times.push_back(Now);
    }
    cr_assert_geq(Times.front(), core::TimePoint(1h) + 1s);
    for (std::size_t Index = 0; Index < Times.size(); ++Index) {
      cr_assert(Times[Index] < Resumed || Times[Index] >= Resumed + 1s);
      if (Index >= 10)
        cr_assert(Times[Index] - Times[Index - 10] >= 1s);
    }
    Sent[Profile == core::PolicyProfile::Cost] = unsigned(Times.size());
  }
  cr_assert_gt(Sent[1], 0);
  cr_assert_lt(2 * Sent[1], Sent[0]);
}

// Guards against a choice of servers whose CPU cost grows with the size of the
// group.
Test(PickCost, compared_servers_are_bounded) {
  for (const std::size_t Count : {8U, 64U, 930U}) {
    const core::TimePoint Now{1h};
    GroupDispatcher Dispatcher(groupOf(Count), {}, Now);
    Decisions Out;
    for (CallToken Token = 0; Token < 1000; ++Token) {
      PendingCall Call;
      Call.Token = Token;
      Call.Deadline = Now + 1s;
      const std::uint64_t Before = Dispatcher.comparedServers();
      Dispatcher.enqueue(Call, Now, Out);
      cr_assert_leq(Dispatcher.comparedServers() - Before, 160U);
    }
  }
}

// Guards against calls granted by an earlier dispatcher that are not counted,
// so that servers get too many calls, and against a lost connection to a VM
// that keeps the slots of its calls occupied.
Test(Adoption, adopted_calls_count_until_they_end_or_their_vm_is_gone) {
  const core::TimePoint Now{1h};
  GroupDispatcher Dispatcher(groupOf(1), {}, Now);
  Decisions Out;
  Dispatcher.adopt("vm1", "s0", 3, Now);
  Dispatcher.adopt("vm2", "s0", 1, Now);
  PendingCall Call;
  Call.Token = 1;
  Call.Deadline = Now + 1s;
  Dispatcher.enqueue(Call, Now, Out);
  cr_assert(Out.empty());
  Dispatcher.releaseAdopted("vm2", "s0", {}, Now, Out);
  cr_assert(std::holds_alternative<Granted>(Out.at(0)));
  Dispatcher.releaseAdopted("vm2", "s0", {}, Now, Out);
  cr_assert_eq(Dispatcher.status(Now)[0].InFlight, 4);
  Dispatcher.dropHolder("vm1", Now, Out);
  cr_assert_eq(Dispatcher.status(Now)[0].InFlight, 1);
}
