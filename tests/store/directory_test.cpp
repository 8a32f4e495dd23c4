#include "directory_fixture.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <jujubecart/core/store_era.hpp>

using namespace jujubecart;
using namespace std::chrono_literals;
using Fixture = tests::DirectoryFixture;
using tests::PlainCodec;
using tests::Start;

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

namespace {

std::size_t activeServers(Fixture &Test) {
  const auto Servers = Test.servers();
  return static_cast<std::size_t>(
      std::count_if(Servers.begin(), Servers.end(), [](const auto &Server) {
        return Server.State == core::ServerState::Active;
      }));
}

} // namespace

// Guards against calls to the servers of an evacuated zone, and against servers
// that get none after the zone was taken back.
Test(Directory, servers_of_an_evacuated_zone_drain_until_it_is_taken_back) {
  Fixture Test;
  Test.change(Fixture::entry("e/z1", "not JSON", 10));
  cr_assert_eq(Test.servers().size(), 2);
  cr_assert_eq(activeServers(Test), 0);
  cr_assert_eq(Test.Known.evacuatedZones(), 1);
  cr_assert_eq(Test.Known.evacuatedZoneNames().front(), "z1");
  Test.change(Fixture::deletion("e/z1", 11));
  cr_assert_eq(activeServers(Test), 2);
}

// Guards against a server that registers in an evacuated zone and gets calls.
Test(Directory, server_that_registers_in_an_evacuated_zone_gets_nothing) {
  Fixture Test;
  Test.change(Fixture::entry("e/z1", "{}", 10));
  Test.change(Fixture::entry("s/c", "active", 11));
  cr_assert_eq(Test.servers().size(), 3);
  cr_assert_eq(activeServers(Test), 0);
}

// Guards against the evacuation of one zone that affects another one.
Test(Directory, evacuation_of_another_zone_changes_nothing) {
  Fixture Test;
  Test.change(Fixture::entry("e/z2", "{}", 10));
  Test.change(Fixture::entry("e/", "{}", 11));
  cr_assert_eq(activeServers(Test), 2);
}

// Guards against an evacuation whose end a VM misses because the store no
// longer has the deletion.
Test(Directory, evacuation_that_is_missing_from_a_list_has_ended) {
  Fixture Test;
  Test.change(Fixture::entry("e/z1", "{}", 10));
  const core::EntryList All{.Entries = {Fixture::entry("config", "5", 1),
                                        Fixture::entry("s/a", "active", 2),
                                        Fixture::entry("s/b", "active", 3),
                                        Fixture::entry("v/vm1", "x", 4)},
                            .AsOf = 12};
  const core::EntryChanges Changes = Test.Known.changesTo(All);
  cr_assert_eq(Changes.List.Entries.size(), 1);
  cr_assert(Changes.List.Entries.front() == Fixture::deletion("e/z1", 12));
  Test.Known.replace(All, Start);
  cr_assert_eq(activeServers(Test), 2);
}

// Guards against a VM that misses an evacuation which only a list shows.
Test(Directory, evacuation_in_a_list_is_among_the_changes_to_it) {
  Fixture Test;
  const core::EntryList All{.Entries = {Fixture::entry("config", "5", 1),
                                        Fixture::entry("e/z1", "{}", 11),
                                        Fixture::entry("s/a", "active", 2),
                                        Fixture::entry("s/b", "active", 3),
                                        Fixture::entry("v/vm1", "x", 4)},
                            .AsOf = 12};
  const core::EntryChanges Changes = Test.Known.changesTo(All);
  cr_assert_eq(Changes.List.Entries.size(), 1);
  Test.Known.apply(Changes.List, Start);
  cr_assert_eq(activeServers(Test), 0);
}

namespace {

/// @brief A revision after the store of the fixture came back from a copy.
constexpr core::Revision restored(std::uint64_t Number) {
  return core::makeRevision(1, Number);
}

} // namespace

