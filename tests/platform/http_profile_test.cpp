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
      Head.insert(Name, Value);
    return Profile.readResponse(Head, "9c41d07be2a35f68");
  }
};

} // namespace

// Guards against reading the remaining time in Request-Deadline as an instant.
Test(PlatformHttpProfile, remaining_time_becomes_a_deadline) {
  Fixture Setup;
  core::HttpProfile::Fields Head;
  Head.set("Request-Id", "9c41d07be2a35f68");
  Head.set("Request-Deadline", "1500");
  core::RequestTraits Traits;
  cr_assert_not(
      Setup.Profile.readRequest(Head, Setup.Time, Traits).has_value());
  const auto Remaining = *Traits.Deadline - Setup.Time.now();
  cr_assert(Remaining > 1400ms && Remaining <= 1500ms);
  cr_assert(toString(*Traits.Id) == Traits.CallerRequestId);
}

// Guards against a status that callers take for a promise, in a response to an
// order that has run.
Test(PlatformHttpProfile, statuses_that_promise_not_run_are_known) {
  const Fixture Setup;
  for (const unsigned Status : {408U, 421U, 429U, 503U})
    cr_assert(Setup.Profile.promisesNotRun(Status), "%u", Status);
  for (const unsigned Status : {200U, 400U, 404U, 500U, 502U, 504U})
    cr_assert_not(Setup.Profile.promisesNotRun(Status), "%u", Status);
}

// Guards against ignoring a malformed remaining time, so that the request would
// run with another deadline than its caller wants.
Test(PlatformHttpProfile, invalid_remaining_time_is_reported) {
  Fixture Setup;
  for (const char *Text :
       {"", "-1", "1.5", "soon", "99999999999999999999999"}) {
    core::HttpProfile::Fields Head;
    Head.set("Request-Deadline", Text);
    core::RequestTraits Traits;
    cr_assert(Setup.Profile.readRequest(Head, Setup.Time, Traits).has_value(),
              "%s", Text);
  }
}

// Guards against running a request on another process that now has the address
// of the chosen server: that process compares Expected-Instance with its id.
Test(PlatformHttpProfile, request_states_its_instance_and_remaining_time) {
  Fixture Setup;
  std::string Out;
  core::RequestTraits Traits;
  Setup.Profile.writeRequest(Out,
                             {.Id = {},
                              .Traits = Traits,
                              .Deadline = Setup.Time.now() + 800ms,
                              .Server = {.Id = "i-7"}},
                             Setup.Time);
  cr_assert_neq(Out.find("Expected-Instance: i-7\r\n"), std::string::npos);
  cr_assert_neq(Out.find("Request-Deadline: 7"), std::string::npos);
  cr_assert(Setup.Profile.removesFromRequest("request-deadline", false));
  cr_assert(Setup.Profile.removesFromRequest("expected-instance", false));
  cr_assert_not(Setup.Profile.removesFromRequest("request-id", false));
}

// Guards against an API key that is read in another way than callers send it,
// and against one of several fields that counts by chance.
Test(PlatformHttpProfile, api_key_is_read_from_one_valid_field) {
  Fixture Setup;
  const auto KeyOf = [&](const std::vector<std::string> &Values) {
    core::HttpProfile::Fields Head;
    for (const std::string &Value : Values)
      Head.insert("Authorization", Value);
    core::RequestTraits Traits;
    cr_assert_not(Setup.Profile.readRequest(Head, Setup.Time, Traits));
    return Traits.ApiKey;
  };
  cr_assert_eq(KeyOf({"Token k1"}), "k1");
  cr_assert_eq(KeyOf({"tOKEN   k1 "}), "k1");
  cr_assert_eq(KeyOf({}), "");
  cr_assert_eq(KeyOf({"Basic k1"}), "");
  cr_assert_eq(KeyOf({"Tokenk1"}), "");
  cr_assert_eq(KeyOf({"Token"}), "");
  cr_assert_eq(KeyOf({"Token k1", "Token k1"}), "");
}

// Guards against passing a late response to another request to the caller.
Test(PlatformHttpProfile, response_with_another_id_is_foreign) {
  Fixture Setup;
  cr_assert(Setup
                .response(200, {{"Request-Id", "ffffffffffffffff"},
                                {"Response-Signature", "x"}})
                .RequestIdMismatch);
  cr_assert_not(Setup
                    .response(200, {{"Request-Id", "9c41d07be2a35f68"},
                                    {"Response-Signature", "x"}})
                    .RequestIdMismatch);
}

// Guards against accepting a success response that no backend server signed or
// that does not repeat the request id.
Test(PlatformHttpProfile, success_without_signature_or_id_is_invalid) {
  Fixture Setup;
  cr_assert(Setup.response(200, {{"Request-Id", "9c41d07be2a35f68"}}).Invalid);
  cr_assert(Setup.response(200, {{"Response-Signature", "x"}}).Invalid);
  cr_assert_not(Setup.response(500, {}).Invalid);
}

// Guards against a success that reaches the caller without its signature or id,
// because the field is empty or its response declares it hop-by-hop, and
// against one whose readers choose different fields.
Test(PlatformHttpProfile, success_needs_one_signature_and_one_id) {
  Fixture Setup;
  const std::pair<std::string, std::string> EchoedId{"Request-Id",
                                                     "9c41d07be2a35f68"};
  const std::pair<std::string, std::string> Signature{"Response-Signature",
                                                      "x"};
  cr_assert_not(
      Setup.response(200, {EchoedId, Signature, {"Connection", "keep-alive"}})
          .Invalid);
  cr_expect(
      Setup.response(200, {EchoedId, {"Response-Signature", ""}}).Invalid);
  cr_expect(Setup.response(200, {EchoedId, Signature, Signature}).Invalid);
  cr_expect(Setup.response(200, {EchoedId, EchoedId, Signature}).Invalid);
  for (const char *Options :
       {"Response-Signature", "request-id", "close, RESPONSE-SIGNATURE"})
    cr_expect(
        Setup.response(200, {EchoedId, Signature, {"Connection", Options}})
            .Invalid,
        "%s", Options);
  cr_expect(Setup
                .response(200, {EchoedId,
                                Signature,
                                {"Connection", "close"},
                                {"Connection", "Request-Id"}})
                .Invalid);
}

