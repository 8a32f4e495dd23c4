#include "harness.hpp"

#include <jujubecart/platform/http_profile.hpp>

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::test;

namespace {

core::Route makeRoute(const std::string &Path, bool Public) {
  return {.Name = Path,
          .Host = "a",
          .PathPrefix = Path,
          .Idempotent = true,
          .Priority = 4,
          .MaxAttempts = 2,
          .TimeoutMs = 400,
          .Public = Public,
          .Services = {{.Service = "tags", .Weight = 1}}};
}

core::WorkspaceTable makeWorkspaces() {
  return core::WorkspaceTable(
      {{.Item = {.Name = "clubs", .Priority = 1},
        .Keys = {core::digestOf("k1"), core::digestOf("k2")}},
       {.Item = {.Name = "desks"}, .Keys = {core::digestOf("k3")}}});
}

/// @brief What a VM knows of the age of its configuration.
class TestFreshness final : public core::ConfigFreshness {
public:
  [[nodiscard]] std::optional<std::chrono::milliseconds>
  completeUntil() const noexcept override {
    const std::int64_t Age = AgeMs;
    if (Age < 0)
      return std::nullopt;
    return core::SystemClock().uptime() - std::chrono::milliseconds(Age);
  }

  /// Negative if it is not known.
  std::atomic<std::int64_t> AgeMs{0};
};

/// @brief A backend server that answers all requests, behind a server for
/// callers with a route that needs a key and a public one.
struct Fixture {
  explicit Fixture(core::WorkspaceTable Workspaces = makeWorkspaces(),
                   const core::ConfigFreshness *Freshness = nullptr,
                   std::vector<std::string> Servers = {})
      : Backend([this](tcp::socket &Socket, int) {
          while (!Backend.readRequest(Socket).empty())
            send(Socket, response("200 OK", "done",
                                  "Request-Id: 9c41d07be2a35f68\r\n"
                                  "Response-Signature: s\r\n"));
        }) {
    Harness::Settings TestSettings;
    TestSettings.Routes = {makeRoute("/keyed/", false),
                           makeRoute("/public/", true)};
    TestSettings.Workspaces = std::move(Workspaces);
    TestSettings.Profile = &platform::httpProfile();
    TestSettings.Freshness = Freshness;
    TestSettings.Options.MaxKeyAge = 2000ms;
    TestSettings.Options.BufferResponsesWithoutLength = true;
    Servers.push_back(Backend.address());
    Entry = std::make_unique<Harness>(Servers, TestSettings);
  }

  /// @brief Sends a GET request with further header lines.
  std::string get(const std::string &Path, const std::string &Fields) {
    return Entry->call("GET " + Path + " HTTP/1.1\r\nHost: a\r\n" +
                       "Request-Id: 9c41d07be2a35f68\r\n" + Fields + "\r\n");
  }

