#include "directory_feed_fixture.hpp"

#include <jujubecart/core/store_era.hpp>
#include <jujubecart/store/directory_snapshot.hpp>

#include <algorithm>

using namespace jujubecart;
using namespace std::chrono_literals;
using tests::FeedFixture;

// Guards against changes in the store that are not applied, or not passed on to
// the other VMs, by the VM that reads for all.
Test(DirectoryFeed, first_reader_follows_the_store_and_shares_each_answer) {
  FeedFixture Setup(0);
  Setup.start();
  Setup.Store.Next.push_back(
      {.Entries = {{.Key = "s/b", .Value = "active", .Changed = 3}},
       .AsOf = 3});
  Setup.run(100ms);
  cr_assert_eq(Setup.servers(), 2);
  const auto Change =
      std::find_if(Setup.Shared.begin(), Setup.Shared.end(),
                   [](const auto &Item) { return !Item.List.Entries.empty(); });
  cr_assert(Change != Setup.Shared.end());
  cr_assert_eq(Change->After, 2);
  cr_assert_eq(Change->List.AsOf, 3);
  cr_assert_gt(Setup.Store.Watches, 2);
}

// Guards against a VM that starts with an outdated configuration because its
// first list is a stale read.
Test(DirectoryFeed, stale_first_list_is_brought_up_to_date_before_it_is_used) {
  FeedFixture Setup(3);
  std::vector<std::uint64_t> Versions;
  Setup.Table.subscribe([&](const core::ConfigSource::Snapshot &Snapshot) {
    Versions.push_back(Snapshot->routing()->version());
  });
  Setup.Store.Next.push_back(
      {.Entries = {{.Key = "config", .Value = "8", .Changed = 3}}, .AsOf = 3});
  Setup.start();
  cr_assert(Setup.Store.Modes == std::vector{core::ReadMode::Stale});
  cr_assert_eq(Versions.size(), 1);
  cr_assert_eq(Versions.front(), 8);
}

// Guards against VMs that start together and all keep reading the store,
// because none of them has seen the registrations of the others.
Test(DirectoryFeed, new_vm_registers_before_it_catches_up) {
  FeedFixture Setup(0);
  boost::asio::co_spawn(Setup.Io, Setup.Feed.keepRegistered(),
                        boost::asio::detached);
  std::vector<std::size_t> Members;
  Setup.Feed.setMemberHandler([&](const std::vector<core::Member> &Vms) {
    Members.push_back(Vms.size());
  });
  Setup.start();
  cr_assert_eq(Setup.Store.Puts, 1);
  cr_assert(!Members.empty());
  cr_assert_eq(Members.front(), 1);
}

// Guards against a VM that never starts because the store no longer has the
// changes since a stale list.
Test(DirectoryFeed, latest_list_is_read_if_a_stale_one_cannot_be_caught_up) {
  FeedFixture Setup(3);
  Setup.Store.HistoryLost = true;
  Setup.start();
  cr_assert_eq(Setup.servers(), 1);
  cr_assert_eq(Setup.Store.Modes.size(), 2);
  cr_assert(Setup.Store.Modes.back() == core::ReadMode::Latest);
}

// Guards against a VM that keeps outdated entries after the store has dropped
// the changes that would update them.
Test(DirectoryFeed, lost_history_leads_to_a_new_list) {
  FeedFixture Setup(0);
  Setup.start();
  Setup.Store.All = {
      .Entries = {{.Key = "config", .Value = "6", .Changed = 20}}, .AsOf = 20};
  Setup.Store.HistoryLost = true;
  Setup.run(100ms);
  cr_assert_eq(Setup.Store.Lists, 2);
  cr_assert_eq(Setup.servers(), 0);
  cr_assert_eq(Setup.Table.current()->routing()->version(), 6);
}

// Guards against a stampede: all VMs of a large fleet that call the store in an
// outage, several times a second each.
Test(DirectoryFeed, few_vms_call_a_store_that_is_down_often) {
  for (const std::size_t Rank : {7U, 20U}) {
    FeedFixture Setup(Rank);
    Setup.start();
    const int Before = Setup.Store.Watches + Setup.Store.Gets;
    Setup.Store.Down = true;
    Setup.run(800ms);
    const int Calls = Setup.Store.Watches + Setup.Store.Gets - Before;
    if (Rank < 8)
      cr_assert_gt(Calls, 20);
    else
      // At 160 ms, 460 ms and 760 ms.
      cr_assert(Calls >= 2 && Calls <= 3);
  }
}

// Guards against VMs that are cut off from all others and call the store as
// often as one that has to tell the others that nothing has changed.
Test(DirectoryFeed, vm_that_is_alone_calls_the_store_rarely) {
  FeedFixture Setup(0);
  Setup.Alone = true;
  Setup.start();
  const int Before = Setup.Store.Watches;
  Setup.run(300ms);
  cr_assert_leq(Setup.Store.Watches - Before, 2);
}

// Guards against a configuration that is discarded during an outage of the
// store, and against a watch that does not continue after it.
Test(DirectoryFeed, outage_of_the_store_keeps_the_configuration) {
  FeedFixture Setup(0);
  Setup.start();
  Setup.Store.Down = true;
  Setup.run(100ms);
  cr_assert_eq(Setup.servers(), 1);
  Setup.Store.Down = false;
  Setup.Store.Next.push_back(
      {.Entries = {{.Key = "s/b", .Value = "active", .Changed = 3}},
       .AsOf = 3});
  Setup.run(100ms);
  cr_assert_eq(Setup.servers(), 2);
}

