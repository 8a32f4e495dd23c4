#include <algorithm>
#include <criterion/criterion.h>
#include <jujubecart/decision/dispatcher.hpp>
#include <map>
#include <random>

using namespace jujubecart;
using namespace jujubecart::decision;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Start{1h};

DispatcherOptions optionsOf(core::PolicyProfile Profile) {
  DispatcherOptions Options;
  Options.Profile = Profile;
  Options.RampTime = 0ms;
  return Options;
}

/// @brief Outcome in words, without the id of a grant.
std::string describe(const std::optional<Decision> &Item) {
  if (!Item)
    return "waits";
  if (const auto *Grant = std::get_if<Granted>(&*Item))
    return "granted " + Grant->Server.Id;
  return "rejected " + std::to_string(int(std::get<Rejected>(*Item).Reason));
}

/// @brief Decision on a call among others, if any.
std::optional<Decision> decisionOn(CallToken Token, const Decisions &All) {
  for (const Decision &Each : All)
    if (std::visit([&](const auto &Item) { return Item.Token == Token; }, Each))
      return Each;
  return std::nullopt;
}

/// @brief A dispatcher under load, with servers that reject some calls.
struct Driver {
  std::unique_ptr<Dispatcher> Target;
  core::TimePoint Now = Start;
  std::minstd_rand Random{7};
  std::multimap<core::TimePoint, std::uint64_t> Running;
  std::vector<std::string> Log;

  explicit Driver(core::PolicyProfile Profile) {
    DispatchGroup Group{"s/r/0", "s", "r", {}};
    for (const char *Id : {"a1", "a2", "b1", "b2"})
      Group.Servers.push_back(
          {.Id = Id, .Zone = std::string(1, *Id), .Slots = 2});
    Target = makeDispatcher(Group, optionsOf(Profile), Now);
  }

  [[nodiscard]] PendingCall nextCall(CallToken Token) const {
    return {.Token = Token,
            .Holder = "vm",
            .Deadline = Now + 400ms,
            .Priority = static_cast<std::uint8_t>(Token % 3),
            .Zone = Token % 2 == 0 ? "a" : "b",
            .Objective = Now + 200ms,
            .WorkClass = 1,
            .Workspace = Token % 5};
  }

  void record(const Decisions &Out) {
    for (const Decision &Each : Out) {
      Log.push_back(describe(Each));
      if (const auto *Grant = std::get_if<Granted>(&Each))
        Running.emplace(Now + std::chrono::milliseconds(20 + Random() % 60),
                        Grant->GrantId);
    }
  }

  /// @brief Ends what is due, then adds a call.
  /// @return What became of it at once.
  std::optional<Decision> step(CallToken Token) {
    Decisions Out;
    while (!Running.empty() && Running.begin()->first <= Now) {
      core::CallReport Report;
      Report.Elapsed = 40ms;
      Report.Load = core::LoadReport{};
      if (Random() % 8 == 0)
        Report.Outcome = core::CallOutcome::Rejected;
      Target->release(Running.begin()->second, Report, Now, Out);
      Running.erase(Running.begin());
    }
    Target->tick(Now, Out);
    while (const auto Probe = Target->nextProbe(Now))
      Target->recordProbe(Probe->Id,
                          {.State = ProbeState::Ok, .Load = core::LoadReport{}},
                          Now, Out);
    record(Out);
    Out.clear();
    Target->enqueue(nextCall(Token), Now, Out);
    record(Out);
    return decisionOn(Token, Out);
  }
};

} // namespace