  ScriptedBackend Backend;
  std::unique_ptr<Harness> Entry;
};

int count(const std::string &Text, const std::string &Part) {
  int Out = 0;
  for (auto At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Out;
  return Out;
}

} // namespace

// Guards against a request that runs without a valid API key.
Test(Workspaces, request_without_one_known_key_is_answered_401) {
  Fixture Setup;
  for (const char *Fields :
       {"", "Authorization: Token k4\r\n", "Authorization: Token \r\n",
        "Authorization: Basic k1\r\n", "Authorization: k1\r\n",
        "Authorization: Token k1\r\nAuthorization: Token k1\r\n",
        "Authorization: Token k1\r\nauthorization: Token k4\r\n",
        "Authorization: Token k1, Token k4\r\n", "Tenant: clubs\r\n"}) {
    const std::string Answer = Setup.get("/keyed/1", Fields);
    cr_assert_eq(statusOf(Answer), 401, "%s: %s", Fields, Answer.c_str());
    cr_assert_neq(Answer.find("WWW-Authenticate: Token\r\n"),
                  std::string::npos);
  }
  cr_assert(Setup.Backend.requests().empty());
  cr_assert(Setup.Entry->Broker.slotRequests().empty());
  cr_assert_eq(Setup.Entry->Server->counters().rejected(
                   callers::RejectReason::Unauthorized),
               9);
}

// Guards against keys that stop counting when the last workspace is taken away.
Test(Workspaces, empty_table_makes_every_key_unknown) {
  Fixture Setup{
      core::WorkspaceTable(std::vector<core::WorkspaceTable::Entry>{})};
  for (const char *Fields : {"", "Authorization: Token k1\r\n"}) {
    cr_assert_eq(statusOf(Setup.get("/keyed/1", Fields)), 401, "%s", Fields);
    cr_assert_eq(statusOf(Setup.get("/public/1", Fields)), 200, "%s", Fields);
  }
}

// Guards against 401 instead of 404, which tells callers to look for a key.
Test(Workspaces, unknown_route_is_answered_404_with_or_without_a_key) {
  Fixture Setup;
  cr_assert_eq(statusOf(Setup.get("/other/", "")), 404);
  cr_assert_eq(statusOf(Setup.get("/other/", "Authorization: Token k1\r\n")),
               404);
}

// Guards against API keys that reach a backend server, and against callers that
// choose the workspace themselves.
Test(Workspaces, server_gets_the_name_of_the_workspace_instead_of_the_key) {
  Fixture Setup;
  cr_assert_eq(statusOf(Setup.get("/keyed/1", "authorization: token k2\r\n"
                                              "tenant: desks\r\n"
                                              "Tenant: other\r\n")),
               200);
  const std::string Sent = Setup.Backend.requests().front();
  cr_assert_neq(Sent.find("\r\nTenant: clubs\r\n"), std::string::npos, "%s",
                Sent.c_str());
  cr_assert_eq(count(Sent, "enant:"), 1, "%s", Sent.c_str());
  cr_assert_eq(count(Sent, "uthorization"), 0, "%s", Sent.c_str());
  cr_assert_eq(count(Sent, "k2"), 0);
}

// Guards against a public route that refuses callers without a key, or passes
// on what they claim to be.
Test(Workspaces, public_route_names_the_workspace_of_a_valid_key_only) {
  Fixture Setup;
  for (const char *Fields : {"Tenant: clubs\r\n", "Authorization: Token k4\r\n",
                             "Authorization: Token k3\r\nTenant: clubs\r\n"})
    cr_assert_eq(statusOf(Setup.get("/public/1", Fields)), 200);
  const auto Sent = Setup.Backend.requests();
  cr_assert_eq(count(Sent[0], "enant:"), 0, "%s", Sent[0].c_str());
  cr_assert_eq(count(Sent[1], "enant:"), 0, "%s", Sent[1].c_str());
  cr_assert_neq(Sent[2].find("\r\nTenant: desks\r\n"), std::string::npos);
  cr_assert_eq(count(Sent[2], "enant:"), 1, "%s", Sent[2].c_str());
  for (const std::string &Each : Sent)
    cr_assert_eq(count(Each, "uthorization"), 0);
}

// Guards against another wire where no workspaces are configured.
Test(Workspaces, without_workspaces_the_callers_fields_are_passed_on) {
  Fixture Setup{core::WorkspaceTable()};
  cr_assert_eq(statusOf(Setup.get("/keyed/1", "Authorization: Token k9\r\n"
                                              "Tenant: own\r\n")),
               200);
  cr_assert_eq(statusOf(Setup.get("/keyed/1", "")), 200);
  const auto Sent = Setup.Backend.requests();
  cr_assert_neq(Sent[0].find("Authorization: Token k9\r\nTenant: own\r\n"),
                std::string::npos, "%s", Sent[0].c_str());
  cr_assert_eq(count(Sent[1], "enant"), 0);
  cr_assert_eq(Setup.Entry->Broker.slotRequests().front().Workspace, 0);
}

// Guards against a request that is dispatched with the priority of its route,
// or that counts against the quota more or less than once.
Test(Workspaces, slot_request_has_the_workspace_and_counts_once) {
  Fixture Setup;
  cr_assert_eq(statusOf(Setup.get("/keyed/1", "Authorization: Token k1\r\n")),
               200);
  cr_assert_eq(statusOf(Setup.get("/keyed/1", "Authorization: Token k3\r\n")),
               200);
  const auto First = Setup.Entry->Broker.slotRequests();
  cr_assert_eq(First[0].Workspace, (core::Workspace{.Name = "clubs"}.hash()));
  cr_assert_eq(First[0].Priority, 1);
  cr_assert_eq(First[1].Workspace, (core::Workspace{.Name = "desks"}.hash()));
  cr_assert_eq(First[1].Priority, 4);
  Setup.Entry->Broker.avoid("s0");
  cr_assert_eq(statusOf(Setup.get("/keyed/1", "Authorization: Token k1\r\n")),
               503);
  const auto All = Setup.Entry->Broker.slotRequests();
  cr_assert_eq(All.size(), 4);
  cr_assert(All[2].CountsAgainstQuota);
  // The slot was returned unused, and with it the use of the quota.
  cr_assert(All[3].CountsAgainstQuota);
}

// Guards against a request that counts again because its connection failed
// after it had a slot.
Test(Workspaces, retry_after_a_failed_connection_does_not_count) {
  Fixture Setup(makeWorkspaces(), nullptr, {"127.0.0.1:1"});
  cr_assert_eq(statusOf(Setup.get("/keyed/1", "Authorization: Token k1\r\n")),
               200);
  const auto All = Setup.Entry->Broker.slotRequests();
  cr_assert_eq(All.size(), 2);
  cr_assert(All[0].CountsAgainstQuota);
  cr_assert_not(All[1].CountsAgainstQuota);
}

// Guards against a caller that is not told when it may send again.
Test(Workspaces, quota_exceeded_is_answered_429_with_a_time) {
  Fixture Setup;
  Setup.Entry->Broker.QuotaUsed = true;
  const std::string Answer =
      Setup.get("/keyed/1", "Authorization: Token k1\r\n");
  cr_assert_eq(statusOf(Answer), 429, "%s", Answer.c_str());
  cr_assert_neq(Answer.find("Retry-After: 1."), std::string::npos, "%s",
                Answer.c_str());
  cr_assert_neq(Answer.find("quota of the workspace exceeded"),
                std::string::npos);
  cr_assert_eq(Setup.Entry->Server->counters().rejected(
                   callers::RejectReason::QuotaExceeded),
               1);
}

// Guards against a VM that goes on with keys which may have been removed, and
// against one that sends callers with a good key away for good.
Test(Workspaces, outdated_keys_are_answered_503_except_on_public_routes) {
  TestFreshness Known;
  Fixture Setup(makeWorkspaces(), &Known);
  const std::string Good = "Authorization: Token k1\r\n";
  Known.AgeMs = 1000;
  cr_assert_eq(statusOf(Setup.get("/keyed/1", Good)), 200);
  for (const std::int64_t AgeMs : {2100, 3600000, -1}) {
    Known.AgeMs = AgeMs;
    for (const std::string &Fields :
         {Good, std::string("Authorization: Token k4\r\n"), std::string()}) {
      const std::string Answer = Setup.get("/keyed/1", Fields);
      cr_assert_eq(statusOf(Answer), 503, "%s", Answer.c_str());
      cr_assert_neq(Answer.find("Retry-After: 1.000"), std::string::npos);
    }
    cr_assert_eq(statusOf(Setup.get("/public/1", Good)), 200);
    cr_assert_eq(statusOf(Setup.get("/other/1", Good)), 404);
  }
  Known.AgeMs = 0;
  cr_assert_eq(statusOf(Setup.get("/keyed/1", Good)), 200);
  const auto Sent = Setup.Backend.requests();
  cr_assert_eq(Sent.size(), 5);
  for (std::size_t Index = 1; Index < 4; ++Index)
    cr_assert_eq(count(Sent[Index], "enant:"), 0, "%s", Sent[Index].c_str());
  cr_assert_eq(Setup.Entry->Server->counters().rejected(
                   callers::RejectReason::KeysOutdated),
               9);
}

// Guards against a VM without workspaces that refuses callers because it does
// not hear from the store.
Test(Workspaces, age_of_the_configuration_is_unimportant_without_workspaces) {
  TestFreshness Known;
  Known.AgeMs = -1;
  Fixture Setup(core::WorkspaceTable(), &Known);
  cr_assert_eq(statusOf(Setup.get("/keyed/1", "")), 200);
}