// Guards against a server that gets calls again because the store came back
// from a copy that is older than its last report.
Test(Directory, older_report_of_a_restored_store_is_ignored) {
  Fixture Test;
  Test.change(Fixture::entry("s/a", "draining 8", 10));
  const core::EntryList All{
      .Entries = {Fixture::entry("config", "5", restored(1)),
                  Fixture::entry("s/a", "active 4", restored(2)),
                  Fixture::entry("s/b", "active", restored(3)),
                  Fixture::entry("v/vm1", "x", restored(4))},
      .AsOf = restored(4)};
  Test.Known.replace(All, Start);
  cr_assert_eq(activeServers(Test), 1);
  Test.change(Fixture::entry("s/a", "active 9", restored(5)));
  cr_assert_eq(activeServers(Test), 2);
}

// Guards against servers, VMs and evacuations that are lost because a copy of
// the store lacks what was written last, and against those that never end.
Test(Directory, entries_missing_from_a_restored_store_are_kept_for_a_time) {
  Fixture Test;
  Test.change(Fixture::entry("e/z1", "{}", 10));
  const core::EntryList All{
      .Entries = {Fixture::entry("config", "5", restored(1))},
      .AsOf = restored(3)};
  const core::EntryChanges Changes = Test.Known.changesTo(All);
  Test.Known.apply(Changes.List, Start);
  cr_assert_eq(Test.servers().size(), 2);
  cr_assert_eq(activeServers(Test), 0);
  cr_assert_eq(Test.Known.vms().size(), 1);
  cr_assert_not(Test.Known.isRegistered({.Id = "vm1", .Address = "x"}));
  Test.change(Fixture::entry("s/a", "active", restored(4)), Start + 1s);
  cr_assert_eq(Test.Known.nextRemoval(), Start + 2s);
  cr_assert(Test.Known.removeExpired(Start + 2s));
  cr_assert_eq(Test.servers().size(), 1);
  cr_assert_eq(activeServers(Test), 0);
  cr_assert(Test.Known.vms().empty());
}

// Guards against an evacuation that goes on after its end because the entry
// survived the return of the store.
Test(Directory, evacuation_ends_at_once_with_a_deletion_in_its_era) {
  Fixture Test;
  Test.change(Fixture::entry("e/z1", "{}", 10));
  Test.change(Fixture::entry("e/z1", "{}", restored(3)));
  Test.change(Fixture::deletion("e/z1", restored(4)));
  cr_assert_eq(activeServers(Test), 2);
}

// Guards against an entry that stays although it is missing, because the VM
// that listed the restored store never knew it.
Test(Directory, entry_that_the_sender_never_knew_ends_with_the_era) {
  Fixture Test;
  Test.change(Fixture::entry("s/c", "active", 5));
  // The sender knew the entries up to revision 4.
  Test.Known.apply({.Entries = {Fixture::entry("s/a", "active", restored(2)),
                                Fixture::entry("s/b", "active", restored(3))},
                    .AsOf = restored(3)},
                   Start);
  cr_assert_eq(Test.servers().size(), 3);
  cr_assert(Test.Known.removeExpired(Start + 2s));
  cr_assert_eq(Test.servers().size(), 2);
}

// Guards against changes of the old era that are applied after the new one was
// seen.
Test(Directory, changes_of_an_earlier_era_are_skipped) {
  Fixture Test;
  Test.change(Fixture::entry("s/a", "draining", restored(2)));
  Test.Known.apply(
      {.Entries = {Fixture::entry("s/a", "active", 900)}, .AsOf = 900}, Start);
  Test.Known.replace({.Entries = {}, .AsOf = 950}, Start);
  cr_assert(Test.servers().front().State == core::ServerState::Draining);
  cr_assert_eq(Test.Known.asOf(), restored(2));
}

