#include <criterion/criterion.h>
#include <jujubecart/core.hpp>

using namespace jujubecart::core;

// A reader that stops at the first error would make operators correct a ticket
// one error at a time.
Test(ReadService, several_errors_are_reported_together) {
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

// The JSON library silently keeps the last value of a duplicate key, so a
// setting could be lost unnoticed.
Test(ParseJson, duplicate_key_is_a_finding) {
  Findings Report("ticket.json");
  (void)parseJson(R"({"a":1,"a":2})", Report);
  cr_assert_eq(Report.items().size(), 1);
}

// The configuration is stored as JSON and read back; a field that one side
// omits or reads differently would change the service.
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
