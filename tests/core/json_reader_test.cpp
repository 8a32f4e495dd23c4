#include <criterion/criterion.h>
#include <jujubecart/core.hpp>

using namespace jujubecart::core;

// Guards against stopping at the first problem of a file.
Test(ReadService, several_problems_are_reported_together) {
  Findings Report("ticket.json");
  const auto Value = parseJson(
      R"({"kind":"lookup","rules":[],"zones":{},"colour":1,
          "servers":[{"id":"a","address":"nowhere","zone":"z1","slots":0}]})",
      Report);
  cr_assert(Value.has_value());
  (void)readService("tags", *Value, "/services/tags", Report);
  cr_assert_eq(Report.items().size(), 4, "%s", Report.text().c_str());
  cr_assert_eq(Report.items()[0].Pointer, "/services/tags/servers/0/address");
}

// Guards against a duplicate key that silently replaces a value.
Test(ParseJson, duplicate_key_is_a_finding) {
  Findings Report("ticket.json");
  (void)parseJson(R"({"a":1,"a":2})", Report);
  cr_assert_eq(Report.items().size(), 1);
}

// Guards against a service that changes when it is stored and read back.
Test(WriteService, round_trip_keeps_the_value) {
  ServiceConfig Service;
  Service.Name = "orders";
  Service.Kind = ServiceKind::Order;
  Service.Rules = {{.Host = "example.test", .PathPrefix = "/orders"}};
  Service.Servers = {
      {.Id = "b1", .Address = "127.0.0.1:9001", .Zone = "z1", .Slots = 2}};
  Service.Zones = {{"z1", "alfold"}};
  Findings Report("stored");
  const ServiceConfig Read =
      readService("orders", writeService(Service), "", Report);
  cr_assert(Report.empty(), "%s", Report.text().c_str());
  cr_assert(Read == Service);
}
