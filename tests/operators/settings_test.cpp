#include <criterion/criterion.h>
#include <jujubecart/core/json_reader.hpp>
#include <jujubecart/operators/settings_reader.hpp>

using namespace jujubecart;

namespace {

const std::string Valid = R"({
  "vm": {"id": "vm1", "zone": "z1", "region": "alfold"},
  "callers": {"listen": "127.0.0.1:8080"},
  "operators": {"listen": "127.0.0.1:8081"},
  "peers": {"listen": "127.0.0.1:8082", "seeds": ["127.0.0.1:8083"]},
  "store": {"endpoints": ["127.0.0.1:8084"]}
})";

/// A change that makes the valid settings invalid.
struct InvalidCase {
  /// JSON pointer of the changed member, which must be reported.
  const char *Pointer;
  /// New value as JSON text; nullptr removes the member.
  const char *Value;
};

const InvalidCase InvalidCases[] = {
    {"/vm", nullptr},
    {"/vm", "3"},
    {"/vm", "[]"},
    {"/vm/id", nullptr},
    {"/vm/id", "\"\""},
    {"/vm/id", "7"},
    {"/vm/id", "\"a\\nb\""},
    {"/vm/zone", nullptr},
    {"/vm/region", "null"},
    {"/vm/extra", "1"},
    {"/callers", nullptr},
    {"/callers/listen", nullptr},
    {"/callers/listen", "\"localhost:80\""},
    {"/callers/listen", "\"127.0.0.1\""},
    {"/callers/listen", "\"127.0.0.1:0\""},
    {"/callers/listen", "\"127.0.0.1:65536\""},
    {"/callers/listen", "\"127.0.0.1:80x\""},
    {"/callers/max_connections", "0"},
    {"/callers/max_connections", "1.5"},
    {"/callers/max_connections", "\"many\""},
    {"/callers/header_limit_bytes", "10"},
    {"/callers/body_limit_bytes", "-1"},
    {"/callers/header_timeout_ms", "0"},
    {"/callers/idle_timeout_ms", "99999999999999999999"},
    {"/callers/max_deadline_ms", "true"},
    {"/callers/hedge_after_ms", "-5"},
    {"/callers/colour", "1"},
    {"/operators", nullptr},
    {"/operators/listen", "{}"},
    {"/operators/tls/certificate", "\"/nonexistent/certificate.pem\""},
    {"/operators/tls/key", "5"},
    {"/peers/listen", "\"[::1]\""},
    {"/peers/seeds", "\"127.0.0.1:1\""},
    {"/peers/seeds/0", "\"nowhere\""},
    {"/peers/seeds/0", "5"},
    {"/peers/suspect_after_ms", "1"},
    {"/peers/remove_after_ms", "200"},
    {"/store", nullptr},
    {"/store/endpoints", "[]"},
    {"/store/endpoints/0", "\"127.0.0.1\""},
    {"/store/timeout_ms", "0"},
    {"/platform", "\"127.0.0.1:1\""},
    {"/platform/endpoint", "\"x\""},
    {"/policy", "\"magic\""},
    {"/policy", "3"},
    {"/workers", "0"},
    {"/workers", "65"},
    {"/shutdown_deadline_s", "-1"},
    {"/timeline_events", "1e3"},
    {"/log/level", "\"loud\""},
    {"/log/file", "\"a\""},
    {"/unknown", "1"},
};

std::string applyCase(const InvalidCase &Case) {
  nlohmann::json Settings = nlohmann::json::parse(Valid);
  const nlohmann::json::json_pointer Pointer(Case.Pointer);
  if (Case.Value != nullptr)
    Settings[Pointer] = nlohmann::json::parse(Case.Value);
  else
    Settings[Pointer.parent_pointer()].erase(Pointer.back());
  return Settings.dump();
}

bool hasFinding(const core::Findings &Report, const std::string &Pointer) {
  for (const core::Finding &Item : Report.items())
    if (Item.Pointer.compare(0, Pointer.size(), Pointer) == 0)
      return true;
  return false;
}

} // namespace

