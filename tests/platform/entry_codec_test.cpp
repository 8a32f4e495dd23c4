#include <criterion/criterion.h>
#include <jujubecart/platform/entry_codec.hpp>

using namespace jujubecart;

namespace {

constexpr const char *Config = R"({"version":7,
 "routes":{
  "r-1":{"host":"HULO84.example","path-prefix":"/xapu/","kind":"unsafe",
    "timeout":"1200ms","target-latency":"0.4s","priority":1,
    "service":"orders","max-attempts":2},
  "r-2":{"host":"jepu9.example","path-prefix":"/lepu/","kind":"safe",
    "timeout":"1000ms","priority":2,"max-attempts":3,
    "split":[{"service":"one","weight":90},{"service":"two","weight":10}]}},
 "services":{"orders":{"health-path":"/h","max-conns":220,"protocol":"h1"}},
 "limits":{"max-header-bytes":16384,"max-body-bytes":67108864,
  "header-timeout":"3000ms","idle-timeout":"15s"},
 "new-field":[1,2]})";

constexpr const char *Server =
    R"({"address":"10.128.0.9:8080","born":1700000000000,
 "info":{"service":"orders","version":"v1","zone":"a","slots":2},
 "status":{"state":"ready","sequence":4,"warmup-left":"0ms"}})";

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  return Text.replace(Text.find(From), From.size(), To);
}

struct Fixture {
  platform::EntryCodec Codec;
  core::Findings Report{"test"};
};

} // namespace

// Guards against mixing up fields of the configuration, for example by reading
// the value of one field into another.
Test(EntryCodec, every_field_of_the_configuration_is_decoded) {
  Fixture Setup;
  const auto Decoded = Setup.Codec.decodeRouting(Config, Setup.Report);
  cr_assert(Decoded.has_value(), "%s", Setup.Report.text().c_str());
  cr_assert(Setup.Report.empty(), "%s", Setup.Report.text().c_str());
  cr_assert_eq(Decoded->Routing->version(), 7);
  const core::Route *OrderRoute =
      Decoded->Routing->find("hulo84.example", "/xapu/1");
  cr_assert_not_null(OrderRoute);
  cr_assert_not(OrderRoute->Idempotent);
  cr_assert_eq(OrderRoute->TimeoutMs, 1200);
  cr_assert_eq(OrderRoute->ObjectiveMs, 400);
  cr_assert_eq(OrderRoute->MaxAttempts, 2);
  cr_assert_eq(OrderRoute->Services.front().Service, "orders");
  const core::Route *SplitRoute =
      Decoded->Routing->find("jepu9.example", "/lepu/1");
  cr_assert(SplitRoute->Idempotent);
  cr_assert_eq(SplitRoute->Services.size(), 2);
  cr_assert_eq(SplitRoute->Services[1].Weight, 10);
  cr_assert_eq(Decoded->Services.find("orders")->second.Connections, 220);
  cr_assert_eq(Decoded->Services.find("orders")->second.HealthPath, "/h");
  cr_assert_eq(Decoded->Routing->limits().IdleTimeoutMs, 15000);
}

// Guards against one invalid route that makes the whole configuration invalid
// and so takes all other routes out of service.
Test(EntryCodec, invalid_route_is_left_out_and_reported) {
  Fixture Setup;
  const auto Decoded = Setup.Codec.decodeRouting(
      replaced(Config, "\"timeout\":\"1200ms\"", "\"timeout\":true"),
      Setup.Report);
  cr_assert(Decoded.has_value());
  cr_assert_null(Decoded->Routing->find("hulo84.example", "/xapu/1"));
  cr_assert_not_null(Decoded->Routing->find("jepu9.example", "/lepu/1"));
  cr_assert_not(Setup.Report.empty());
}

