#include "plain_codec.hpp"

#include <jujubecart/store/directory_feed.hpp>
#include <jujubecart/store/directory_snapshot.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>
#include <deque>
#include <zlib.h>

using namespace jujubecart;
using namespace std::chrono_literals;
using core::Error;
using tests::PlainCodec;

namespace {

/// @brief Store whose responses are set by the test. A watch without a change
/// ends at its deadline.
class ScriptedStore final : public core::EntryStore {
public:
  explicit ScriptedStore(core::Sleeper &Sleeper) : Sleeper(Sleeper) {}

  [[nodiscard]] core::Awaitable<core::Result<core::EntryList>>
  list(core::ReadMode Mode, core::TimePoint /*Deadline*/) override {
    ++Lists;
    Modes.push_back(Mode);
    if (Down)
      co_return core::make_error_code(Error::Unavailable);
    co_return All;
  }
  [[nodiscard]] core::Awaitable<core::Result<core::StoredEntry>>
  get(std::string Key, core::ReadMode /*Mode*/,
      core::TimePoint /*Deadline*/) override {
    ++Gets;
    if (Down)
      co_return core::make_error_code(Error::Unavailable);
    if (!Snapshot)
      co_return core::make_error_code(Error::NotFound);
    co_return core::StoredEntry{
        .Key = std::move(Key), .Value = *Snapshot, .Changed = 2};
  }
  [[nodiscard]] core::Awaitable<core::Result<core::EntryList>>
  waitForChanges(core::Revision After, core::TimePoint Until) override {
    ++Watches;
    if (Down)
      co_return core::make_error_code(Error::Unavailable);
    if (HistoryLost) {
      HistoryLost = false;
      co_return core::make_error_code(Error::HistoryLost);
    }
    if (!Next.empty()) {
      core::EntryList Result = std::move(Next.front());
      Next.pop_front();
      co_return Result;
    }
    co_await Sleeper.sleepUntil(Until);
    co_return core::EntryList{.Entries = {}, .AsOf = After};
  }
  [[nodiscard]] core::Awaitable<core::Result<void>>
  remove(std::vector<core::EntryVersion> Keys,
         core::TimePoint /*Deadline*/) override {
    Removed.insert(Removed.end(), Keys.begin(), Keys.end());
    co_return core::Result<void>();
  }
  [[nodiscard]] core::Awaitable<core::Result<void>>
  put(std::string Key, std::string Value,
      core::TimePoint /*Deadline*/) override {
    if (Key == "snapshot") {
      Snapshot = std::move(Value);
      ++SnapshotsWritten;
      co_return core::Result<void>();
    }
    ++Puts;
    Next.push_back({.Entries = {{.Key = std::move(Key),
                                 .Value = std::move(Value),
                                 .Changed = 90}},
                    .AsOf = 90});
    co_return core::Result<void>();
  }

  core::EntryList All{
      .Entries = {{.Key = "config", .Value = "5", .Changed = 1},
                  {.Key = "s/a", .Value = "active", .Changed = 2}},
      .AsOf = 2};
  std::deque<core::EntryList> Next;
  bool Down = false;
  bool HistoryLost = false;
  int Lists = 0;
  std::vector<core::ReadMode> Modes;
  int Gets = 0;
  int Watches = 0;
  int Puts = 0;
  std::optional<std::string> Snapshot;
  int SnapshotsWritten = 0;
  std::vector<core::EntryVersion> Removed;

private:
  core::Sleeper &Sleeper;
};

struct Fixture {
  explicit Fixture(std::size_t Rank,
                   std::chrono::milliseconds SnapshotInterval = 10s)
      : Rank(Rank), SnapshotInterval(SnapshotInterval) {
    boost::asio::co_spawn(Io, Feed.run(), boost::asio::detached);
  }

