#include <jujubecart/platform/http_profile.hpp>

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  const core::HttpProfile &Profile = platform::httpProfile();
  core::SystemClock Time;

  core::ResponseTraits
  response(unsigned Status,
           const std::vector<std::pair<std::string, std::string>> &Fields) {
    core::HttpProfile::ResponseHead Head;
    Head.result(Status);
    for (const auto &[Name, Value] : Fields)
      Head.set(Name, Value);
    return Profile.readResponse(Head, "9c41d07be2a35f68");
  }
};

} // namespace

// Guards against a deadline that is taken for an instant.
Test(PlatformHttpProfile, time_left_becomes_a_deadline) {
  Fixture With;
  core::HttpProfile::Fields Head;
  Head.set("Request-Id", "9c41d07be2a35f68");
  Head.set("Request-Deadline", "1500");
  core::RequestTraits Traits;
  cr_assert_not(With.Profile.readRequest(Head, With.Time, Traits).has_value());
  const auto Left = *Traits.Deadline - With.Time.now();
  cr_assert(Left > 1400ms && Left <= 1500ms);
  cr_assert(toString(*Traits.Id) == Traits.CallerRequestId);
}

Test(PlatformHttpProfile, invalid_time_left_is_reported) {
  Fixture With;
  for (const char *Text :
       {"", "-1", "1.5", "soon", "99999999999999999999999"}) {
    core::HttpProfile::Fields Head;
    Head.set("Request-Deadline", Text);
    core::RequestTraits Traits;
    cr_assert(With.Profile.readRequest(Head, With.Time, Traits).has_value(),
              "%s", Text);
  }
}

// Guards against a request that runs on a server that reuses an address.
Test(PlatformHttpProfile, request_names_its_instance_and_the_time_left) {
  Fixture With;
  std::string Out;
  core::RequestTraits Traits;
  With.Profile.writeRequest(Out,
                            {.Id = {},
                             .Traits = Traits,
                             .Deadline = With.Time.now() + 800ms,
                             .Server = {.Id = "i-7"}},
                            With.Time);
  cr_assert_neq(Out.find("Expected-Instance: i-7\r\n"), std::string::npos);
  cr_assert_neq(Out.find("Request-Deadline: 7"), std::string::npos);
  cr_assert(With.Profile.replacesInRequest("request-deadline"));
  cr_assert(With.Profile.replacesInRequest("expected-instance"));
  cr_assert_not(With.Profile.replacesInRequest("request-id"));
}

// Guards against a late second response that a caller gets as its own.
Test(PlatformHttpProfile, response_with_another_id_is_foreign) {
  Fixture With;
  cr_assert(With.response(200, {{"Request-Id", "ffffffffffffffff"},
                                {"Response-Signature", "x"}})
                .Foreign);
  cr_assert_not(With.response(200, {{"Request-Id", "9c41d07be2a35f68"},
                                    {"Response-Signature", "x"}})
                    .Foreign);
}

// Guards against a success that no backend server vouches for.
Test(PlatformHttpProfile, success_without_digest_or_id_is_invalid) {
  Fixture With;
  cr_assert(With.response(200, {{"Request-Id", "9c41d07be2a35f68"}}).Invalid);
  cr_assert(With.response(200, {{"Response-Signature", "x"}}).Invalid);
  cr_assert_not(With.response(500, {}).Invalid);
}

// Guards against a promise of "not run" that nobody made.
Test(PlatformHttpProfile, only_stated_refusals_mean_not_run) {
  Fixture With;
  cr_assert(With.response(503, {{"Not-Executed", "1"}}).NotRun);
  cr_assert(With.response(421, {}).NotRun);
  cr_assert(With.response(421, {}).OtherInstance);
  cr_assert_not(With.response(503, {}).NotRun);
  cr_assert_not(With.response(504, {}).NotRun);
}

Test(PlatformHttpProfile, load_is_read_with_and_without_pace) {
  Fixture With;
  const auto Whole = With.response(503, {{"Upstream-Load", "3, 1,8,400"}}).Load;
  cr_assert(Whole == (core::LoadReport{.InFlight = 4, .PacePercent = 400}));
  const auto Usual = With.response(503, {{"Upstream-Load", "1,0,2"}}).Load;
  cr_assert(Usual == (core::LoadReport{.InFlight = 1, .PacePercent = 100}));
  for (const char *Text : {"", "1,2", "a,b,c", "1,2,3,x", "-1,0,2"})
    cr_assert_not(With.response(503, {{"Upstream-Load", Text}}).Load, "%s",
                  Text);
}

Test(PlatformHttpProfile, retry_after_has_fractions_of_seconds) {
  Fixture With;
  std::string Out;
  With.Profile.writeRefusal(Out, {.Status = 503, .RetryAfter = 250ms});
  cr_assert_eq(Out, "Retry-After: 0.250\r\n");
  Out.clear();
  With.Profile.writeRefusal(Out, {.Status = 504, .RetryAfter = 250ms});
  cr_assert(Out.empty());
}