// Guards against putting a configuration in force that is no valid JSON object
// or that lacks required fields such as the limits.
Test(EntryCodec, malformed_configuration_is_rejected) {
  for (const char *Text : {"", "[]", "{\"version\":3}", "\xff\xfe", "null"}) {
    Fixture Setup;
    cr_assert_not(Setup.Codec.decodeRouting(Text, Setup.Report).has_value());
    cr_assert_not(Setup.Report.empty());
  }
}

// Guards against mixing up or losing fields of a server's registration.
Test(EntryCodec, every_field_of_a_server_is_decoded) {
  Fixture Setup;
  const auto Decoded =
      Setup.Codec.decodeServer("servers/i-7", Server, Setup.Report);
  cr_assert(Decoded.has_value(), "%s", Setup.Report.text().c_str());
  cr_assert_eq(Decoded->Service, "orders");
  cr_assert_eq(Decoded->Server.Id, "i-7");
  cr_assert_eq(Decoded->Server.Slots, 2);
  cr_assert_eq(Decoded->Server.Incarnation, 1700000000000);
  cr_assert(Decoded->Server.State == core::ServerState::Active);
}

// Guards against sending requests to a server whose entry, written by another
// program, is malformed or lacks required fields.
Test(EntryCodec, invalid_server_entry_is_rejected) {
  const std::vector<std::pair<std::string, std::string>> Changes{
      {"10.128.0.9:8080", "nowhere"},
      {"\"slots\":2", "\"slots\":\"two\""},
      {"\"slots\":2", "\"slots\":0"},
      {"\"slots\":2", "\"slots\":-1"},
      {"\"state\":\"ready\"", "\"state\":\"asleep\""},
      {"\"service\":\"orders\"", "\"service\":7"},
      {"\"status\"", "\"stat\""},
      {"\"zone\":\"a\",", ""},
      {"{", ""}};
  for (const auto &[From, To] : Changes) {
    Fixture Setup;
    cr_assert_not(Setup.Codec
                      .decodeServer("servers/i-7", replaced(Server, From, To),
                                    Setup.Report)
                      .has_value(),
                  "%s", To.c_str());
    cr_assert_not(Setup.Report.empty());
  }
}

// Guards against sending new requests to a server that is shutting down,
// because its state is read as ready.
Test(EntryCodec, draining_server_is_decoded_as_draining) {
  Fixture Setup;
  const auto Decoded = Setup.Codec.decodeServer(
      "servers/i-7", replaced(Server, "\"ready\"", "\"draining\""),
      Setup.Report);
  cr_assert(Decoded->Server.State == core::ServerState::Draining);
}

// Guards against VMs that cannot find each other, because a registration is
// written in another form than it is read.
Test(EntryCodec, encoded_vm_registration_is_decoded_unchanged) {
  Fixture Setup;
  const core::Member Vm{.Id = "front-a-1",
                        .Address = "10.1.0.18:7200",
                        .OperatorsAddress = "10.1.0.18:7201",
                        .Zone = "a",
                        .Region = "r",
                        .ProcessorMilli = 200,
                        .Incarnation = 1764864000123};
  const auto Decoded = Setup.Codec.decodeVm(
      Setup.Codec.vmKey(Vm.Id), Setup.Codec.encodeVm(Vm), Setup.Report);
  cr_assert(Decoded == Vm);
  cr_assert(Setup.Codec.entryKind(Setup.Codec.vmKey("x")) ==
            core::EntryKind::Vm);
  cr_assert(Setup.Codec.entryKind("op/config") == core::EntryKind::Routing);
  cr_assert(Setup.Codec.entryKind("servers/x") == core::EntryKind::Server);
  cr_assert(Setup.Codec.entryKind("other") == core::EntryKind::Other);
}

namespace {

/// @brief Text with many nested arrays in a field of its own, or in one that is
/// read.
std::string nested(const std::string &Text, const std::string &From) {
  constexpr std::size_t Depth = 200000;
  return replaced(Text, From,
                  "\"odd\":" + std::string(Depth, '[') +
                      std::string(Depth, ']') + "," + From);
}

} // namespace