// Guards against reading the id of another request from one of several fields.
Test(PlatformHttpProfile, response_with_several_ids_is_foreign) {
  Fixture Setup;
  for (const unsigned Status : {200U, 404U, 503U})
    for (const char *First : {"", "9c41d07be2a35f68"}) {
      const core::ResponseTraits Traits = Setup.response(
          Status, {{"Request-Id", First}, {"Request-Id", "9c41d07be2a35f68"}});
      cr_expect(Traits.RequestIdMismatch, "%u", Status);
      cr_expect_not(Traits.WithoutRequestId, "%u", Status);
    }
}

// Guards against taking a request for not run, and so repeating it, although
// the server did not state that it was not run.
Test(PlatformHttpProfile, only_explicit_rejections_mean_not_run) {
  Fixture Setup;
  cr_assert(Setup.response(503, {{"Not-Executed", "1"}}).NotRun);
  cr_assert(Setup.response(421, {}).NotRun);
  cr_assert(Setup.response(421, {}).OtherInstance);
  cr_assert(Setup.response(400, {{"Not-Executed", "1"}}).NotRun);
  cr_assert_not(Setup.response(200, {{"Not-Executed", "1"}}).NotRun);
  cr_assert_not(Setup.response(303, {{"Not-Executed", "1"}}).NotRun);
  cr_assert_not(Setup.response(503, {}).NotRun);
  cr_assert_not(Setup.response(504, {}).NotRun);
}

// Guards against rejecting Upstream-Load without the optional pace, and against
// accepting a malformed one.
Test(PlatformHttpProfile, load_is_read_with_and_without_pace) {
  Fixture Setup;
  const auto WithPace =
      Setup.response(503, {{"Upstream-Load", "3, 1,8,400"}}).Load;
  cr_assert(WithPace == (core::LoadReport{.InFlight = 4, .PacePercent = 400}));
  const auto WithoutPace =
      Setup.response(503, {{"Upstream-Load", "1,0,2"}}).Load;
  cr_assert(WithoutPace ==
            (core::LoadReport{.InFlight = 1, .PacePercent = 100}));
  for (const char *Text : {"", "1,2", "a,b,c", "1,2,3,x", "-1,0,2"})
    cr_assert_not(Setup.response(503, {{"Upstream-Load", Text}}).Load, "%s",
                  Text);
}

// Guards against rounding Retry-After to whole seconds, and against sending it
// with a status for which it has no meaning.
Test(PlatformHttpProfile, retry_after_has_fractions_of_seconds) {
  Fixture Setup;
  std::string Out;
  Setup.Profile.writeRefusal(Out, {.Status = 503, .RetryAfter = 250ms});
  cr_assert_eq(Out, "Retry-After: 0.250\r\n");
  Out.clear();
  Setup.Profile.writeRefusal(Out, {.Status = 504, .RetryAfter = 250ms});
  cr_assert(Out.empty());
}

// Guards against requests to a server that leaves or wants none for a time, and
// against an odd value that blocks a server.
Test(PlatformHttpProfile, leaving_and_quiet_servers_are_recognized) {
  Fixture Setup;
  cr_assert(Setup.response(200, {{"Server-Leaving", "1"}}).Draining);
  for (const char *Text : {"", "0", "yes", "11"})
    cr_assert_not(Setup.response(200, {{"Server-Leaving", Text}}).Draining);
  const auto QuietFor = [&](unsigned Status, const char *Text) {
    return Setup.response(Status, {{"Retry-After", Text}}).RetryAfter;
  };
  cr_assert(QuietFor(503, "2") == 2000ms);
  cr_assert(QuietFor(503, "0.25") == 250ms);
  cr_assert(QuietFor(503, "99999999999999999999") == 10min);
  for (const char *Text :
       {"", "-1", "nan", "1e3", "soon", "Fri, 31 Dec 1999 23:59:59 GMT"})
    cr_assert_not(QuietFor(503, Text), "%s", Text);
  cr_assert_not(QuietFor(200, "2"));
  cr_assert_not(QuietFor(429, "2"));
}

// Guards against a stated rate limit that is ignored, and against a malformed
// one that stops the traffic to a server.
Test(PlatformHttpProfile, rate_limit_of_a_server_is_read) {
  Fixture Setup;
  const auto LimitOf = [&](const char *Text) {
    return Setup.response(200, {{"Server-Limit", Text}}).Limit;
  };
  cr_assert_eq(LimitOf("1.3")->MilliPerS, 1300);
  cr_assert_eq(LimitOf(" 20 ")->MilliPerS, 20000);
  cr_assert_eq(LimitOf("0")->MilliPerS, 0);
  cr_assert_eq(LimitOf("99999999999999999999")->MilliPerS, 1000000000);
  for (const char *Text : {"", "-1", "-0", "nan", "inf", "1e300", "2,5", "two",
                           "1.3 per second", "0x10"})
    cr_assert_not(LimitOf(Text), "%s", Text);
  cr_assert_not(Setup.response(200, {}).Limit);
}