// Guards against a file with only the required members that is rejected.
Test(Settings, minimal_file_is_accepted) {
  core::Findings Report("settings.json");
  const auto Parsed = operators::readSettings(Valid, Report);
  cr_assert(Report.empty(), "%s", Report.text().c_str());
  cr_assert_eq(Parsed.Peers.Seeds.size(), 1);
  cr_assert_eq(Parsed.Policy, "dispatcher");
}

// Guards against invalid settings that are accepted or are reported with the
// pointer of another member.
Test(Settings, bad_member_is_reported_with_its_pointer) {
  for (const InvalidCase &Case : InvalidCases) {
    core::Findings Report("settings.json");
    (void)operators::readSettings(applyCase(Case), Report);
    cr_expect(hasFinding(Report, Case.Pointer), "%s = %s: %s", Case.Pointer,
              Case.Value == nullptr ? "removed" : Case.Value,
              Report.text().c_str());
  }
}

// Guards against text that is accepted although it is not a JSON object or has
// duplicate keys.
Test(Settings, text_that_is_not_an_object_is_reported) {
  for (const char *Text :
       {"", "[]", "{", "{}}", "nul", "\xff", "{\"vm\":1,\"vm\":2}"}) {
    core::Findings Report("settings.json");
    (void)operators::readSettings(Text, Report);
    cr_expect_not(Report.empty(), "%s", Text);
  }
}

// Guards against a reader that reports only the first problem.
Test(Settings, several_bad_members_are_reported_together) {
  core::Findings Report("settings.json");
  (void)operators::readSettings(R"({"vm":{},"colour":1})", Report);
  cr_assert_geq(Report.items().size(), 8);
}

// Guards against a fleet that sends more retries than its platform allows,
// because a limit is ignored or read as another.
Test(Settings, retry_limits_are_read_and_checked) {
  const std::string Whole = R"({
    "vm": {"id": "a", "zone": "z", "region": "r"},
    "callers": {"listen": "127.0.0.1:1"},
    "operators": {"listen": "127.0.0.1:2"},
    "peers": {"listen": "127.0.0.1:3"},
    "store": {"endpoints": ["127.0.0.1:4"]},
    "retries": {"ratio": 0.2, "fleet_burst": 56}})";
  core::Findings Report("test");
  const operators::Settings Read = operators::readSettings(Whole, Report);
  cr_assert(Report.empty(), "%s", Report.text().c_str());
  cr_assert_eq(Read.Retries.Ratio, 0.2);
  cr_assert_eq(Read.Retries.FleetBurst, 56);
  for (const char *Wrong : {"-0.1", "1.5", "\"much\""}) {
    std::string Text = Whole;
    Text.replace(Text.find("0.2"), 3, Wrong);
    core::Findings Problems("test");
    static_cast<void>(operators::readSettings(Text, Problems));
    cr_assert_not(Problems.empty(), "%s", Wrong);
  }
}

// Guards against quotas that are counted in other windows than the platform
// counts them in.
Test(Settings, quota_window_is_read_and_checked) {
  const std::string Whole = R"({
    "vm": {"id": "a", "zone": "z", "region": "r"},
    "callers": {"listen": "127.0.0.1:1"},
    "operators": {"listen": "127.0.0.1:2"},
    "peers": {"listen": "127.0.0.1:3"},
    "store": {"endpoints": ["127.0.0.1:4"]},
    "quotas": {"window": "2500ms", "excess": 0.2, "slack": 30}})";
  core::Findings Report("test");
  const operators::Settings Read = operators::readSettings(Whole, Report);
  cr_assert(Report.empty(), "%s", Report.text().c_str());
  cr_assert_eq(Read.Quotas, (operators::QuotaSettings{2500, 0.2, 30}));
  for (const char *Wrong : {"\"400ms\"", "0", "\"long\""}) {
    std::string Text = Whole;
    Text.replace(Text.find("\"2500ms\""), 8, Wrong);
    core::Findings Problems("test");
    static_cast<void>(operators::readSettings(Text, Problems));
    cr_assert_not(Problems.empty(), "%s", Wrong);
  }
}

