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

// Guards against a field of the configuration that is read as another one.
Test(EntryCodec, configuration_is_read_whole) {
  Fixture With;
  const auto Read = With.Codec.routing(Config, With.Report);
  cr_assert(Read.has_value(), "%s", With.Report.text().c_str());
  cr_assert(With.Report.empty(), "%s", With.Report.text().c_str());
  cr_assert_eq(Read->Routing->version(), 7);
  const core::Route *Order = Read->Routing->find("hulo84.example", "/xapu/1");
  cr_assert_not_null(Order);
  cr_assert_not(Order->Idempotent);
  cr_assert_eq(Order->TimeoutMs, 1200);
  cr_assert_eq(Order->ObjectiveMs, 400);
  cr_assert_eq(Order->MaxAttempts, 2);
  cr_assert_eq(Order->Services.front().Service, "orders");
  const core::Route *Lookup = Read->Routing->find("jepu9.example", "/lepu/1");
  cr_assert(Lookup->Idempotent);
  cr_assert_eq(Lookup->Services.size(), 2);
  cr_assert_eq(Lookup->Services[1].Weight, 10);
  cr_assert_eq(Read->Services.find("orders")->second.Connections, 220);
  cr_assert_eq(Read->Services.find("orders")->second.HealthPath, "/h");
  cr_assert_eq(Read->Routing->limits().IdleTimeoutMs, 15000);
}

// Guards against one invalid route that takes all others out of service.
Test(EntryCodec, invalid_route_is_left_out_and_reported) {
  Fixture With;
  const auto Read = With.Codec.routing(
      replaced(Config, "\"timeout\":\"1200ms\"", "\"timeout\":true"),
      With.Report);
  cr_assert(Read.has_value());
  cr_assert_null(Read->Routing->find("hulo84.example", "/xapu/1"));
  cr_assert_not_null(Read->Routing->find("jepu9.example", "/lepu/1"));
  cr_assert_not(With.Report.empty());
}

// Guards against a configuration without a version or limits in force.
Test(EntryCodec, unusable_configuration_is_refused) {
  for (const char *Text : {"", "[]", "{\"version\":3}", "\xff\xfe", "null"}) {
    Fixture With;
    cr_assert_not(With.Codec.routing(Text, With.Report).has_value());
    cr_assert_not(With.Report.empty());
  }
}

Test(EntryCodec, server_is_read_whole) {
  Fixture With;
  const auto Read = With.Codec.server("servers/i-7", Server, With.Report);
  cr_assert(Read.has_value(), "%s", With.Report.text().c_str());
  cr_assert_eq(Read->Service, "orders");
  cr_assert_eq(Read->Server.Id, "i-7");
  cr_assert_eq(Read->Server.Slots, 2);
  cr_assert_eq(Read->Server.Incarnation, 1700000000000);
  cr_assert(Read->Server.State == core::ServerState::Active);
}

// Guards against entries of other writers that name a server.
Test(EntryCodec, broken_server_entry_names_no_server) {
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
    Fixture With;
    cr_assert_not(
        With.Codec
            .server("servers/i-7", replaced(Server, From, To), With.Report)
            .has_value(),
        "%s", To.c_str());
    cr_assert_not(With.Report.empty());
  }
}

Test(EntryCodec, draining_server_is_kept_as_draining) {
  Fixture With;
  const auto Read = With.Codec.server(
      "servers/i-7", replaced(Server, "\"ready\"", "\"draining\""),
      With.Report);
  cr_assert(Read->Server.State == core::ServerState::Draining);
}

// Guards against a VM that cannot find another one by its registration.
Test(EntryCodec, vm_registration_is_read_as_written) {
  Fixture With;
  const core::Member Vm{.Id = "front-a-1",
                        .Address = "10.1.0.18:7200",
                        .Zone = "a",
                        .Region = "r",
                        .ProcessorMilli = 200};
  const auto Read = With.Codec.vm(With.Codec.vmKey(Vm.Id),
                                  With.Codec.encode(Vm), With.Report);
  cr_assert(Read == Vm);
  cr_assert(With.Codec.kind(With.Codec.vmKey("x")) == core::EntryKind::Vm);
  cr_assert(With.Codec.kind("op/config") == core::EntryKind::Routing);
  cr_assert(With.Codec.kind("servers/x") == core::EntryKind::Server);
  cr_assert(With.Codec.kind("other") == core::EntryKind::Other);
}