// Guards against a process that ends, or stops following the store, because
// another writer left an entry that is nested very deeply.
Test(EntryCodec, deeply_nested_entry_ends_no_process) {
  for (const char *At : {"\"address\"", "\"service\"", "\"state\""}) {
    Fixture Setup;
    (void)Setup.Codec.decodeServer("servers/i-7", nested(Server, At),
                                   Setup.Report);
  }
  for (const char *At : {"\"version\":7", "\"health-path\"", "\"host\""}) {
    Fixture Setup;
    (void)Setup.Codec.decodeRouting(nested(Config, At), Setup.Report);
  }
  Fixture Setup;
  (void)Setup.Codec.decodeVm(
      "jujubecart/vms/x", nested("{\"address\":\"10.0.0.1:1\"}", "\"address\""),
      Setup.Report);
  (void)Setup.Codec.decodeVm("jujubecart/vms/x", std::string(200000, '['),
                             Setup.Report);
}

// Guards against numbers that do not fit their type: they must not make an
// entry valid with another value, nor end the process.
Test(EntryCodec, number_too_large_is_rejected) {
  for (const char *Number :
       {"1e999", "-1e999", "99999999999999999999999999", "1e30", "-2", "2.5"}) {
    Fixture Setup;
    cr_assert_not(
        Setup.Codec.decodeServer(
            "servers/i-7",
            replaced(Server, "\"slots\":2", std::string("\"slots\":") + Number),
            Setup.Report),
        "%s", Number);
    cr_assert_not(Setup.Report.empty(), "%s", Number);
  }
  Fixture Setup;
  const auto Decoded = Setup.Codec.decodeServer(
      "servers/i-7",
      replaced(Server, "\"slots\":2", "\"slots\":18446744073709551615"),
      Setup.Report);
  cr_assert(Decoded.has_value());
  cr_assert_leq(Decoded->Server.Slots, 100000);
}

// Guards against a server whose address cannot be connected to and which gets
// calls again and again.
Test(EntryCodec, port_out_of_range_is_rejected) {
  for (const char *Address :
       {"10.128.0.9:0", "10.128.0.9:65536", "10.128.0.9:99999", "10.128.0.9:-1",
        "10.128.0.9:4294975376", "10.128.0.9:", "10.128.0.9:80 ",
        "10.128.0.9:+80", ":80"}) {
    Fixture Setup;
    cr_assert_not(
        Setup.Codec.decodeServer("servers/i-7",
                                 replaced(Server, "10.128.0.9:8080", Address),
                                 Setup.Report),
        "%s", Address);
    Fixture Vm;
    cr_assert_not(Vm.Codec.decodeVm("jujubecart/vms/x",
                                    std::string("{\"address\":\"") + Address +
                                        "\",\"zone\":\"a\","
                                        "\"region\":\"r\"}",
                                    Vm.Report),
                  "%s", Address);
  }
}

namespace {

std::string withWorkspaces(const std::string &Workspaces) {
  return replaced(Config, "\"new-field\"",
                  "\"tenants\":" + Workspaces + ",\"new-field\"");
}

} // namespace