// Guards against a price that is read although it is absent, which would change
// the choice of servers, and against a wrong one that is accepted.
Test(Settings, zone_price_is_optional_and_checked) {
  const std::string Whole = R"({
    "vm": {"id": "a", "zone": "z", "region": "r"},
    "callers": {"listen": "127.0.0.1:1"},
    "operators": {"listen": "127.0.0.1:2"},
    "peers": {"listen": "127.0.0.1:3"},
    "store": {"endpoints": ["127.0.0.1:4"]},
    "zones": {"price_per_gb": 9000}})";
  core::Findings Report("test");
  cr_assert_eq(operators::readSettings(Whole, Report).Zones.PricePerGb, 9000);
  std::string Text = Whole;
  Text.replace(Text.find("\"price_per_gb\": 9000"), 20, "");
  cr_assert_not(
      operators::readSettings(Text, Report).Zones.PricePerGb.has_value());
  cr_assert(Report.empty(), "%s", Report.text().c_str());
  Text = Whole;
  Text.replace(Text.find("9000"), 4, "-1");
  static_cast<void>(operators::readSettings(Text, Report));
  cr_assert_not(Report.empty());
}

// Guards against durations written by a deployment tool that are read in the
// wrong unit, and against invalid durations that are accepted.
Test(Settings, directory_times_are_read_with_and_without_unit) {
  const std::string Whole = R"({
    "vm": {"id": "a", "zone": "z", "region": "r"},
    "callers": {"listen": "127.0.0.1:1"},
    "operators": {"listen": "127.0.0.1:2"},
    "peers": {"listen": "127.0.0.1:3"},
    "store": {"endpoints": ["127.0.0.1:4"]},
    "directory": {"zones": {"z": "r"}, "grace": "6s", "leave": 1500}})";
  core::Findings Report("test");
  const operators::Settings Read = operators::readSettings(Whole, Report);
  cr_assert(Report.empty(), "%s", Report.text().c_str());
  cr_assert(Read.Directory.Enabled);
  cr_assert_eq(Read.Directory.GraceMs, 6000);
  cr_assert_eq(Read.Directory.LeaveMs, 1500);
  cr_assert_eq(Read.Directory.Zones.at("z"), "r");
  for (const char *Wrong : {"\"6 hours\"", "\"s\"", "-1", "true", "0"}) {
    std::string Text = Whole;
    Text.replace(Text.find("\"6s\""), 4, Wrong);
    core::Findings Problems("test");
    static_cast<void>(operators::readSettings(Text, Problems));
    cr_assert_not(Problems.empty(), "%s", Wrong);
  }
}

// Guards against a revocation that is off although the settings ask for it, on
// by default, or shorter than the VMs can keep.
Test(Settings, time_for_revocations_is_read_and_off_by_default) {
  const std::string Whole = R"({
    "vm": {"id": "a", "zone": "z", "region": "r"},
    "callers": {"listen": "127.0.0.1:1"},
    "operators": {"listen": "127.0.0.1:2"},
    "peers": {"listen": "127.0.0.1:3"},
    "store": {"endpoints": ["127.0.0.1:4"]},
    "directory": {"zones": {"z": "r"}, "revoke": "5000ms"}})";
  const auto Read = [&](const std::string &Revoke, core::Findings &Report) {
    std::string Text = Whole;
    Text.replace(Text.find(", \"revoke\": \"5000ms\""), 20, Revoke);
    return operators::readSettings(Text, Report).Directory.RevokeMs;
  };
  core::Findings Valid("test");
  cr_assert_eq(Read(", \"revoke\": \"5s\"", Valid), 5000);
  cr_assert_eq(Read("", Valid), 0);
  cr_assert(Valid.empty(), "%s", Valid.text().c_str());
  for (const char *Wrong : {"true", "\"soon\"", "0", "\"3900ms\""}) {
    core::Findings Problems("test");
    (void)Read(std::string(", \"revoke\": ") + Wrong, Problems);
    cr_assert_neq(Problems.text().find("/directory/revoke"), std::string::npos,
                  "%s", Wrong);
  }
}
