#include <jujubecart/decision/dispatcher.hpp>
#include <jujubecart/decision/internal/server_rate_limiter.hpp>

#include <algorithm>
#include <array>
#include <criterion/criterion.h>
#include <map>
#include <random>

using namespace jujubecart;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Start{1h};
constexpr auto ServiceTime = 160ms;
// Time from the end of a call to its report at the dispatcher.
constexpr auto ReportDelay = 5ms;
constexpr auto Step = 5ms;
// A server that states a limit may get, in each window from the settling time
// on, one and a half times what it allows and five requests more.
constexpr auto Window = 4s;
constexpr auto SettlingTime = 3s;

double allowedIn(core::RateLimit Limit) {
  return 1.5 * Limit.MilliPerS / 1000 *
             std::chrono::duration<double>(Window).count() +
         5;
}

/// @brief Dispatchers of one group, servers that may state a limit, and a
/// steady load, in simulated time.
struct RateLimitFixture {
  explicit RateLimitFixture(core::PolicyProfile Profile, unsigned Servers = 3)
      : Profile(Profile) {
    for (unsigned Server = 0; Server < Servers; ++Server)
      Group.Servers.push_back({.Id = std::to_string(Server),
                               .Address = "10.0.0.1:1",
                               .Zone = "z1",
                               .Slots = 3});
    Dispatchers.push_back(makeDispatcher());
  }

  [[nodiscard]] std::unique_ptr<decision::Dispatcher> makeDispatcher() const {
    decision::DispatcherOptions Options;
    Options.Profile = Profile;
    Options.InitialServiceTime = ServiceTime;
    Options.MaxExpectedWait = 500ms;
    return decision::makeDispatcher(Group, Options, Now);
  }

  /// @brief Runs for a time with calls at a rate; each call goes to the
  /// dispatcher that Active names.
  void run(std::chrono::milliseconds Time, double CallsPerS) {
    const core::TimePoint End = Now + Time;
    while (Now < End) {
      Now += Step;
      finishCalls();
      decision::Decisions Out;
      for (std::size_t Index = 0; Index < Dispatchers.size(); ++Index) {
        Out.clear();
        Dispatchers[Index]->tick(Now, Out);
        record(Index, Out);
      }
      Due += CallsPerS * std::chrono::duration<double>(Step).count();
      for (; Due >= 1; Due -= 1)
        call();
    }
  }

  /// @brief Adds a dispatcher, which is not the regular one.
  void addBackup() {
    Dispatchers.push_back(makeDispatcher());
    Dispatchers.back()->setRegular(false, Now);
  }

  void call() {
    decision::Decisions Out;
    if (Rotates)
      Active = LastToken % Dispatchers.size();
    Arrivals[++LastToken] = Now;
    Dispatchers[Active]->enqueue(
        {.Token = LastToken,
         .Holder = "vm" + std::to_string(LastToken % 8),
         .Deadline = Now + 2s,
         .Zone = "z1",
         .Objective = Now + 800ms,
         .WorkClass = 1,
         .Limits = Known},
        Now, Out);
    record(Active, Out);
  }

  void record(std::size_t Dispatcher, const decision::Decisions &Out) {
    for (const decision::Decision &Item : Out) {
      if (const auto *Grant = std::get_if<decision::Granted>(&Item)) {
        Sent[Grant->Server.Id].push_back(Now);
        Running.push_back({.Dispatcher = Dispatcher,
                           .GrantId = Grant->GrantId,
                           .Server = Grant->Server.Id,
                           .Incarnation = Grant->Server.Incarnation,
                           .AnsweredAt = Now + ServiceTime});
      } else {
        const auto &Rejected = std::get<decision::Rejected>(Item);
        RejectionWaits.push_back(Now - Arrivals[Rejected.Token]);
        RetryAfter.push_back(Rejected.RetryAfter);
      }
    }
    while (auto Probe = Dispatchers[Dispatcher]->nextProbe(Now))
      ++Probes[Probe->Id];
  }

  void finishCalls() {
    for (std::size_t Index = 0; Index < Running.size();) {
      const Call Item = Running[Index];
      if (Item.AnsweredAt + ReportDelay > Now) {
        ++Index;
        continue;
      }
      Running.erase(Running.begin() + static_cast<std::ptrdiff_t>(Index));
      core::CallReport Report{.Elapsed = ServiceTime};
      const auto Limit = Limits.find(Item.Server);
      if (Limit != Limits.end() && Item.Incarnation != Unlimited)
        Report.Limit = Limit->second;
      if (Item.Incarnation == Group.Servers.front().Incarnation)
        learn(Item.Server, Report.Limit);
      decision::Decisions Out;
      Dispatchers[Item.Dispatcher]->release(Item.GrantId, Report, Now, Out);
      record(Item.Dispatcher, Out);
    }
  }