// Guards against keys, quotas or priorities that are read as those of another
// workspace or in another unit.
Test(EntryCodec, every_field_of_a_workspace_is_decoded) {
  Fixture Setup;
  const auto Decoded = Setup.Codec.decodeRouting(
      replaced(withWorkspaces(R"({
        "one":{"api-keys":["k1","k2"],"priority":3,"rate-per-s":0.25,
               "burst":7},
        "two":{"api-keys":["k3"]}, "three":{"api-keys":[],"rate-per-s":0}})"),
               "\"kind\":\"safe\"", "\"kind\":\"safe\",\"public\":true"),
      Setup.Report);
  cr_assert(Decoded && Setup.Report.empty(), "%s", Setup.Report.text().c_str());
  const core::WorkspaceTable &Table = Decoded->Routing->workspaces();
  cr_assert_eq(Table.entries().size(), 3);
  const core::Workspace *One = Table.find("k2");
  cr_assert(One != nullptr && One == Table.find("k1"));
  cr_assert(*One == (core::Workspace{.Name = "one",
                                     .Priority = 3,
                                     .Quota = {.MilliPerS = 250, .Burst = 7}}));
  cr_assert_eq(Table.find("k3")->Name, "two");
  cr_assert_not(Table.find("k3")->Priority.has_value());
  cr_assert_not(Table.find("k3")->Quota.limited());
  cr_assert_null(Table.find("k4"));
  cr_assert_null(Table.find(""));
  cr_assert(Decoded->Routing->find("jepu9.example", "/lepu/1")->Public);
  cr_assert_not(Decoded->Routing->find("hulo84.example", "/xapu/1")->Public);
}

// Guards against refused callers where no workspaces are configured, and
// against keys that stop counting because the last workspace was taken away.
Test(EntryCodec, keys_are_required_if_the_configuration_has_workspaces) {
  for (const auto &[Text, Required] :
       {std::pair(std::string(Config), false),
        std::pair(withWorkspaces("{}"), true),
        std::pair(withWorkspaces(R"({"a":{"api-keys":[]}})"), true)}) {
    Fixture Setup;
    const auto Decoded = Setup.Codec.decodeRouting(Text, Setup.Report);
    cr_assert(Decoded && Setup.Report.empty());
    cr_assert_eq(Decoded->Routing->workspaces().keysRequired(), Required);
  }
}

// Guards against a configuration that lets a caller in as another workspace,
// refuses a workspace or has no limit, because one of its fields is wrong.
Test(EntryCodec, configuration_with_an_invalid_workspace_is_rejected) {
  const std::vector<std::pair<std::string, std::string>> Invalid{
      {R"({"a":{"api-keys":["same"]},"b":{"api-keys":["x","same"]}})",
       "/tenants/b/api-keys/1"},
      {R"({"a":{"api-keys":["x",7]}})", "/tenants/a/api-keys/1"},
      {R"({"a":{"api-keys":[""]}})", "/tenants/a/api-keys/0"},
      {R"({"a":{"api-keys":["se\u000acret"]}})", "/tenants/a/api-keys/0"},
      {R"({"a":{"api-keys":"secret"}})", "/tenants/a/api-keys"},
      {R"({"a":{}})", "/tenants/a/api-keys"},
      {R"({"a":[]})", "/tenants/a"},
      {R"({"":{"api-keys":["x"]}})", "/tenants/"},
      {R"({"a\u000d\u000aHost: b":{"api-keys":["x"]}})", "/tenants/a"},
      {R"([])", "/tenants"},
      {R"({"a":{"api-keys":["x"],"rate-per-s":-1}})", "/tenants/a/rate-per-s"},
      {R"({"a":{"api-keys":["x"],"rate-per-s":1e12}})",
       "/tenants/a/rate-per-s"},
      {R"({"a":{"api-keys":["x"],"rate-per-s":"9"}})", "/tenants/a/rate-per-s"},
      {R"({"a":{"api-keys":["x"],"burst":-0.5}})", "/tenants/a/burst"},
      {R"({"a":{"api-keys":["x"],"burst":null}})", "/tenants/a/burst"},
      {R"({"a":{"api-keys":["x"],"priority":256}})", "/tenants/a/priority"},
      {R"({"a":{"api-keys":["x"],"priority":-1}})", "/tenants/a/priority"}};
  for (const auto &[Text, Pointer] : Invalid) {
    Fixture Setup;
    cr_assert_not(Setup.Codec.decodeRouting(withWorkspaces(Text), Setup.Report),
                  "%s", Text.c_str());
    const std::string Report = Setup.Report.text();
    cr_assert_neq(Report.find(Pointer), std::string::npos, "%s: %s",
                  Text.c_str(), Report.c_str());
    for (const char *Key : {"same", "secret", "cret"})
      cr_assert_eq(Report.find(Key), std::string::npos, "%s", Report.c_str());
  }
}

