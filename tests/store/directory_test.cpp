#include "plain_codec.hpp"

#include <criterion/criterion.h>
#include <jujubecart/store/directory.hpp>

using namespace jujubecart;
using namespace std::chrono_literals;
using tests::PlainCodec;

namespace {

const core::TimePoint Start{1h};

struct Fixture {
  PlainCodec Codec;
  store::Directory Known{Codec, {{"z1", "r1"}}};
  core::ConfigSnapshot Empty;

  Fixture() {
    Known.replace(
        {.Entries = {entry("config", "5", 1), entry("s/a", "active", 2),
                     entry("s/b", "active", 3), entry("v/vm1", "x", 4)},
         .AsOf = 4},
        Start);
  }

  static core::StoredEntry entry(const std::string &Key,
                                 const std::string &Value,
                                 core::Revision Changed) {
    return {.Key = Key, .Value = Value, .Changed = Changed};
  }
  static core::StoredEntry deletion(const std::string &Key,
                                    core::Revision Changed) {
    return {.Key = Key, .Value = std::nullopt, .Changed = Changed};
  }
  void change(core::StoredEntry Entry, core::TimePoint Now = Start) {
    const core::Revision AsOf = Entry.Changed;
    Known.apply({.Entries = {std::move(Entry)}, .AsOf = AsOf}, Now);
  }
  std::vector<core::BackendServer> servers() {
    const auto Snapshot = Known.snapshot(Empty);
    return Snapshot->find("tags")->Servers;
  }
};

} // namespace

Test(Directory, list_names_routes_servers_and_vms) {
  Fixture With;
  const auto Snapshot = With.Known.snapshot(With.Empty);
  cr_assert_eq(Snapshot->revision(), 4);
  cr_assert_eq(Snapshot->routing()->version(), 5);
  cr_assert_eq(With.servers().size(), 2);
  cr_assert_eq(With.Known.vms().size(), 1);
}

// Guards against a configuration that goes back after a late write.
Test(Directory, older_version_or_deletion_leaves_the_configuration) {
  Fixture With;
  With.change(Fixture::entry("config", "4", 10));
  With.change(Fixture::deletion("config", 11));
  With.change(Fixture::entry("config", "broken", 12));
  cr_assert_eq(With.Known.snapshot(With.Empty)->routing()->version(), 5);
  With.change(Fixture::entry("config", "6", 13));
  cr_assert_eq(With.Known.snapshot(With.Empty)->routing()->version(), 6);
}

// Guards against requests to servers that have left.
Test(Directory, deleted_or_broken_server_is_gone_at_once) {
  Fixture With;
  With.change(Fixture::deletion("s/a", 10));
  cr_assert_eq(With.servers().size(), 1);
  With.change(Fixture::entry("s/b", "broken", 11));
  cr_assert(With.servers().empty());
}

// Guards against an outage of the store that takes live servers away.
Test(Directory, entry_lost_in_an_outage_is_kept_until_it_should_be_back) {
  Fixture With;
  With.Known.distrustDeletions(Start + 2s);
  With.change(Fixture::deletion("s/a", 10), Start + 100ms);
  With.change(Fixture::deletion("s/b", 11), Start + 100ms);
  cr_assert_eq(With.servers().size(), 2);
  With.change(Fixture::entry("s/a", "active", 12), Start + 1s);
  cr_assert_eq(With.Known.nextExpiry(), Start + 2s);
  cr_assert(With.Known.expire(Start + 2s));
  cr_assert_eq(With.servers().size(), 1);
  cr_assert_eq(With.servers().front().Id, "a");
}

// Guards against a draining server that is kept as if it were only forgotten.
Test(Directory, draining_server_is_gone_at_once_also_after_an_outage) {
  Fixture With;
  With.change(Fixture::entry("s/a", "draining", 9));
  cr_assert(With.servers().front().State == core::ServerState::Draining);
  With.Known.distrustDeletions(Start + 2s);
  With.change(Fixture::deletion("s/a", 10));
  cr_assert_eq(With.servers().size(), 1);
}

// Guards against a replayed change that undoes a later one.
Test(Directory, changes_that_are_known_already_are_skipped) {
  Fixture With;
  With.change(Fixture::entry("s/a", "draining", 20));
  With.Known.apply(
      {.Entries = {Fixture::entry("s/a", "active", 15)}, .AsOf = 20}, Start);
  cr_assert(With.servers().front().State == core::ServerState::Draining);
}

// Guards against services whose unchanged servers count as changed.
Test(Directory, unchanged_service_is_shared_with_the_previous_snapshot) {
  Fixture With;
  const auto First = With.Known.snapshot(With.Empty);
  With.change(Fixture::entry("config", "6", 13));
  const auto Second = With.Known.snapshot(*First);
  cr_assert_gt(Second->revision(), First->revision());
  cr_assert(First->entries().at("tags") == Second->entries().at("tags"));
}