// Guards against a preview that uses a slot, a random number, a probe or a
// waiting call: a dispatcher that is asked decides as its twin that is not.
Test(CallPreview, dispatcher_that_is_asked_decides_as_before) {
  for (const auto Profile :
       {core::PolicyProfile::Tail, core::PolicyProfile::Objective}) {
    Driver Asked(Profile);
    Driver Twin(Profile);
    std::map<std::string, int> Outcomes;
    for (CallToken Token = 1; Token <= 1500; ++Token) {
      Asked.Now += 1ms * (Token % 500 < 250 ? 1 : 12);
      Twin.Now = Asked.Now;
      const CallPreview First =
          Asked.Target->preview(Asked.nextCall(Token), Asked.Now);
      cr_assert_eq(First.Waiting, Asked.Target->queued());
      cr_assert_eq(
          describe(First.Outcome),
          describe(
              Asked.Target->preview(Asked.nextCall(Token), Asked.Now).Outcome));
      ++Outcomes[describe(First.Outcome).substr(0, 7)];
      (void)Asked.step(Token);
      (void)Twin.step(Token);
      cr_assert_eq(Asked.Target->queued(), Twin.Target->queued());
    }
    cr_assert(Asked.Log == Twin.Log);
    cr_assert_eq(Outcomes.size(), 3, "granted, rejected and waiting calls");
  }
}

// Guards against an order that is not the one in which calls are placed: while
// nothing happens in between, a call gets what its preview says.
Test(CallPreview, call_gets_what_its_preview_says) {
  for (const auto Profile :
       {core::PolicyProfile::Tail, core::PolicyProfile::Objective}) {
    Driver Load(Profile);
    int Compared = 0;
    for (CallToken Token = 1; Token <= 1000; ++Token) {
      Load.Now += 1ms * (Token % 500 < 250 ? 3 : 12);
      (void)Load.step(Token);
      const PendingCall Call = Load.nextCall(1000000 + Token);
      const CallPreview Expected = Load.Target->preview(Call, Load.Now);
      if (!Expected.Outcome || !Expected.Probed.empty())
        continue;
      Decisions Out;
      Load.Target->enqueue(Call, Load.Now, Out);
      // The arrival can decide on waiting calls, too.
      const std::optional<Decision> Got = decisionOn(Call.Token, Out);
      cr_assert_eq(describe(Got), describe(Expected.Outcome));
      if (std::holds_alternative<Granted>(*Expected.Outcome))
        cr_assert_eq(describe(Got),
                     "granted " + Expected.Servers.front().Status.Id);
      Load.record(Out);
      ++Compared;
    }
    cr_assert_geq(Compared, 150);
  }
}

// Guards against a server without its reason, and against a server that may get
// no call among the candidates.
Test(CallPreview, each_server_has_the_reason_for_its_place) {
  for (const auto Profile :
       {core::PolicyProfile::Tail, core::PolicyProfile::Objective}) {
    DispatchGroup Group{"s/r/0", "s", "r", {}};
    for (const char *Id : {"cold", "drain", "far", "full", "gone", "near"})
      Group.Servers.push_back(
          {.Id = Id,
           .Zone = std::string_view(Id) == "far" ? "b" : "a",
           .Slots = 4});
    Group.Servers[0].ColdUntil = Start + 10s;
    Group.Servers[0].ColdLimit = {.MilliPerS = 1};
    Group.Servers[1].State = core::ServerState::Draining;
    Group.Servers[3].Slots = 1;
    const auto Target = makeDispatcher(Group, optionsOf(Profile), Start);
    Decisions Out;
    Target->adopt("vm", "full", 20, Start);
    const PendingCall Call{.Token = 1,
                           .Holder = "vm",
                           .Deadline = Start + 400ms,
                           .Excluded = {"gone"},
                           .Zone = "a"};
    const CallPreview Result = Target->preview(Call, Start + 1ms);
    std::string Places;
    for (const ServerPreview &Each : Result.Servers)
      Places += Each.Status.Id + ":" + std::string(toString(Each.Verdict)) +
                (Each.OtherZone ? " other" : "") + (Each.Cold ? " cold" : "") +
                ";";
    cr_assert_str_eq(Places.c_str(),
                     "near:candidate;far:candidate other;"
                     "cold:rate limited cold;drain:draining;full:full;"
                     "gone:excluded;");
  }
}