  [[nodiscard]] store::DirectoryFeedOptions options() const {
    store::DirectoryFeedOptions Result;
    Result.WatchTimeout = 20ms;
    Result.LoneWatchTimeout = 400ms;
    Result.SnapshotInterval = SnapshotInterval;
    Result.MaxSnapshotInterval = SnapshotInterval;
    Result.JoinDelay = 10ms;
    Result.BatchDelay = 1ms;
    Result.InitialBackoff = 1ms;
    Result.MaxBackoff = 2ms;
    Result.TakeoverDelay = 150ms;
    Result.TakeoverDelayPerRank = 10ms;
    Result.TakeoverSpread = 10ms;
    Result.MaxBroadcastDelay = 10ms;
    Result.RetryInterval = 300ms;
    Result.RetryJitter = 10ms;
    return Result;
  }
  void run(std::chrono::milliseconds Time) { Io.run_for(Time); }
  /// @brief Runs until the feed has loaded the entries.
  void start() {
    const core::TimePoint Limit = Time.now() + 2s;
    while (servers() == 0 && Time.now() < Limit)
      run(1ms);
    cr_assert_eq(servers(), 1);
  }
  /// @brief Applies what another VM has just got from the store.
  void receive(const core::EntryChanges &Changes) {
    Feed.applyFromPeer(Changes, Time.now());
  }
  std::size_t servers() {
    const auto *Service = Table.current()->find("tags");
    return Service == nullptr ? 0 : Service->Servers.size();
  }

  boost::asio::io_context Io;
  core::SystemClock Time;
  core::SystemSleeper Sleeper;
  core::ConfigTable Table;
  PlainCodec Codec;
  ScriptedStore Store{Sleeper};
  std::size_t Rank;
  bool Alone = false;
  std::chrono::milliseconds SnapshotInterval;
  std::vector<std::string> Lost;
  std::vector<core::EntryChanges> Shared;
  store::DirectoryFeed Feed{
      {.Store = Store,
       .Codec = Codec,
       .Table = Table,
       .Time = Time,
       .Sleeper = Sleeper,
       .Random = [] { return std::uint64_t{1}; },
       .ReaderRank = [this] { return Rank; },
       .Alone = [this] { return Alone; },
       .LostVms = [this] { return Lost; },
       .Broadcast =
           [this](const core::EntryChanges &Changes,
                  core::TimePoint /*ReadAt*/) { Shared.push_back(Changes); }},
      {.Id = "vm1", .Address = "1.2.3.4:5"},
      {},
      options()};
};

core::EntryChanges makeChanges(core::Revision After, core::Revision AsOf,
                               std::vector<core::StoredEntry> Entries) {
  return {.After = After,
          .List = {.Entries = std::move(Entries), .AsOf = AsOf}};
}

} // namespace

