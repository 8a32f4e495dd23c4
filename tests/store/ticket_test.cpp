#include <jujubecart/core.hpp>
#include <jujubecart/store.hpp>

#include <criterion/criterion.h>

using namespace jujubecart;

namespace {

struct BadTicket {
  const char *Text;
  /// JSON pointer of the first finding.
  const char *Pointer;
};

// Makes a ticket whose service "a" has the given members.
std::string withService(const std::string &Content) {
  return R"({"number":1,"based_on":0,"services":{"a":{)" + Content + "}}}";
}

// Makes a ticket whose service "a" has the given server.
std::string withServer(const std::string &Server) {
  return withService(R"("kind":"lookup","rules":[],"zones":{"z":"r"},)"
                     R"("servers":[)" +
                     Server + "]");
}

// Makes a ticket whose service "a" is valid except for an added member.
std::string withOption(const std::string &Option) {
  return withService(R"("kind":"lookup","rules":[],"zones":{},"servers":[],)" +
                     Option);
}

void expectFinding(const std::string &Text, const std::string &Pointer) {
  core::Findings Report("ticket.json");
  const auto Read = store::parseTicket(Text, Report);
  cr_assert(!Read.has_value(), "accepted: %s", Text.c_str());
  cr_assert(!Report.empty(), "no finding: %s", Text.c_str());
  cr_assert_eq(Report.items()[0].Pointer, Pointer, "%s: %s", Text.c_str(),
               Report.text().c_str());
}

} // namespace

// Guards against invalid top-level content that is accepted, or reported at the
// wrong place.
Test(ParseTicket, bad_ticket_is_reported_at_its_place) {
  const BadTicket Cases[] = {
      {"", ""},
      {"{", ""},
      {"[]", ""},
      {"null", ""},
      {"17", ""},
      {"\"ticket\"", ""},
      {"{\"number\":1,}", ""},
      {"{'number':1}", ""},
      {"\xff\xfe", ""},
      {R"({"number":1,"based_on":0,"services":{"a":null}} x)", ""},
      {R"({"number":1,"number":2,"based_on":0,"services":{"a":null}})", ""},
      {R"({"based_on":0,"services":{"a":null}})", "/number"},
      {R"({"number":0,"based_on":0,"services":{"a":null}})", "/number"},
      {R"({"number":-1,"based_on":0,"services":{"a":null}})", "/number"},
      {R"({"number":1.5,"based_on":0,"services":{"a":null}})", "/number"},
      {R"({"number":"1","based_on":0,"services":{"a":null}})", "/number"},
      {R"({"number":9007199254740992,"based_on":0,"services":{"a":null}})",
       "/number"},
      {R"({"number":18446744073709551615,"based_on":0,"services":{"a":null}})",
       "/number"},
      {R"({"number":1,"services":{"a":null}})", "/based_on"},
      {R"({"number":1,"based_on":-1,"services":{"a":null}})", "/based_on"},
      {R"({"number":1,"based_on":null,"services":{"a":null}})", "/based_on"},
      {R"({"number":1,"based_on":0})", "/services"},
      {R"({"number":1,"based_on":0,"services":[]})", "/services"},
      {R"({"number":1,"based_on":0,"services":{}})", "/services"},
      {R"({"number":1,"based_on":0,"services":{"":null}})", "/services/"},
      {R"({"number":1,"based_on":0,"services":{"A":null}})", "/services/A"},
      {R"({"number":1,"based_on":0,"services":{"-a":null}})", "/services/-a"},
      {R"({"number":1,"based_on":0,"services":{"a/b":null}})",
       "/services/a~1b"},
      {R"({"number":1,"based_on":0,"services":{"a b":null}})", "/services/a b"},
      {R"({"number":1,"based_on":0,"services":{"a":7}})", "/services/a"},
      {R"({"number":1,"based_on":0,"services":{"a":null},"note":"x"})",
       "/note"},
      {R"({"number":1,"based_on":0,"services":{"a":null,"a":null}})", ""},
  };
  for (const BadTicket &Case : Cases)
    expectFinding(Case.Text, Case.Pointer);
}

