#include "rate_limit_fixture.hpp"

using namespace rate_limit_fixture;

namespace {

constexpr core::RateLimit ColdLimit{.MilliPerS = 3600};

/// @brief Most requests that a server got in one second of a time.
std::size_t mostPerSecond(RateLimitFixture &Setup, const std::string &Server,
                          core::TimePoint From, core::TimePoint Until) {
  std::size_t Most = 0;
  const std::vector<core::TimePoint> &Times = Setup.Sent[Server];
  for (const core::TimePoint First : Times)
    if (First >= From)
      Most = std::max(Most,
                      static_cast<std::size_t>(std::count_if(
                          Times.begin(), Times.end(), [&](core::TimePoint At) {
                            return At >= First && At < First + 1s && At < Until;
                          })));
  return Most;
}

/// @brief Makes servers cold for a time as from their entries.
void makeCold(RateLimitFixture &Setup, std::size_t Count,
              std::chrono::milliseconds Time) {
  for (std::size_t Server = 0; Server < Count; ++Server) {
    Setup.Group.Servers[Server].ColdUntil = Setup.Now + Time;
    Setup.Group.Servers[Server].ColdLimit = ColdLimit;
  }
  decision::Decisions Out;
  for (std::size_t Index = 0; Index < Setup.Dispatchers.size(); ++Index) {
    Out.clear();
    Setup.Dispatchers[Index]->configure(Setup.Group, Setup.Now, Out);
    Setup.record(Index, Out);
  }
}

/// @brief Most requests per second that a server whose limit is ColdLimit
/// survives.
constexpr std::size_t MaxColdRequests = 13;

} // namespace

// Guards against a server that becomes cold under load and gets more than it
// bears, from the regular dispatcher and others together, or nothing at all,
// also after its cold start.
Test(RateLimit, server_that_becomes_cold_gets_only_what_it_bears) {
  for (const auto Profile :
       {core::PolicyProfile::Tail, core::PolicyProfile::Objective})
    for (const bool Rotates : {false, true}) {
      RateLimitFixture Setup(Profile);
      Setup.addBackup();
      Setup.addBackup();
      Setup.Rotates = Rotates;
      Setup.run(3s, 50);
      const core::TimePoint Since = Setup.Now;
      makeCold(Setup, 1, 3s);
      Setup.run(3s, 50);
      cr_expect_leq(mostPerSecond(Setup, "0", Since, Setup.Now),
                    MaxColdRequests);
      // Each of several dispatchers finds enough room on the other servers.
      if (!Rotates)
        cr_expect_geq(Setup.sentSince("0", Since), 3);
      const core::TimePoint Warm = Setup.Now + 3s;
      Setup.run(8s, 50);
      cr_expect_geq(Setup.sentSince("0", Warm), 20);
    }
}

// Guards against a server that stays limited although it has stated, in its
// entry or in answer to a probe, that it is warm earlier than it stated before.
Test(RateLimit, server_that_corrects_its_cold_time_gets_its_share) {
  for (const auto Profile : Profiles)
    for (const bool Probed : {false, true}) {
      RateLimitFixture Setup(Profile);
      Setup.run(3s, 50);
      makeCold(Setup, 1, 60s);
      Setup.run(1s, 50);
      if (Probed) {
        decision::Decisions Out;
        Setup.Dispatchers[0]->recordProbe("0",
                                          {.State = decision::ProbeState::Ok,
                                           .Load = {},
                                           .ColdUntil = Setup.Now},
                                          Setup.Now, Out);
        Setup.record(0, Out);
      } else {
        makeCold(Setup, 1, 0ms);
      }
      Setup.run(3s, 50);
      const core::TimePoint Warm = Setup.Now;
      Setup.run(5s, 50);
      // The limit allows 18.
      cr_expect_geq(Setup.sentSince("0", Warm), 30, "probed: %d, %zu sent",
                    Probed, Setup.sentSince("0", Warm));
    }
}

// Guards against a group whose servers are all cold and that lets calls wait
// until their deadline instead of rejecting them at once.
Test(RateLimit, calls_beyond_what_cold_servers_bear_are_rejected_at_once) {
  for (const auto Profile :
       {core::PolicyProfile::Tail, core::PolicyProfile::Objective}) {
    RateLimitFixture Setup(Profile);
    Setup.run(3s, 15);
    makeCold(Setup, 3, 6s);
    Setup.run(1s, 40);
    Setup.RejectionWaits.clear();
    const core::TimePoint Since = Setup.Now;
    Setup.run(4s, 40);
    for (const char *Server : {"0", "1", "2"})
      cr_expect_leq(mostPerSecond(Setup, Server, Since, Setup.Now),
                    MaxColdRequests);
    cr_expect_geq(Setup.RejectionWaits.size(), 80);
    const auto Late = std::count_if(
        Setup.RejectionWaits.begin(), Setup.RejectionWaits.end(),
        [](core::TimePoint::duration Wait) { return Wait > 900ms; });
    cr_expect_leq(Late, 8);
  }
}

