#include "directory_feed_fixture.hpp"

#include <jujubecart/core/store_era.hpp>

using namespace jujubecart;
using namespace std::chrono_literals;
using tests::FeedFixture;
using tests::makeChanges;

// Guards against a store that is overloaded because every VM watches it,
// although one of them passes its answers on.
Test(DirectoryFeed, vm_that_receives_changes_does_not_watch_the_store) {
  FeedFixture Setup(1);
  Setup.start();
  // The feed reads once at the start: the changes since its list.
  cr_assert_eq(Setup.Store.Watches, 1);
  for (int Round = 0; Round < 5; ++Round) {
    Setup.receive(makeChanges(2, 2, {}));
    Setup.run(60ms);
  }
  cr_assert_eq(Setup.Store.Watches, 1);
  Setup.receive(
      makeChanges(2, 3, {{.Key = "s/b", .Value = "active", .Changed = 3}}));
  cr_assert_eq(Setup.servers(), 2);
}

// Guards against a VM that misses a change because no other VM passes it on.
Test(DirectoryFeed, vm_that_receives_nothing_reads_the_store) {
  FeedFixture Setup(3);
  Setup.start();
  Setup.Store.Next.push_back(
      {.Entries = {{.Key = "s/a", .Value = std::nullopt, .Changed = 5}},
       .AsOf = 5});
  Setup.run(500ms);
  cr_assert_gt(Setup.Store.Watches, 0);
  cr_assert_eq(Setup.servers(), 0);
}

// Guards against changes from another VM that are applied although this VM has
// missed earlier ones.
Test(DirectoryFeed, changes_missing_from_other_vms_are_read_from_the_store) {
  FeedFixture Setup(1);
  Setup.start();
  Setup.Store.Next.push_back(
      {.Entries = {{.Key = "s/b", .Value = "active", .Changed = 8},
                   {.Key = "s/c", .Value = "active", .Changed = 9}},
       .AsOf = 9});
  Setup.receive(
      makeChanges(8, 9, {{.Key = "s/c", .Value = "active", .Changed = 9}}));
  cr_assert_eq(Setup.servers(), 1);
  Setup.run(400ms);
  cr_assert_eq(Setup.servers(), 3);
}

// Guards against a list of all entries by every VM of the fleet after the store
// has dropped its history, since the changes of the reader would not follow
// those that they know.
Test(DirectoryFeed, changes_in_lost_history_are_passed_on_to_the_others) {
  FeedFixture Reader(0);
  FeedFixture Other(1);
  Reader.start();
  Other.start();
  Reader.Store.All = {
      .Entries = {{.Key = "config", .Value = "6", .Changed = 20},
                  {.Key = "snapshot", .Value = "", .Changed = 18},
                  {.Key = "s/c", .Value = "active", .Changed = 22},
                  {.Key = "s/b", .Value = "active", .Changed = 12}},
      .AsOf = 20};
  Reader.Store.HistoryLost = true;
  Reader.run(100ms);
  cr_assert_eq(Reader.servers(), 2);
  for (const core::EntryChanges &Each : Reader.Shared)
    Other.receive(Each);
  Other.run(20ms);
  cr_assert_eq(Other.Table.current()->routing()->version(), 6);
  // The list has a server that was added after its AsOf; the next watch reports
  // it.
  cr_assert_eq(Other.servers(), 1);
  cr_assert_eq(Other.Store.Lists, 1);
  cr_assert_eq(Other.Store.Watches, 1);
}

// Guards against a VM that waits for its turn although all VMs that rank before
// it cannot read the store, and against others that are not told what it read.
Test(DirectoryFeed, vm_of_a_high_rank_takes_over_and_reads_for_all) {
  FeedFixture Setup(90);
  Setup.start();
  Setup.Store.Next.push_back(
      {.Entries = {{.Key = "s/b", .Value = "active", .Changed = 3}},
       .AsOf = 3});
  Setup.run(250ms);
  cr_assert_eq(Setup.servers(), 2);
  cr_assert_not(Setup.Shared.empty());
  cr_assert_eq(Setup.Shared.front().List.AsOf, 3);
  // It reads on until another VM does.
  Setup.Store.Next.push_back(
      {.Entries = {{.Key = "s/c", .Value = "active", .Changed = 4}},
       .AsOf = 4});
  Setup.run(50ms);
  cr_assert_eq(Setup.servers(), 3);
  Setup.receive(makeChanges(4, 4, {}));
  Setup.run(30ms);
  const int Watches = Setup.Store.Watches;
  Setup.run(60ms);
  cr_assert_eq(Setup.Store.Watches, Watches);
}

// Guards against a VM that is kept from reading the store by another one that
// knows less, because it was paused or has not caught up.
Test(DirectoryFeed, sender_that_knows_less_confirms_nothing) {
  FeedFixture Setup(1);
  Setup.start();
  Setup.Store.Next.push_back(
      {.Entries = {{.Key = "s/b", .Value = "active", .Changed = 3}},
       .AsOf = 3});
  for (int Round = 0; Round < 5; ++Round) {
    Setup.receive(makeChanges(1, 1, {}));
    Setup.run(50ms);
  }
  cr_assert_eq(Setup.servers(), 2);
}

