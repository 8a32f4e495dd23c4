#include <apps/jujubecartd/explanation.hpp>

#include <criterion/criterion.h>

using namespace jujubecart;
using namespace jujubecart::daemon;
using namespace std::chrono_literals;

namespace {

core::ConfigSnapshot makeConfig() {
  core::ConfigSnapshot::ServiceMap Entries;
  for (const char *Name : {"tags", "blue"}) {
    core::ServiceConfig Service{.Name = Name};
    Service.Servers.push_back({.Id = "b1"});
    Entries.emplace(Name, std::make_shared<core::ServiceEntry>(
                              core::ServiceEntry{3, std::move(Service)}));
  }
  std::vector<core::Route> Routes{{.Name = "keyed",
                                   .Host = "a",
                                   .PathPrefix = "/keyed/",
                                   .Services = {{"tags", 1}, {"blue", 3}}},
                                  {.Name = "open",
                                   .Host = "a",
                                   .PathPrefix = "/open/",
                                   .Public = true,
                                   .Services = {{"tags", 1}}},
                                  {.Name = "empty",
                                   .Host = "a",
                                   .PathPrefix = "/empty/",
                                   .Public = true,
                                   .Services = {{"removed", 1}}}};
  core::WorkspaceTable Workspaces(
      {{.Item = {.Name = "clubs", .Quota = {.MilliPerS = 5000, .Burst = 20}},
        .Keys = {core::digestOf("k1")}}});
  return {7, std::move(Entries),
          std::make_shared<core::RoutingTable>(12, std::move(Routes),
                                               core::CallerLimits{},
                                               std::move(Workspaces))};
}

/// @brief A group whose dispatcher decides so.
peers::GroupPlan makeGroup(const char *Dispatcher,
                           std::optional<decision::Decision> Outcome) {
  peers::GroupPlan Out{
      .Group = "tags/r/0", .SharePercent = 100, .Dispatchers = {Dispatcher}};
  Out.Preview.Outcome = std::move(Outcome);
  return Out;
}

KnownState makeState(Admission Admitted) {
  return {.Vm = "vm1", .Admitted = std::move(Admitted)};
}

} // namespace

// Guards against an explanation that differs from the response that the VM
// gives before it asks for a slot.
Test(Explanation, configuration_alone_rejects_as_the_vm_does) {
  const core::ConfigSnapshot Config = makeConfig();
  const struct {
    const char *Query;
    bool KeysCount;
    unsigned Status;
    KeyCheck Key;
  } Cases[] = {
      {"host=a&path=/keyed/1&workspace=clubs", true, 0, KeyCheck::Valid},
      {"host=a&path=/keyed/1&workspace=desks", true, 401, KeyCheck::Unknown},
      {"host=a&path=/keyed/1", true, 401, KeyCheck::Missing},
      {"host=a&path=/keyed/1&workspace=clubs", false, 503,
       KeyCheck::Unverifiable},
      {"host=a&path=/open/1", true, 0, KeyCheck::NotNeeded},
      {"host=a&path=/open/1&workspace=desks", true, 0, KeyCheck::Unknown},
      {"host=a&path=/open/1&workspace=clubs", false, 0, KeyCheck::NotNeeded},
      {"host=b&path=/keyed/1", true, 404, KeyCheck::NotNeeded},
      {"host=a&path=/other", true, 404, KeyCheck::NotNeeded}};
  for (const auto &Each : Cases) {
    const auto Parsed = operators::parseExplainQuery(Each.Query);
    cr_assert_str_empty(Parsed.Problem.c_str());
    const Admission Result = admit(Config, Parsed.Query, Each.KeysCount);
    cr_expect_eq(Result.Refused ? Result.Refused->Status : 0, Each.Status, "%s",
                 Each.Query);
    cr_expect(Result.Key == Each.Key, "%s", Each.Query);
    if (Each.Status != 0)
      cr_expect(explain(makeState(Result)).Result == Verdict::Rejected);
  }
  operators::ExplainQuery WithKey{.Host = "a", .Path = "/keyed/1"};
  WithKey.Key = core::digestOf("k1");
  const Admission Found = admit(Config, WithKey, true);
  cr_assert_eq(Found.Workspace->Name, "clubs");
  cr_assert_eq(*Found.RoutingVersion, 12);
  cr_assert_eq(Found.Services.front().Name, "blue");
  cr_assert_eq(Found.Services.front().SharePercent, 75);
  cr_assert_eq(admit({}, WithKey, true).Refused->Status, 503);
  // A table without workspaces knows no key, but requires one.
  const core::ConfigSnapshot Locked(
      8, makeConfig().entries(),
      std::make_shared<core::RoutingTable>(
          13, makeConfig().routing()->routes(), core::CallerLimits{},
          core::WorkspaceTable(std::vector<core::WorkspaceTable::Entry>())));
  cr_assert_eq(admit(Locked, WithKey, true).Refused->Status, 401);
}

