#include <criterion/criterion.h>
#include <jujubecart/core/hash.hpp>
#include <jujubecart/core/routing_table.hpp>

using namespace jujubecart;

namespace {

core::Route route(const std::string &Name, const std::string &Host,
                  const std::string &Prefix) {
  return {.Name = Name,
          .Host = Host,
          .PathPrefix = Prefix,
          .Services = {{.Service = "tags", .Weight = 1}}};
}

const core::RoutingTable Table{7,
                               {route("short", "a.example", "/tags/"),
                                route("long", "a.example", "/tags/brass/"),
                                route("other", "b.example", "/tags/")},
                               {}};

} // namespace

// Several routes match a path; if the order of declaration decided, a less
// specific route or one of another host would be selected.
Test(RoutingTable, longest_prefix_of_the_host_is_selected) {
  cr_assert_eq(Table.find("a.example", "/tags/brass/1")->Name, "long");
  cr_assert_eq(Table.find("a.example", "/tags/tin/1")->Name, "short");
  cr_assert_eq(Table.find("b.example", "/tags/brass/1")->Name, "other");
}

// A request whose host or path matches no route must not fall back to one of
// another host or prefix.
Test(RoutingTable, unknown_host_or_path_has_no_route) {
  cr_assert_null(Table.find("c.example", "/tags/1"));
  cr_assert_null(Table.find("a.example", "/tagsale/1"));
  cr_assert_null(Table.find("a.example", "/tags"));
}

// A wrong selection by weight would give services a share of the requests other
// than their weight, and requests to a service of weight 0.
Test(RoutingTable, split_route_gives_each_service_its_share) {
  core::Route Split = route("split", "a.example", "/");
  Split.Services = {{.Service = "one", .Weight = 90},
                    {.Service = "none", .Weight = 0},
                    {.Service = "two", .Weight = 10}};
  int Two = 0;
  constexpr int Draws = 10000;
  for (int Draw = 0; Draw < Draws; ++Draw) {
    const std::string &Chosen =
        Split.service(core::hash64(std::to_string(Draw)));
    cr_assert_neq(Chosen, "none");
    Two += Chosen == "two";
  }
  cr_assert(Two > Draws / 20 && Two < Draws * 3 / 20, "%d", Two);
}
