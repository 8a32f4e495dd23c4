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
    const auto Snapshot = Known.buildSnapshot(Empty);
    return Snapshot->find("tags")->Servers;
  }
};

} // namespace

// Guards against entries of a list that are missing in the snapshot or in the
// VM list.
Test(Directory, list_provides_routes_servers_and_vms) {
  Fixture Test;
  const auto Snapshot = Test.Known.buildSnapshot(Test.Empty);
  cr_assert_eq(Snapshot->revision(), 4);
  cr_assert_eq(Snapshot->routing()->version(), 5);
  cr_assert_eq(Test.servers().size(), 2);
  cr_assert_eq(Test.Known.vms().size(), 1);
}

// Guards against a routing configuration that is lost or reverts to an older
// version after a late write, a deletion or an invalid value.
Test(Directory, older_version_or_deletion_keeps_the_configuration) {
  Fixture Test;
  Test.change(Fixture::entry("config", "4", 10));
  Test.change(Fixture::deletion("config", 11));
  Test.change(Fixture::entry("config", "broken", 12));
  cr_assert_eq(Test.Known.buildSnapshot(Test.Empty)->routing()->version(), 5);
  Test.change(Fixture::entry("config", "6", 13));
  cr_assert_eq(Test.Known.buildSnapshot(Test.Empty)->routing()->version(), 6);
}

// Guards against requests to a server whose entry was deleted or became
// invalid.
Test(Directory, deleted_or_invalid_server_is_removed_at_once) {
  Fixture Test;
  Test.change(Fixture::deletion("s/a", 10));
  cr_assert_eq(Test.servers().size(), 1);
  Test.change(Fixture::entry("s/b", "broken", 11));
  cr_assert(Test.servers().empty());
}

// Guards against live servers that are removed because the store lost their
// entries in an outage, and against lost servers that are kept forever.
Test(Directory, server_whose_entry_is_lost_in_an_outage_is_kept_for_a_time) {
  Fixture Test;
  Test.Known.deferDeletions(Start + 2s);
  Test.change(Fixture::deletion("s/a", 10), Start + 100ms);
  Test.change(Fixture::deletion("s/b", 11), Start + 100ms);
  cr_assert_eq(Test.servers().size(), 2);
  Test.change(Fixture::entry("s/a", "active", 12), Start + 1s);
  cr_assert_eq(Test.Known.nextRemoval(), Start + 2s);
  cr_assert(Test.Known.removeExpired(Start + 2s));
  cr_assert_eq(Test.servers().size(), 1);
  cr_assert_eq(Test.servers().front().Id, "a");
}

// Guards against a draining server that is kept because its deletion is taken
// for a loss of entries in an outage.
Test(Directory, draining_server_is_removed_at_once_even_after_an_outage) {
  Fixture Test;
  Test.change(Fixture::entry("s/a", "draining", 9));
  cr_assert(Test.servers().front().State == core::ServerState::Draining);
  Test.Known.deferDeletions(Start + 2s);
  Test.change(Fixture::deletion("s/a", 10));
  cr_assert_eq(Test.servers().size(), 1);
}

// Guards against a state that reverts because a watch repeats an older change.
Test(Directory, changes_that_are_known_already_are_skipped) {
  Fixture Test;
  Test.change(Fixture::entry("s/a", "draining", 20));
  Test.Known.apply(
      {.Entries = {Fixture::entry("s/a", "active", 15)}, .AsOf = 20}, Start);
  cr_assert(Test.servers().front().State == core::ServerState::Draining);
}

// Guards against a service that counts as changed although only its routes have
// a new version.
Test(Directory, unchanged_service_is_shared_with_the_previous_snapshot) {
  Fixture Test;
  const auto First = Test.Known.buildSnapshot(Test.Empty);
  Test.change(Fixture::entry("config", "6", 13));
  const auto Second = Test.Known.buildSnapshot(*First);
  cr_assert_gt(Second->revision(), First->revision());
  cr_assert(First->entries().at("tags") == Second->entries().at("tags"));
}