  /// @brief Updates what the VMs know of the limits.
  void learn(const std::string &Server, std::optional<core::RateLimit> Limit) {
    std::erase_if(Known, [&](const decision::StatedLimit &Item) {
      return Item.ServerId == Server;
    });
    if (Limit)
      Known.push_back({.ServerId = Server, .Limit = *Limit, .StatedAt = Now});
  }

  /// @brief Largest number of requests that a server got in one window since a
  /// time.
  [[nodiscard]] std::size_t mostInWindow(const std::string &Server,
                                         core::TimePoint Since) {
    std::size_t Most = 0;
    const std::vector<core::TimePoint> &Times = Sent[Server];
    for (std::size_t First = 0; First < Times.size(); ++First) {
      if (Times[First] < Since)
        continue;
      const auto End = std::find_if(
          Times.begin() + static_cast<std::ptrdiff_t>(First), Times.end(),
          [&](core::TimePoint At) { return At - Times[First] > Window; });
      Most =
          std::max(Most, static_cast<std::size_t>(End - Times.begin()) - First);
    }
    return Most;
  }

  [[nodiscard]] std::size_t sentSince(const std::string &Server,
                                      core::TimePoint Since) {
    const std::vector<core::TimePoint> &Times = Sent[Server];
    return static_cast<std::size_t>(
        std::count_if(Times.begin(), Times.end(),
                      [&](core::TimePoint At) { return At >= Since; }));
  }

  struct Call {
    std::size_t Dispatcher = 0;
    std::uint64_t GrantId = 0;
    std::string Server;
    std::uint64_t Incarnation = 0;
    core::TimePoint AnsweredAt;
  };

  /// Incarnation of a server that states no limit.
  static constexpr std::uint64_t Unlimited = 7;

  const core::PolicyProfile Profile;
  decision::DispatchGroup Group{.Name = "g", .Service = "s", .Region = "r"};
  core::TimePoint Now = Start;
  std::vector<std::unique_ptr<decision::Dispatcher>> Dispatchers;
  std::size_t Active = 0;
  /// Whether calls go to all dispatchers in turn.
  bool Rotates = false;
  double Due = 0;
  decision::CallToken LastToken = 0;
  std::map<decision::CallToken, core::TimePoint> Arrivals;
  std::vector<Call> Running;
  /// Limits that the VMs tell the dispatchers.
  std::vector<decision::StatedLimit> Known;
  /// Limits that servers state, by id.
  std::map<std::string, core::RateLimit> Limits;
  std::map<std::string, std::vector<core::TimePoint>> Sent;
  std::map<std::string, std::size_t> Probes;
  std::vector<core::TimePoint::duration> RejectionWaits;
  std::vector<std::chrono::milliseconds> RetryAfter;
};

/// @brief Expects that no server got more than its limit allows.
/// @param Stated When the server first stated it.
void expectWithin(RateLimitFixture &Setup, const std::string &Server,
                  core::RateLimit Limit, core::TimePoint Stated) {
  const auto Most =
      static_cast<double>(Setup.mostInWindow(Server, Stated + SettlingTime));
  cr_expect_leq(Most, allowedIn(Limit), "%g requests in 4 s at %u", Most,
                Limit.MilliPerS);
}

constexpr std::array Profiles{core::PolicyProfile::Objective,
                              core::PolicyProfile::Tail};

} // namespace

// Guards against a server that gets more requests than the limit that it states
// in its responses, and against a fleet that stops using the other servers.
Test(RateLimit, limited_server_gets_no_more_than_it_allows) {
  for (const core::PolicyProfile Profile : Profiles)
    for (const std::uint32_t MilliPerS : {0U, 300U, 1300U, 2400U, 6000U}) {
      RateLimitFixture Setup(Profile);
      Setup.run(2s, 15);
      const core::RateLimit Limit{.MilliPerS = MilliPerS};
      Setup.Limits["0"] = Limit;
      const core::TimePoint Stated = Setup.Now;
      Setup.run(20s, 15);
      expectWithin(Setup, "0", Limit, Stated);
      cr_expect_leq(Setup.RejectionWaits.size(), 3);
    }
}