// Guards against a service with invalid values that is accepted and reaches the
// request path, or that is reported at the wrong place.
Test(ParseTicket, bad_service_is_reported_at_its_place) {
  const std::pair<std::string, const char *> Cases[] = {
      {withService(""), "/services/a/kind"},
      {withService(R"("kind":"order")"), "/services/a/rules"},
      {withOption(R"("colour":"red")"), "/services/a/colour"},
      {withOption(R"("priority":10)"), "/services/a/priority"},
      {withOption(R"("priority":-1)"), "/services/a/priority"},
      {withOption(R"("default_deadline_ms":0)"),
       "/services/a/default_deadline_ms"},
      {withOption(R"("default_deadline_ms":600001)"),
       "/services/a/default_deadline_ms"},
      {withOption(R"("measure_per_s":-1)"), "/services/a/measure_per_s"},
      {withOption(R"("order_keys":"disk")"), "/services/a/order_keys"},
      {withOption(R"("order_key_retention_s":0)"),
       "/services/a/order_key_retention_s"},
      {withOption(R"("profile":"fast")"), "/services/a/profile"},
      {withService(R"("kind":"x","rules":[],"zones":{},"servers":[])"),
       "/services/a/kind"},
      {withService(
           R"("kind":"order","rules":[{"path_prefix":"x"}],"zones":{},"servers":[])"),
       "/services/a/rules/0/path_prefix"},
      {withService(R"("kind":"order","rules":[{},{}],"zones":{},"servers":[])"),
       "/services/a/rules/1"},
      {withServer("7"), "/services/a/servers/0"},
      {withServer(R"({"address":"1.2.3.4:1","zone":"z","slots":1})"),
       "/services/a/servers/0/id"},
      {withServer(R"({"id":"s","address":"host:1","zone":"z","slots":1})"),
       "/services/a/servers/0/address"},
      {withServer(R"({"id":"s","address":"1.2.3.4:0","zone":"z","slots":1})"),
       "/services/a/servers/0/address"},
      {withServer(R"({"id":"s","address":"1.2.3.4","zone":"z","slots":1})"),
       "/services/a/servers/0/address"},
      {withServer(R"({"id":"s","address":"1.2.3.4:1","zone":"z","slots":0})"),
       "/services/a/servers/0/slots"},
      {withServer(R"({"id":"s","address":"1.2.3.4:1","zone":"z"})"),
       "/services/a/servers/0/slots"},
      {withServer(R"({"id":"s","address":"1.2.3.4:1","zone":"q","slots":1})"),
       "/services/a/zones"},
      {withServer(
           R"({"id":"s","address":"1.2.3.4:1","zone":"z","slots":1,"state":"up"})"),
       "/services/a/servers/0/state"},
      {withServer(R"({"id":"s","address":"1.2.3.4:1","zone":"z","slots":1},
                     {"id":"s","address":"1.2.3.4:2","zone":"z","slots":1})"),
       "/services/a/servers/1/id"},
      {withServer(R"({"id":"s","address":"1.2.3.4:1","zone":"z","slots":1},
                     {"id":"t","address":"1.2.3.4:1","zone":"z","slots":1})"),
       "/services/a/servers/1/address"},
  };
  for (const auto &[Text, Pointer] : Cases)
    expectFinding(Text, Pointer);
}

// Guards against a ticket that is larger than a value of the store may be.
Test(ParseTicket, oversized_ticket_is_reported) {
  expectFinding(std::string(store::MaxValueSize + 1, ' '), "");
}

// Guards against a repeated submission that is rejected as different content
// because its keys are in another order or its white space differs.
Test(ParseTicket, digest_ignores_layout_but_not_content) {
  core::Findings Report("ticket.json");
  const auto One = store::parseTicket(
      R"({"number":1,"based_on":0,"services":{"a":null}})", Report);
  const auto Two = store::parseTicket(
      R"({ "services":{"a":null}, "based_on":0, "number":1 })", Report);
  const auto Three = store::parseTicket(
      R"({"number":1,"based_on":0,"services":{"b":null}})", Report);
  cr_assert_eq(One->Digest, Two->Digest);
  cr_assert_neq(One->Digest, Three->Digest);
}

// Guards against a head or a service value that exceeds the 1 MB limit of the
// store at ten times the design scale: 9300 servers in 340 services.
Test(ConfigHead, ten_times_the_design_scale_fits_a_value) {
  store::ConfigHead Head;
  Head.Revision = 1'000'000;
  for (int Index = 0; Index < 340; ++Index) {
    const std::string Name =
        "service-with-a-long-name-" + std::to_string(Index);
    Head.Services[Name] = {.Changed = 999'000,
                           .Ticket = 123'456'789,
                           .Key = "config/service/" + Name +
                                  "/123456789-0123456789abcdef"};
  }
  for (std::uint64_t Number = 0; Number < store::MaxRecentTickets; ++Number)
    Head.RecentTickets.push_back(
        {Number, std::string(64, 'f'), 999'000 + Number});
  const std::string Text = store::writeHead(Head);
  cr_assert_lt(Text.size(), store::MaxValueSize);
  cr_assert(store::readHead(Text).value() == Head);
  cr_assert(store::readHead("{}").has_error());
  // 9300 servers in 34 services.
  core::ServiceConfig Service;
  for (int Index = 0; Index < 274; ++Index)
    Service.Servers.push_back({.Id = "backend-server-" + std::to_string(Index),
                               .Address = "255.255.255.255:65535",
                               .Zone = "availability-zone-name"});
  cr_assert_lt(core::writeService(Service).dump().size(), store::MaxValueSize);
}