// Guards against a small limit that is read as none.
Test(EntryCodec, smallest_rate_is_a_limit) {
  Fixture Setup;
  const auto Decoded = Setup.Codec.decodeRouting(
      withWorkspaces(R"({"a":{"api-keys":["x"],"rate-per-s":0.0001}})"),
      Setup.Report);
  cr_assert(Decoded->Routing->workspaces().find("x")->Quota.limited());
}

// Guards against servers that get their full load while they are cold.
Test(EntryCodec, cold_time_and_limit_are_decoded) {
  Fixture Setup;
  const auto Cold = Setup.Codec.decodeServer(
      "servers/s1", replaced(Server, "\"0ms\"", "\"2.5s\""), Setup.Report);
  cr_assert(Cold.has_value());
  cr_assert_eq(Cold->ColdMs, 2500);
  cr_assert_eq(Cold->Sequence, 4);
  const auto Decoded = Setup.Codec.decodeRouting(
      replaced(Config, "\"max-conns\":220",
               "\"max-conns\":220,\"warmup\":\"3s\",\"warmup-per-s\":3.6"),
      Setup.Report);
  cr_assert(Decoded.has_value());
  cr_assert(Setup.Report.empty(), "%s", Setup.Report.text().c_str());
  cr_assert_eq(Decoded->Services.find("orders")->second.ColdLimit.MilliPerS,
               3600);
}

// Guards against a server that is lost because of what it says, or does not
// say, about its start.
Test(EntryCodec, server_without_a_valid_cold_time_is_warm) {
  for (const char *Text :
       {"\"warmup-left\":true", "\"warmup-left\":\"soon\"", "\"other\":1"}) {
    Fixture Setup;
    const auto Read = Setup.Codec.decodeServer(
        "servers/s1", replaced(Server, "\"warmup-left\":\"0ms\"", Text),
        Setup.Report);
    cr_assert(Read.has_value());
    cr_assert(Setup.Report.empty());
    cr_assert_eq(Read->ColdMs, 0);
  }
}

// Guards against cold servers without a limit, because a low one rounds to the
// value that stands for none.
Test(EntryCodec, lowest_cold_limit_is_a_limit) {
  Fixture Setup;
  const auto Decoded = Setup.Codec.decodeRouting(
      replaced(Config, "\"protocol\":\"h1\"", "\"warmup-per-s\":0.0005"),
      Setup.Report);
  cr_assert(Decoded.has_value());
  cr_assert_eq(Decoded->Services.find("orders")->second.ColdLimit.MilliPerS, 1);
}

// Guards against a limit of zero for the cold servers of a service that
// states none.
Test(EntryCodec, missing_or_invalid_cold_limit_is_no_limit) {
  for (const char *Text : {"\"warmup-per-s\":0", "\"warmup-per-s\":-1",
                           "\"warmup-per-s\":\"4\"", "\"other\":1"}) {
    Fixture Setup;
    const auto Decoded = Setup.Codec.decodeRouting(
        replaced(Config, "\"protocol\":\"h1\"", Text), Setup.Report);
    cr_assert(Decoded.has_value());
    cr_assert_eq(Decoded->Services.find("orders")->second.ColdLimit.MilliPerS,
                 0);
  }
}

// Guards against a zone that stays in use because its name is cut wrongly.
Test(EntryCodec, evacuation_key_names_the_zone) {
  Fixture Setup;
  cr_assert(Setup.Codec.entryKind("op/evacuate/zone-a") ==
            core::EntryKind::Evacuation);
  cr_assert_eq(Setup.Codec.evacuatedZone("op/evacuate/zone-a"), "zone-a");
}