// Guards against a server that gets nothing any more because it once stated a
// limit, even one of zero.
Test(RateLimit, server_without_limit_gets_its_share_again) {
  for (const core::PolicyProfile Profile : Profiles)
    for (const std::uint32_t MilliPerS : {0U, 1300U}) {
      RateLimitFixture Setup(Profile);
      Setup.run(2s, 15);
      Setup.Limits["0"] = {.MilliPerS = MilliPerS};
      Setup.run(10s, 15);
      Setup.Limits.clear();
      // The next request shows that the limit has ended.
      Setup.run(4500ms, 15);
      const core::TimePoint Since = Setup.Now;
      Setup.run(4s, 15);
      cr_expect_geq(Setup.sentSince("0", Since), 12);
    }
}

// Guards against calls that wait until their deadline although all servers
// together accept too few, and that are all told to return at once.
Test(RateLimit, calls_beyond_all_limits_are_rejected_at_once) {
  for (const core::PolicyProfile Profile : Profiles) {
    RateLimitFixture Setup(Profile);
    Setup.run(2s, 15);
    for (const core::BackendServer &Server : Setup.Group.Servers)
      Setup.Limits[Server.Id] = {.MilliPerS = 1300};
    const core::TimePoint Stated = Setup.Now;
    Setup.run(2s, 15);
    Setup.RejectionWaits.clear();
    Setup.RetryAfter.clear();
    Setup.run(16s, 15);
    for (const core::BackendServer &Server : Setup.Group.Servers)
      expectWithin(Setup, Server.Id, {.MilliPerS = 1300}, Stated);
    cr_assert_geq(Setup.RejectionWaits.size(), 100);
    const auto Prompt = std::count_if(
        Setup.RejectionWaits.begin(), Setup.RejectionWaits.end(),
        [](core::TimePoint::duration Wait) { return Wait <= 100ms; });
    cr_expect_geq(Prompt * 10,
                  static_cast<std::ptrdiff_t>(Setup.RejectionWaits.size()) * 8,
                  "%td of %zu", Prompt, Setup.RejectionWaits.size());
    const auto [Least, Most] =
        std::minmax_element(Setup.RetryAfter.begin(), Setup.RetryAfter.end());
    cr_expect_gt(Least->count(), 0);
    cr_expect_lt(Least->count(), Most->count());
  }
}

// Guards against dispatchers that each use the whole limit, while VMs disagree
// about which of them is in charge.
Test(RateLimit, limit_holds_with_several_dispatchers) {
  for (const core::PolicyProfile Profile : Profiles)
    for (const std::uint32_t MilliPerS : {0U, 1300U, 6000U}) {
      RateLimitFixture Setup(Profile);
      Setup.addBackup();
      Setup.addBackup();
      Setup.Rotates = true;
      Setup.run(2s, 30);
      const core::RateLimit Limit{.MilliPerS = MilliPerS};
      Setup.Limits["0"] = Limit;
      const core::TimePoint Stated = Setup.Now;
      Setup.run(20s, 30);
      expectWithin(Setup, "0", Limit, Stated);
    }
}

// Guards against a series of new dispatchers that each send calls to a limited
// server until they learn of its limit.
Test(RateLimit, limit_holds_while_dispatchers_take_over) {
  for (const core::PolicyProfile Profile : Profiles)
    for (const std::uint32_t MilliPerS : {0U, 1300U, 6000U}) {
      RateLimitFixture Setup(Profile);
      Setup.run(2s, 15);
      const core::RateLimit Limit{.MilliPerS = MilliPerS};
      Setup.Limits["0"] = Limit;
      const core::TimePoint Stated = Setup.Now;
      Setup.run(3s, 15);
      for (int Takeover = 0; Takeover < 8; ++Takeover) {
        Setup.Dispatchers.push_back(Setup.makeDispatcher());
        ++Setup.Active;
        Setup.run(900ms, 15);
      }
      expectWithin(Setup, "0", Limit, Stated);
    }
}

// Guards against a limit that binds the process that replaced the one that
// stated it, also if a result of the old one is reported later.
Test(RateLimit, new_process_starts_without_the_limit_of_the_old_one) {
  for (const core::PolicyProfile Profile : Profiles)
    for (const auto LimitedFor : {0ms, 4000ms}) {
      RateLimitFixture Setup(Profile);
      Setup.run(2s, 15);
      Setup.Limits["0"] = {.MilliPerS = 0};
      Setup.run(LimitedFor, 15);
      Setup.Known.clear();
      Setup.Group.Servers.front().Incarnation = RateLimitFixture::Unlimited;
      decision::Decisions Out;
      Setup.Dispatchers.front()->configure(Setup.Group, Setup.Now, Out);
      const core::TimePoint Since = Setup.Now;
      // The other two servers cannot take this load.
      Setup.run(3s, 30);
      cr_expect_geq(Setup.sentSince("0", Since), 20);
    }
}