// Guards against a verdict, a status or an order of reasons that do not follow
// from what is known.
Test(Explanation, verdict_follows_quota_and_dispatcher) {
  const auto Query =
      operators::parseExplainQuery("host=a&path=/keyed/1&workspace=clubs");
  const KnownState Base = makeState(admit(makeConfig(), Query.Query, true));
  const auto Grant = decision::Granted{.Server = {.Id = "b1"}};
  const auto Overload =
      decision::Rejected{.Reason = core::Error::Overloaded, .RetryAfter = 70ms};
  const auto Late = decision::Rejected{.Reason = core::Error::DeadlineExceeded};
  const decision::QuotaPreview Room{.Quota = {5000, 20}, .Shared = true};
  decision::QuotaPreview Used = Room;
  Used.Decision.Admitted = false;
  Used.Decision.RetryAfter = 300ms;
  decision::QuotaPreview UsedAlone = Used;
  UsedAlone.Shared = false;
  const struct {
    const char *Name;
    decision::QuotaPreview Quota;
    std::vector<peers::GroupPlan> Groups;
    Verdict Result;
    unsigned Status;
    const char *Last;
  } Cases[] = {
      {"granted", Room, {makeGroup("vm1", Grant)}, Verdict::Sent, 0, "sent"},
      {"waits", Room, {makeGroup("vm1", {})}, Verdict::Waits, 0, "waits"},
      {"overloaded",
       Room,
       {makeGroup("vm1", Overload)},
       Verdict::Rejected,
       503,
       "rejected"},
      {"late",
       Room,
       {makeGroup("vm1", Late)},
       Verdict::Rejected,
       503,
       "rejected"},
      {"quota",
       Used,
       {makeGroup("vm1", Grant)},
       Verdict::Rejected,
       429,
       "rejected"},
      {"quota without reports",
       UsedAlone,
       {makeGroup("vm1", Grant)},
       Verdict::Rejected,
       429,
       "rejected"},
      {"quota of another VM",
       Used,
       {makeGroup("vm2", Overload)},
       Verdict::Asks,
       0,
       "asks"},
      {"no group", Room, {}, Verdict::Rejected, 503, "rejected"},
      {"most probable group",
       Room,
       {makeGroup("vm1", Grant), makeGroup("vm2", Overload)},
       Verdict::Sent,
       0,
       "sent"}};
  for (const auto &Each : Cases) {
    KnownState Known = Base;
    Known.Quota = Each.Quota;
    Known.Services.push_back({{.Name = "tags"}, Each.Groups});
    const Explanation Out = explain(Known);
    cr_expect(Out.Result == Each.Result, "%s", Each.Name);
    cr_expect_eq(Out.Refused ? Out.Refused->Status : 0, Each.Status, "%s",
                 Each.Name);
    cr_expect_str_eq(Out.Reasons.back().Subject.c_str(), Each.Last, "%s",
                     Each.Name);
    cr_expect_str_eq(Out.Reasons.front().Subject.c_str(), "configuration");
    cr_expect_eq(Out.Server, Each.Result == Verdict::Sent ? "b1" : "");
    const nlohmann::json Body = toJson(Known, Out);
    cr_expect_eq(Body["verdict"], toString(Each.Result));
    cr_expect_eq(Body.contains("rejected"), Each.Status != 0);
  }
  // Without reports a VM decides on no request of another VM.
  KnownState ForOther = Base;
  ForOther.Receiver = "vm2";
  ForOther.Quota = UsedAlone;
  ForOther.Services.push_back({{.Name = "tags"}, {makeGroup("vm1", Grant)}});
  cr_assert_eq(explain(ForOther).Refused->Status, 503);
}

// Guards against a server of an evacuated zone that looks as if the operators
// had set it to draining by itself.
Test(Explanation, server_of_an_evacuated_zone_is_marked) {
  KnownState Known = makeState({});
  Known.EvacuatedZones = {"b"};
  Known.Services.push_back({{.Name = "tags"}, {makeGroup("vm1", {})}});
  for (const char *Zone : {"a", "b"})
    Known.Services[0].Groups[0].Preview.Servers.push_back({.Zone = Zone});
  const nlohmann::json Servers =
      toJson(Known, explain(Known))["services"][0]["groups"][0]["servers"];
  cr_assert_eq(Servers[0]["zone_evacuated"], false);
  cr_assert_eq(Servers[1]["zone_evacuated"], true);
}
