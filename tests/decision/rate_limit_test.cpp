#include "rate_limit_fixture.hpp"

#include <jujubecart/decision/internal/server_rate_limiter.hpp>

#include <random>

using namespace rate_limit_fixture;

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

// Guards against a server that stays limited until an end that it has corrected
// since, and against one that gets its full load at once after the correction.
Test(ServerRateLimiter, corrected_end_of_a_cold_start_holds) {
  struct {
    const char *Name;
    std::optional<core::TimePoint> Probed;
    core::TimePoint Configured;
    core::TimePoint End;
  } const Cases[] = {
      {"entry without cold time", {}, core::TimePoint::min(), Start + 1s},
      {"entry with less", {}, Start + 4s, Start + 4s},
      {"probe with none", Start + 1s, Start + 60s, Start + 1s},
      {"probe with less", Start + 9s, Start + 60s, Start + 9s},
      {"probe with more", Start + 90s, Start + 60s, Start + 90s},
      {"older entry", Start + 90s, core::TimePoint::min(), Start + 90s},
  };
  for (const auto &Case : Cases) {
    decision::internal::ServerRateLimiter Limiter;
    Limiter.setCold({.MilliPerS = 4000}, Start + 60s, Start);
    if (Case.Probed)
      Limiter.recordCold(*Case.Probed, Start + 1s);
    Limiter.setCold({.MilliPerS = 4000}, Case.Configured, Start + 1s);
    if (Case.End > Start + 1s)
      cr_expect(Limiter.cold(Case.End - 1ms), "%s", Case.Name);
    cr_expect_not(Limiter.cold(Case.End), "%s", Case.Name);
    cr_expect(Limiter.limited(Case.End + 1s), "%s", Case.Name);
    cr_expect_not(Limiter.limited(Case.End + 2s), "%s", Case.Name);
  }
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