// Guards against changes in the store that are not applied, or not passed on to
// the other VMs, by the VM that reads for all.
Test(DirectoryFeed, first_reader_follows_the_store_and_shares_each_answer) {
  Fixture Setup(0);
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

// Guards against a store that is overloaded because every VM watches it,
// although one of them passes its answers on.
Test(DirectoryFeed, vm_that_receives_changes_does_not_watch_the_store) {
  Fixture Setup(1);
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
  Fixture Setup(3);
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
  Fixture Setup(1);
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

// Guards against a VM that starts with an outdated configuration because its
// first list is a stale read.
Test(DirectoryFeed, stale_first_list_is_brought_up_to_date_before_it_is_used) {
  Fixture Setup(3);
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
  Fixture Setup(0);
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
  Fixture Setup(3);
  Setup.Store.HistoryLost = true;
  Setup.start();
  cr_assert_eq(Setup.servers(), 1);
  cr_assert_eq(Setup.Store.Modes.size(), 2);
  cr_assert(Setup.Store.Modes.back() == core::ReadMode::Latest);
}

// Guards against a VM that keeps outdated entries after the store has dropped
// the changes that would update them.
Test(DirectoryFeed, lost_history_leads_to_a_new_list) {
  Fixture Setup(0);
  Setup.start();
  Setup.Store.All = {
      .Entries = {{.Key = "config", .Value = "6", .Changed = 20}}, .AsOf = 20};
  Setup.Store.HistoryLost = true;
  Setup.run(100ms);
  cr_assert_eq(Setup.Store.Lists, 2);
  cr_assert_eq(Setup.servers(), 0);
  cr_assert_eq(Setup.Table.current()->routing()->version(), 6);
}

// Guards against a list of all entries by every VM of the fleet after the store
// has dropped its history, since the changes of the reader would not follow
// those that they know.
Test(DirectoryFeed, changes_in_lost_history_are_passed_on_to_the_others) {
  Fixture Reader(0);
  Fixture Other(1);
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

// Guards against a stampede: all VMs of a large fleet that call the store in an
// outage, several times a second each.
Test(DirectoryFeed, few_vms_call_a_store_that_is_down_often) {
  for (const std::size_t Rank : {7U, 20U}) {
    Fixture Setup(Rank);
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

// Guards against a VM that waits for its turn although all VMs that rank before
// it cannot read the store, and against others that are not told what it read.
Test(DirectoryFeed, vm_of_a_high_rank_takes_over_and_reads_for_all) {
  Fixture Setup(90);
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
  Fixture Setup(1);
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

// Guards against VMs that are cut off from all others and call the store as
// often as one that has to tell the others that nothing has changed.
Test(DirectoryFeed, vm_that_is_alone_calls_the_store_rarely) {
  Fixture Setup(0);
  Setup.Alone = true;
  Setup.start();
  const int Before = Setup.Store.Watches;
  Setup.run(300ms);
  cr_assert_leq(Setup.Store.Watches - Before, 2);
}

// Guards against a configuration that is discarded during an outage of the
// store, and against a watch that does not continue after it.
Test(DirectoryFeed, outage_of_the_store_keeps_the_configuration) {
  Fixture Setup(0);
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

// Guards against a registration that is never written, or is written again with
// another lease although the watch has reported it.
Test(DirectoryFeed, vm_registers_once_and_relies_on_the_watch) {
  Fixture Setup(0);
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
    Fixture Setup(Rank);
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
  Fixture Setup(1);
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
    Fixture Setup(1);
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
    Fixture Setup(Rank, 60ms);
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

// Guards against a snapshot that loses bytes, and against one that takes all
// memory when it is decompressed.
Test(DirectorySnapshot, list_is_decoded_unchanged_and_damaged_ones_are_not) {
  core::EntryList List{.AsOf = 17};
  for (int Index = 0; Index < 600; ++Index)
    List.Entries.push_back({.Key = "s/" + std::to_string(Index),
                            .Value = std::string(400, '\xff') + '\0',
                            .Changed = core::Revision(Index)});
  const std::string Encoded = store::encodeSnapshot(List);
  cr_assert_lt(Encoded.size(), 24000);
  cr_assert(store::decodeSnapshot(Encoded) == List);
  cr_assert_not(store::decodeSnapshot(""));
  cr_assert_not(store::decodeSnapshot(Encoded.substr(0, 1000)));
  List.Entries = {{.Key = "k", .Value = std::string(20 << 20, 'x')}};
  cr_assert_not(store::decodeSnapshot(store::encodeSnapshot(List)));
}

// Guards against a process that ends because another writer left a snapshot
// that is nested very deeply.
Test(DirectorySnapshot, deeply_nested_snapshot_is_not_decoded) {
  constexpr char ArrayOfOne = '\x81';
  const std::string Nested(4 << 20, ArrayOfOne);
  uLongf Size = compressBound(Nested.size());
  std::string Value(Size, '\0');
  cr_assert_eq(compress(reinterpret_cast<Bytef *>(Value.data()), &Size,
                        reinterpret_cast<const Bytef *>(Nested.data()),
                        Nested.size()),
               Z_OK);
  Value.resize(Size);
  cr_assert_not(store::decodeSnapshot(Value));
}
