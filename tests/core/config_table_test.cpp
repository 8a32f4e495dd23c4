#include <criterion/criterion.h>
#include <jujubecart/core.hpp>

using namespace jujubecart::core;

namespace {

ConfigSource::Snapshot snapshotAt(Revision Number) {
  return std::make_shared<ConfigSnapshot>(Number, ConfigSnapshot::ServiceMap{});
}

ConfigSnapshot::ServiceMap oneService(Revision Changed) {
  ServiceConfig Service;
  Service.Name = "tags";
  Service.Rules = {{.Host = "", .PathPrefix = "/tags"}};
  return {{"tags", std::make_shared<ServiceEntry>(
                       ServiceEntry{.Changed = Changed, .Service = Service})}};
}

} // namespace

// A VM that accepted an older revision, such as one that arrives late from a
// peer, would revert to an older configuration.
Test(ConfigTable, older_revision_is_not_applied) {
  ConfigTable Table;
  cr_assert(Table.apply(snapshotAt(5)));
  cr_assert_not(Table.apply(snapshotAt(4)));
  cr_assert_not(Table.apply(snapshotAt(5)));
  cr_assert_eq(Table.current()->revision(), 5);
}

// A delta whose base is above the known revision lacks the changes between the
// two; applying it would lose them.
Test(ConfigTable, delta_from_unknown_base_is_rejected) {
  ConfigTable Table;
  cr_assert(Table.apply(snapshotAt(2)));
  cr_assert_not(Table.applyDelta(3, 4, oneService(4)));
  cr_assert(Table.applyDelta(2, 4, oneService(4)));
  cr_assert_not_null(Table.current()->find("tags"));
}

// A plain string comparison would send "/tagsale" to the service with the path
// prefix "/tags".
Test(ConfigSnapshot, route_path_without_separator_does_not_match) {
  const ConfigSnapshot Snapshot(1, oneService(1));
  cr_assert_not_null(Snapshot.route("any", "/tags/7"));
  cr_assert_not_null(Snapshot.route("any", "/tags?x=1"));
  cr_assert_null(Snapshot.route("any", "/tagsale"));
}