// Guards against an evacuation, a server or a VM that is lost or comes back
// because a list was under way while another VM reported later changes.
Test(Directory, list_older_than_the_known_changes_is_ignored) {
  Fixture Test;
  Test.Known.apply({.Entries = {Fixture::entry("e/z1", "{}", 111),
                                Fixture::deletion("s/a", 112),
                                Fixture::entry("v/vm1", "y", 113)},
                    .AsOf = 113},
                   Start);
  cr_assert_not(
      Test.Known.replace({.Entries = {Fixture::entry("config", "5", 1),
                                      Fixture::entry("s/a", "active", 2),
                                      Fixture::entry("s/b", "active", 3),
                                      Fixture::entry("v/vm1", "x", 4)},
                          .AsOf = 110},
                         Start));
  cr_assert_eq(Test.Known.evacuatedZones(), 1);
  cr_assert_eq(Test.servers().size(), 1);
  cr_assert_eq(Test.Known.vms().front().Address, "y");
  cr_assert_eq(Test.Known.asOf(), 113);
}

// Guards against an evacuation that a VM never sees because it reads an older
// snapshot after a newer one and then asks for the changes since the newer one.
Test(Directory, older_snapshot_after_a_newer_one_loses_nothing) {
  const PlainCodec Codec;
  store::Directory Known(Codec, {{"z1", "r1"}});
  cr_assert(Known.replace(
      {.Entries = {Fixture::entry("e/z1", "{}", 111)}, .AsOf = 120}, Start));
  Known.replace({.Entries = {}, .AsOf = 110}, Start);
  cr_assert(Known.evacuatedZones() == 1 || Known.asOf() < 111);
}

// Guards against an entry of a list that was read while the entry was written,
// and that a later list from before the write removes.
Test(Directory, list_removes_only_entries_that_it_may_know) {
  const PlainCodec Codec;
  store::Directory Known(Codec, {{"z1", "r1"}});
  Known.replace({.Entries = {Fixture::entry("e/z1", "{}", 105)}, .AsOf = 100},
                Start);
  cr_assert(Known.replace({.Entries = {}, .AsOf = 102}, Start));
  cr_assert_eq(Known.evacuatedZones(), 1);
}

// Guards against a VM's address that reverts because a watch repeats an older
// change.
Test(Directory, older_entry_of_a_vm_does_not_overwrite_a_newer_one) {
  const PlainCodec Codec;
  store::Directory Known(Codec, {{"z1", "r1"}});
  Known.replace({.Entries = {Fixture::entry("v/vm1", "y", 105)}, .AsOf = 100},
                Start);
  Known.apply({.Entries = {Fixture::entry("v/vm1", "x", 102)}, .AsOf = 102},
              Start);
  cr_assert_eq(Known.vms().front().Address, "y");
}

// Guards against a server that gets calls again because a copy of the store
// still has it, and against one that lives on and is ignored.
Test(Directory, server_removed_before_a_restore_does_not_come_back) {
  Fixture Test;
  Test.change(Fixture::entry("s/a", "draining 8", 10));
  Test.change(Fixture::deletion("s/a", 11));
  Test.change(Fixture::entry("s/b", "active 5", 12));
  Test.change(Fixture::deletion("s/b", 13));
  Test.Known.replace(
      {.Entries = {Fixture::entry("s/a", "active 4", restored(2)),
                   Fixture::entry("s/b", "active 5", restored(3))},
       .AsOf = restored(4)},
      Start + 5s);
  cr_assert(Test.servers().empty());
  Test.change(Fixture::entry("s/b", "active 6", restored(5)), Start + 6s);
  cr_assert_eq(activeServers(Test), 1);
}

// Guards against a zone that gets load again before the operators have written
// its evacuation again, and against one that stays unused.
Test(Directory, evacuation_missing_after_a_restore_is_kept_for_longer) {
  Fixture Test;
  Test.change(Fixture::entry("e/z1", "{}", 10));
  Test.Known.apply({.Entries = {Fixture::entry("s/a", "active", restored(2))},
                    .AsOf = restored(3)},
                   Start);
  Test.Known.removeExpired(Start + 11s);
  cr_assert_eq(Test.Known.evacuatedZones(), 1);
  cr_assert_eq(Test.Known.nextRemoval(), Start + 12s);
  cr_assert(Test.Known.removeExpired(Start + 12s));
  cr_assert_eq(Test.Known.evacuatedZones(), 0);
}