// Guards against a VM that nobody knows any more, because the store came back
// from a copy without its registration.
Test(DirectoryFeed, registration_that_a_restored_store_lacks_is_written_again) {
  FeedFixture Setup(0);
  Setup.start();
  boost::asio::co_spawn(Setup.Io, Setup.Feed.keepRegistered(),
                        boost::asio::detached);
  Setup.run(1200ms);
  cr_assert_eq(Setup.Store.Puts, 1);
  Setup.Store.All = {.Entries = {{.Key = "s/a",
                                  .Value = "active",
                                  .Changed = core::makeRevision(1, 2)}},
                     .AsOf = core::makeRevision(1, 2)};
  Setup.Store.HistoryLost = true;
  Setup.run(2500ms);
  cr_assert_eq(Setup.Store.Puts, 2);
  cr_assert_eq(Setup.Table.current()->routing()->version(), 5);
}

// Guards against a registration that is never written, or is written again with
// another lease although the watch has reported it.
Test(DirectoryFeed, vm_registers_once_and_relies_on_the_watch) {
  FeedFixture Setup(0);
  boost::asio::co_spawn(Setup.Io, Setup.Feed.keepRegistered(),
                        boost::asio::detached);
  Setup.run(2500ms);
  cr_assert_eq(Setup.Store.Puts, 1);
}

// Guards against registrations of VMs that are gone for good and stay in the
// store, and against a VM that removes them although another one reads the
// store.
Test(DirectoryFeed, reader_removes_the_registrations_of_lost_vms) {
  for (const std::size_t Rank : {0U, 1U}) {
    FeedFixture Setup(Rank);
    Setup.Store.All.Entries.push_back(
        {.Key = "v/vm2", .Value = "1.2.3.5:5", .Changed = 2});
    Setup.Lost = {"vm2", "unknown"};
    Setup.run(300ms);
    if (Rank != 0) {
      cr_assert(Setup.Store.Removed.empty());
      continue;
    }
    cr_assert_eq(Setup.Store.Removed.size(), 1);
    cr_assert_eq(Setup.Store.Removed.front().Key, "v/vm2");
    cr_assert_eq(Setup.Store.Removed.front().Changed, 2);
  }
}

// Guards against the list of every entry being read by every VM that starts,
// and against entries of an outdated snapshot that are used unchanged.
Test(DirectoryFeed, starting_vm_reads_the_snapshot_and_the_changes_since) {
  FeedFixture Setup(1);
  Setup.Store.Snapshot = store::encodeSnapshot(Setup.Store.All);
  Setup.Store.Next.push_back(
      {.Entries = {{.Key = "s/b", .Value = "active", .Changed = 3}},
       .AsOf = 3});
  Setup.run(100ms);
  cr_assert_eq(Setup.servers(), 2);
  cr_assert_eq(Setup.Store.Lists, 0);
}

// Guards against a VM that never starts because the snapshot is damaged or too
// old for the store's history.
Test(DirectoryFeed, unusable_snapshot_leads_to_a_list) {
  for (const bool TooOld : {true, false}) {
    FeedFixture Setup(1);
    Setup.Store.Snapshot =
        TooOld ? store::encodeSnapshot(Setup.Store.All) : "damaged";
    Setup.Store.HistoryLost = TooOld;
    Setup.start();
    cr_assert_eq(Setup.Store.Lists, 1);
    cr_assert(Setup.Store.Modes.front() == core::ReadMode::Stale);
  }
}

// Guards against a snapshot that is never written, or by every VM, and against
// one that contains itself or is passed on to the other VMs.
Test(DirectoryFeed, reader_writes_a_snapshot_of_the_directory) {
  for (const std::size_t Rank : {0U, 1U}) {
    FeedFixture Setup(Rank, 60ms);
    Setup.Store.All.Entries.push_back(
        {.Key = "snapshot", .Value = "old", .Changed = 2});
    Setup.start();
    Setup.Store.Next.push_back(
        {.Entries = {{.Key = "snapshot", .Value = "new", .Changed = 3}},
         .AsOf = 3});
    Setup.run(300ms);
    if (Rank != 0) {
      cr_assert_eq(Setup.Store.SnapshotsWritten, 0);
      continue;
    }
    cr_assert_geq(Setup.Store.SnapshotsWritten, 1);
    cr_assert_leq(Setup.Store.SnapshotsWritten, 4);
    const auto Decoded = store::decodeSnapshot(*Setup.Store.Snapshot);
    cr_assert(Decoded.has_value());
    cr_assert_eq(Decoded->Entries.size(), 2);
    for (const core::EntryChanges &Each : Setup.Shared)
      cr_assert(Each.List.Entries.empty());
  }
}

// Guards against an evacuation that a VM loses because another VM reports it
// while a list without it is under way.
Test(DirectoryFeed, list_that_was_overtaken_by_a_report_changes_nothing) {
  FeedFixture Setup(0);
  Setup.start();
  Setup.receive(tests::makeChanges(
      2, 6, {{.Key = "s/c", .Value = "active", .Changed = 6}}));
  Setup.Store.HistoryLost = true;
  Setup.run(100ms);
  cr_assert_geq(Setup.Store.Lists, 2);
  cr_assert_eq(Setup.servers(), 2);
}