// Guards against a limit that ends because the result of an earlier call is
// reported late, and against one that is set again by outdated knowledge.
Test(ServerRateLimiter, only_the_latest_statement_counts) {
  decision::internal::ServerRateLimiter Limiter;
  const core::RateLimit Limit{.MilliPerS = 2000};
  core::TimePoint Now = Start;
  Limiter.record(Limit, Now, Now);
  cr_assert(Limiter.limited(Now));
  Limiter.record(std::nullopt, Now + 20ms, Now + 20ms);
  cr_assert(Limiter.limited(Now));
  Now += 1s;
  Limiter.record(std::nullopt, Now, Now);
  cr_assert_not(Limiter.limited(Now));
  Limiter.record(Limit, Now - 100ms, Now);
  cr_assert_not(Limiter.limited(Now));
}

// Guards against a wave of calls when a limit begins or after a pause.
Test(ServerRateLimiter, calls_are_spread_over_time) {
  decision::internal::ServerRateLimiter Limiter;
  Limiter.record(core::RateLimit{.MilliPerS = 2000}, Start, Start);
  cr_assert_not(Limiter.allows(Start + 400ms));
  cr_assert(Limiter.allows(Start + 500ms));
  Limiter.take(Start + 60s);
  cr_assert_not(Limiter.allows(Start + 60s));
  cr_assert(Limiter.allows(Start + 60500ms));
  Limiter.setShare(0.2, Start + 60s);
  cr_assert_not(Limiter.allows(Start + 62400ms));
  cr_assert(Limiter.allows(Start + 62500ms));
}

// Guards against health or pace probes that take the place of requests on a
// server that accepts few.
Test(RateLimit, limited_server_is_not_probed_for_its_pace) {
  RateLimitFixture Setup(core::PolicyProfile::Objective);
  Setup.run(2s, 15);
  Setup.Limits["0"] = {.MilliPerS = 1300};
  Setup.run(2s, 15);
  const std::size_t Before = Setup.Probes["0"];
  Setup.run(10s, 15);
  cr_expect_eq(Setup.Probes["0"], Before);
}

// Guards against a cold server that gets more than it bears, and against its
// full load at once when its cold start ends.
Test(ServerRateLimiter, limit_of_a_cold_server_ends_with_a_ramp) {
  decision::internal::ServerRateLimiter Limiter;
  Limiter.setCold({.MilliPerS = 4000}, Start + 3s, Start);
  cr_assert(Limiter.cold(Start));
  cr_assert_float_eq(Limiter.ratePerS(Start + 2900ms), 4, 1e-6);
  cr_assert_not(Limiter.cold(Start + 3s));
  cr_assert(Limiter.limited(Start + 4s));
  cr_assert_float_eq(Limiter.ratePerS(Start + 4s), 16, 1e-6);
  cr_assert_not(Limiter.limited(Start + 5s));
}

// Guards against the higher of two limits.
Test(ServerRateLimiter, lower_one_of_two_limits_holds) {
  decision::internal::ServerRateLimiter Limiter;
  Limiter.setCold({.MilliPerS = 4000}, Start + 3s, Start);
  Limiter.record(core::RateLimit{.MilliPerS = 2000}, Start, Start);
  cr_assert_float_eq(Limiter.ratePerS(Start), 2, 1e-6);
  Limiter.record(core::RateLimit{.MilliPerS = 6000}, Start + 1s, Start + 1s);
  cr_assert_float_eq(Limiter.ratePerS(Start + 1s), 4, 1e-6);
}

// Guards against a limit for servers whose service has none for cold ones.
Test(ServerRateLimiter, cold_server_without_a_limit_is_not_limited) {
  decision::internal::ServerRateLimiter Limiter;
  Limiter.setCold({}, Start + 3s, Start);
  cr_assert_not(Limiter.cold(Start));
  cr_assert_not(Limiter.limited(Start));
}

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