// Guards against probes that take the place of requests on a cold server.
Test(RateLimit, cold_server_is_not_probed_for_its_pace) {
  RateLimitFixture Setup(core::PolicyProfile::Objective);
  Setup.run(2s, 15);
  makeCold(Setup, 1, 4s);
  const std::size_t Before = Setup.Probes["0"];
  Setup.run(3s, 15);
  cr_expect_eq(Setup.Probes["0"], Before);
}

namespace {

/// @brief A dispatcher of one server whose pace is known.
struct OneServer {
  explicit OneServer(core::PolicyProfile Profile) {
    Group.Servers.push_back(
        {.Id = "0", .Address = "10.0.0.1:1", .Zone = "z1", .Slots = 3});
    decision::DispatcherOptions Options;
    Options.Profile = Profile;
    Dispatcher = decision::makeDispatcher(Group, Options, Now);
  }

  /// @brief Starts a call, which must be granted at once.
  [[nodiscard]] std::uint64_t start() {
    decision::Decisions Out;
    Dispatcher->enqueue({.Token = ++LastToken,
                         .Holder = "vm",
                         .Deadline = Now + 2s,
                         .Objective = Now + 1s,
                         .WorkClass = 1},
                        Now, Out);
    while (const auto Probe = Dispatcher->nextProbe(Now))
      Dispatcher->recordProbe(Probe->Id, KnownPace, Now, Out);
    cr_assert_eq(Out.size(), 1);
    const auto *Grant = std::get_if<decision::Granted>(&Out.front());
    cr_assert_not_null(Grant);
    return Grant->GrantId;
  }
  void finish(std::uint64_t GrantId, std::chrono::milliseconds Elapsed) {
    decision::Decisions Out;
    Dispatcher->release(GrantId, {.Elapsed = Elapsed, .Load = *KnownPace.Load},
                        Now, Out);
  }
  /// @brief Runs one call after the other.
  void serve(std::chrono::milliseconds Elapsed, int Calls) {
    for (int Call = 0; Call < Calls; ++Call) {
      decision::Decisions Out;
      // Service times are learned only while the pace is known.
      Dispatcher->recordProbe("0", KnownPace, Now, Out);
      const std::uint64_t GrantId = start();
      Now += Elapsed;
      finish(GrantId, Elapsed);
      Now += 400ms;
    }
  }
  void becomeCold(std::chrono::milliseconds Time) {
    Group.Servers.front().ColdUntil = Now + Time;
    Group.Servers.front().ColdLimit = ColdLimit;
    decision::Decisions Out;
    Dispatcher->configure(Group, Now, Out);
  }
  [[nodiscard]] auto serviceTime() const {
    return Dispatcher->status(Now).front().ServiceTime.count();
  }

  const decision::ProbeResult KnownPace{
      .State = decision::ProbeState::Ok,
      .Load = core::LoadReport{.PacePercent = 100}};
  decision::DispatchGroup Group{.Name = "g", .Service = "s", .Region = "r"};
  core::TimePoint Now = Start;
  decision::CallToken LastToken = 0;
  std::unique_ptr<decision::Dispatcher> Dispatcher;
};

} // namespace

// Guards against a server that counts as slow after its cold start, and other
// estimates that its times spoil.
Test(RateLimit, service_times_of_a_cold_server_are_not_learned) {
  OneServer Setup(core::PolicyProfile::Objective);
  Setup.serve(100ms, 40);
  const auto Before = Setup.serviceTime();
  Setup.becomeCold(1min);
  // The limit begins without a call to spare.
  Setup.Now += 400ms;
  Setup.serve(200ms, 40);
  cr_assert_eq(Before, Setup.serviceTime());
}

// Guards against times of a cold server that are learned because the call
// started before, and against a call that is learned because it ended after.
Test(RateLimit, call_that_runs_when_its_server_becomes_cold_is_not_learned) {
  for (const auto Profile : Profiles)
    for (const bool ColdAtStart : {false, true}) {
      OneServer Setup(Profile);
      Setup.serve(100ms, 40);
      const auto Before = Setup.serviceTime();
      if (ColdAtStart) {
        Setup.becomeCold(450ms);
        Setup.Now += 400ms;
      }
      decision::Decisions Out;
      Setup.Dispatcher->tick(Setup.Now, Out);
      const std::uint64_t GrantId = Setup.start();
      Setup.Now += 10ms;
      if (!ColdAtStart)
        Setup.becomeCold(1min);
      Setup.Now += 140ms;
      Setup.finish(GrantId, 150ms);
      cr_expect_eq(Before, Setup.serviceTime(), "cold at start: %d",
                   ColdAtStart);
    }
}

// Guards against many new dispatchers that each send a call at once to a cold
// server.
Test(RateLimit, new_dispatchers_send_nothing_at_once_to_a_cold_server) {
  for (const auto Profile : Profiles) {
    RateLimitFixture Setup(Profile);
    makeCold(Setup, 3, 6s);
    for (int Count = 0; Count < 20; ++Count)
      Setup.addBackup();
    Setup.Rotates = true;
    Setup.run(1s, 60);
    for (const char *Server : {"0", "1", "2"})
      cr_expect_leq(Setup.sentSince(Server, Start), MaxColdRequests);
  }
}