// Guards against a change that only a small VM has read, and that nobody sends
// to the others, or that is sent around without end.
Test(DirectoryFeed, vm_that_is_asked_to_pass_news_on_does_so_once) {
  FeedFixture Setup(1);
  Setup.start();
  const core::ReportedChanges Report{
      .Changes =
          makeChanges(2, 3, {{.Key = "s/b", .Value = "active", .Changed = 3}}),
      .ReadAt = Setup.Time.now(),
      .PassOn = true};
  Setup.Feed.applyFromPeer(Report);
  Setup.Feed.applyFromPeer(Report);
  cr_assert_eq(Setup.Shared.size(), 1);
  cr_assert(Setup.Shared.front() == Report.Changes);
  cr_assert_eq(Setup.servers(), 2);
}

// Guards against an outdated report that ends the reading of a VM that took
// over, or puts off its takeover, because it counts as read when it arrives.
Test(DirectoryFeed, report_confirms_nothing_after_it_was_read) {
  FeedFixture Setup(1);
  Setup.start();
  const core::TimePoint Loaded = Setup.Time.now();
  Setup.Store.Next.push_back(
      {.Entries = {{.Key = "s/b", .Value = "active", .Changed = 3}},
       .AsOf = 3});
  for (int Round = 0; Round < 5; ++Round) {
    Setup.Feed.applyFromPeer(
        {.Changes = makeChanges(2, 2, {}), .ReadAt = Loaded});
    Setup.run(60ms);
  }
  cr_assert_eq(Setup.servers(), 2);
}

// Guards against a removed API key that counts for longer, because an answer
// whose entries are of an era that has ended shows that nothing is missing.
Test(DirectoryFeed, answer_of_an_earlier_era_shows_no_freshness) {
  store::FreshnessRecord Freshness;
  FeedFixture Setup(0, 10s, &Freshness);
  Setup.Alone = true;
  Setup.start();
  while (Setup.Store.Watches < 2)
    Setup.run(1ms);
  const auto Before = Freshness.completeUntil();
  Setup.receive(makeChanges(2, core::makeRevision(1, 3),
                            {{.Key = "s/a",
                              .Value = "active",
                              .Changed = core::makeRevision(1, 2)}}));
  // The watch of the earlier era ends without an error.
  while (Setup.Store.Watches < 3)
    Setup.run(1ms);
  cr_assert(Freshness.completeUntil() == Before);
  cr_assert(Setup.Shared.empty());
}

// Guards against a zone that stays evacuated for good, because a VM that read a
// list knew neither the evacuation nor its end.
Test(DirectoryFeed, deletion_unknown_to_the_reader_of_a_list_is_applied) {
  for (const core::Revision Base :
       {core::Revision{0}, core::makeRevision(1, 0)}) {
    FeedFixture Reader(0);
    FeedFixture Other(1);
    Reader.start();
    Other.start();
    const core::StoredEntry Config{
        .Key = "config", .Value = "5", .Changed = Base + 1};
    const core::StoredEntry First{
        .Key = "s/a", .Value = "active", .Changed = Base + 2};
    const core::StoredEntry Second{
        .Key = "s/c", .Value = "active", .Changed = Base + 250};
    Other.receive(
        makeChanges(2, Base + 300,
                    {Config,
                     First,
                     {.Key = "e/z1", .Value = "{}", .Changed = Base + 200},
                     Second}));
    cr_assert_eq(Other.Feed.evacuatedZones(), 1);
    Reader.Store.All = {.Entries = {Config, First, Second}, .AsOf = Base + 500};
    Reader.Store.HistoryLost = true;
    Reader.run(100ms);
    for (const core::EntryChanges &Each : Reader.Shared)
      Other.receive(Each);
    cr_assert_eq(Other.Feed.evacuatedZones(), 0);
    cr_assert_eq(Other.servers(), 2);
    cr_assert_eq(Other.Store.Watches, 1);
  }
}

// Guards against entries that are removed because only some of the changes from
// a list arrived.
Test(DirectoryFeed, changes_from_a_list_that_are_incomplete_are_not_applied) {
  FeedFixture Setup(1);
  Setup.start();
  Setup.receive(
      makeChanges(2, 300, {{.Key = "s/b", .Value = "active", .Changed = 150}}));
  core::EntryChanges Part = makeChanges(200, 500, {});
  Part.Listed = {.After = 100, .UpTo = 500};
  Setup.receive(Part);
  cr_assert_eq(Setup.servers(), 2);
  // They are still missing.
  Setup.receive(makeChanges(
      300, 500, {{.Key = "s/c", .Value = "active", .Changed = 400}}));
  cr_assert_eq(Setup.servers(), 3);
}

// Guards against VMs that put off their own reads because an answer that was
// under way for long counts as read when it arrived.
Test(DirectoryFeed, answer_that_arrived_slowly_was_read_when_it_was_given) {
  FeedFixture Setup(0);
  Setup.start();
  const core::TimePoint Given = Setup.Time.now() - 100ms;
  Setup.Store.Next.push_back(
      {.Entries = {{.Key = "s/b", .Value = "active", .Changed = 3}},
       .AsOf = 3,
       .AnsweredAt = Given});
  Setup.run(100ms);
  cr_assert_eq(Setup.servers(), 2);
  for (std::size_t At = 0; At < Setup.Shared.size(); ++At)
    if (!Setup.Shared[At].List.Entries.empty())
      cr_assert(Setup.SharedReadAt[At] == Given);
}