/// @brief Sends one call after the other to the only server.
void serve(decision::Dispatcher &Dispatcher, core::TimePoint &Now,
           std::chrono::milliseconds Elapsed, int Calls) {
  constexpr auto Pause = 400ms;
  static decision::CallToken LastToken = 0;
  const core::LoadReport Load{.PacePercent = 100};
  for (int Call = 0; Call < Calls; ++Call) {
    decision::Decisions Out;
    // Service times are learned only while the pace is known.
    Dispatcher.recordProbe(
        "0", {.State = decision::ProbeState::Ok, .Load = Load}, Now, Out);
    Dispatcher.enqueue({.Token = ++LastToken,
                        .Holder = "vm",
                        .Deadline = Now + 2s,
                        .Objective = Now + 1s,
                        .WorkClass = 1},
                       Now, Out);
    while (const auto Probe = Dispatcher.nextProbe(Now))
      Dispatcher.recordProbe(Probe->Id,
                             {.State = decision::ProbeState::Ok, .Load = Load},
                             Now, Out);
    cr_assert_eq(Out.size(), 1);
    const auto *Grant = std::get_if<decision::Granted>(&Out.front());
    cr_assert_not_null(Grant);
    Now += Elapsed;
    Dispatcher.release(Grant->GrantId, {.Elapsed = Elapsed, .Load = Load}, Now,
                       Out);
    Now += Pause;
  }
}

} // namespace

// Guards against a server that counts as slow after its cold start, and other
// estimates that its times spoil.
Test(RateLimit, service_times_of_a_cold_server_are_not_learned) {
  core::TimePoint Now = Start;
  decision::DispatchGroup Group{.Name = "g", .Service = "s", .Region = "r"};
  Group.Servers.push_back(
      {.Id = "0", .Address = "10.0.0.1:1", .Zone = "z1", .Slots = 3});
  decision::DispatcherOptions Options;
  Options.Profile = core::PolicyProfile::Objective;
  const auto Dispatcher = decision::makeDispatcher(Group, Options, Now);
  serve(*Dispatcher, Now, 100ms, 40);
  const auto Before = Dispatcher->status(Now).front().ServiceTime;
  Group.Servers.front().ColdUntil = Now + 1min;
  Group.Servers.front().ColdLimit = ColdLimit;
  decision::Decisions Out;
  Dispatcher->configure(Group, Now, Out);
  // The limit begins without a call to spare.
  Now += 400ms;
  serve(*Dispatcher, Now, 200ms, 40);
  const auto After = Dispatcher->status(Now).front().ServiceTime;
  cr_assert_eq(Before.count(), After.count());
}

// Guards against times of a cold server that are learned because the call
// started before, and against a call that is learned because it ended after.
Test(RateLimit, call_that_runs_when_its_server_becomes_cold_is_not_learned) {
  for (const auto Profile : Profiles)
    for (const bool ColdAtStart : {false, true}) {
      core::TimePoint Now = Start;
      decision::DispatchGroup Group{.Name = "g", .Service = "s", .Region = "r"};
      Group.Servers.push_back(
          {.Id = "0", .Address = "10.0.0.1:1", .Zone = "z1", .Slots = 3});
      decision::DispatcherOptions Options;
      Options.Profile = Profile;
      const auto Dispatcher = decision::makeDispatcher(Group, Options, Now);
      serve(*Dispatcher, Now, 100ms, 40);
      const auto Before = Dispatcher->status(Now).front().ServiceTime;
      const core::TimePoint Grant = ColdAtStart ? Now + 400ms : Now;
      Group.Servers.front().ColdUntil = Now + (ColdAtStart ? 450ms : 1min);
      Group.Servers.front().ColdLimit = ColdLimit;
      decision::Decisions Out;
      const auto BecomeCold = [&](core::TimePoint At) {
        Dispatcher->configure(Group, At, Out);
      };
      if (ColdAtStart)
        BecomeCold(Now);
      const core::LoadReport Load{.PacePercent = 100};
      Dispatcher->tick(Grant, Out);
      Dispatcher->enqueue({.Token = 1 << 20,
                           .Holder = "vm",
                           .Deadline = Grant + 2s,
                           .Objective = Grant + 1s,
                           .WorkClass = 1},
                          Grant, Out);
      while (const auto Probe = Dispatcher->nextProbe(Grant))
        Dispatcher->recordProbe(
            Probe->Id, {.State = decision::ProbeState::Ok, .Load = Load}, Grant,
            Out);
      cr_assert_eq(Out.size(), 1);
      const auto *Item = std::get_if<decision::Granted>(&Out.front());
      cr_assert_not_null(Item);
      const std::uint64_t GrantId = Item->GrantId;
      if (!ColdAtStart)
        BecomeCold(Grant + 10ms);
      Dispatcher->release(GrantId, {.Elapsed = 150ms, .Load = Load},
                          Grant + 150ms, Out);
      const auto After = Dispatcher->status(Grant + 150ms).front().ServiceTime;
      cr_expect_eq(Before.count(), After.count(), "cold at start: %d",
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
