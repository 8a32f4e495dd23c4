#include "plain_codec.hpp"

#include <jujubecart/store/directory_feed.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>
#include <deque>

using namespace jujubecart;
using namespace std::chrono_literals;
using core::Error;
using tests::PlainCodec;

namespace {

/// @brief Store whose answers are set by the test; watches without a change
/// end at their time.
class ScriptedStore final : public core::EntryStore {
public:
  explicit ScriptedStore(core::Sleeper &Delays) : Delays(Delays) {}

  [[nodiscard]] core::Awaitable<core::Result<core::EntryList>>
  list(core::ReadMode Mode, core::TimePoint /*Deadline*/) override {
    ++Lists;
    Modes.push_back(Mode);
    if (Down)
      co_return core::make_error_code(Error::Unavailable);
    co_return All;
  }
  [[nodiscard]] core::Awaitable<core::Result<core::EntryList>>
  changes(core::Revision After, core::TimePoint Until) override {
    ++Watches;
    if (Down)
      co_return core::make_error_code(Error::Unavailable);
    if (HistoryLost) {
      HistoryLost = false;
      co_return core::make_error_code(Error::HistoryLost);
    }
    if (!Next.empty()) {
      core::EntryList Out = std::move(Next.front());
      Next.pop_front();
      co_return Out;
    }
    co_await Delays.sleepUntil(Until);
    co_return core::EntryList{.Entries = {}, .AsOf = After};
  }
  [[nodiscard]] core::Awaitable<core::Result<core::LeaseId>>
  grantLease(std::chrono::milliseconds /*Ttl*/,
             core::TimePoint /*Deadline*/) override {
    ++Leases;
    co_return core::LeaseId{7};
  }
  [[nodiscard]] core::Awaitable<core::Result<void>>
  renewLease(core::LeaseId /*Lease*/, core::TimePoint /*Deadline*/) override {
    co_return core::Result<void>();
  }
  [[nodiscard]] core::Awaitable<core::Result<void>>
  put(std::string Key, std::string Value, core::LeaseId /*Lease*/,
      core::TimePoint /*Deadline*/) override {
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
  int Watches = 0;
  int Leases = 0;
  int Puts = 0;

private:
  core::Sleeper &Delays;
};

struct Fixture {
  explicit Fixture(std::size_t Rank) : Rank(Rank) {
    boost::asio::co_spawn(Io, Feed.run(), boost::asio::detached);
  }

  static store::DirectoryFeedOptions options() {
    store::DirectoryFeedOptions Out;
    Out.WatchTime = 20ms;
    Out.JoinDelay = 10ms;
    Out.BatchDelay = 1ms;
    Out.BackoffLow = 1ms;
    Out.BackoffHigh = 2ms;
    Out.SilenceLimit = 150ms;
    Out.SilenceStep = 10ms;
    return Out;
  }
  void run(std::chrono::milliseconds Time) { Io.run_for(Time); }
  /// @brief Runs until the entries are in use.
  void start() {
    const core::TimePoint Limit = Time.now() + 2s;
    while (servers() == 0 && Time.now() < Limit)
      run(1ms);
    cr_assert_eq(servers(), 1);
  }
  std::size_t servers() {
    const auto *Service = Table.current()->find("tags");
    return Service == nullptr ? 0 : Service->Servers.size();
  }

  boost::asio::io_context Io;
  core::SystemClock Time;
  core::SystemSleeper Delays;
  core::ConfigTable Table;
  PlainCodec Codec;
  ScriptedStore Store{Delays};
  std::size_t Rank;
  std::vector<core::EntryChanges> Shared;
  store::DirectoryFeed Feed{{.Store = Store,
                             .Codec = Codec,
                             .Table = Table,
                             .Time = Time,
                             .Delays = Delays,
                             .Random = [] { return std::uint64_t{1}; },
                             .ReaderRank = [this] { return Rank; },
                             .Share =
                                 [this](const core::EntryChanges &Changes) {
                                   Shared.push_back(Changes);
                                 }},
                            {.Id = "vm1", .Address = "1.2.3.4:5"},
                            {},
                            options()};
};

core::EntryChanges told(core::Revision After, core::Revision AsOf,
                        std::vector<core::StoredEntry> Entries) {
  return {.After = After,
          .List = {.Entries = std::move(Entries), .AsOf = AsOf}};
}

} // namespace

// Guards against changes that do not reach the configuration or other VMs.
Test(DirectoryFeed, first_reader_follows_the_store_and_shares_each_answer) {
  Fixture With(0);
  With.start();
  With.Store.Next.push_back(
      {.Entries = {{.Key = "s/b", .Value = "active", .Changed = 3}},
       .AsOf = 3});
  With.run(100ms);
  cr_assert_eq(With.servers(), 2);
  const auto Change =
      std::find_if(With.Shared.begin(), With.Shared.end(),
                   [](const auto &Item) { return !Item.List.Entries.empty(); });
  cr_assert(Change != With.Shared.end());
  cr_assert_eq(Change->After, 2);
  cr_assert_eq(Change->List.AsOf, 3);
  cr_assert_gt(With.Store.Watches, 2);
}

// Guards against a fleet in which every VM asks the store all the time.
Test(DirectoryFeed, other_vm_that_hears_from_the_reader_does_not_ask) {
  Fixture With(1);
  With.start();
  // The start reads what happened since its list.
  cr_assert_eq(With.Store.Watches, 1);
  for (int Round = 0; Round < 5; ++Round) {
    With.Feed.receive(told(2, 2, {}));
    With.run(60ms);
  }
  cr_assert_eq(With.Store.Watches, 1);
  With.Feed.receive(
      told(2, 3, {{.Key = "s/b", .Value = "active", .Changed = 3}}));
  cr_assert_eq(With.servers(), 2);
}

// Guards against a VM that hears nothing and misses a change.
Test(DirectoryFeed, silence_makes_a_vm_read_for_itself) {
  Fixture With(3);
  With.start();
  With.Store.Next.push_back(
      {.Entries = {{.Key = "s/a", .Value = std::nullopt, .Changed = 5}},
       .AsOf = 5});
  With.run(500ms);
  cr_assert_gt(With.Store.Watches, 0);
  cr_assert_eq(With.servers(), 0);
}

// Guards against changes that are applied although earlier ones are missing.
Test(DirectoryFeed, gap_in_what_others_tell_is_read_from_the_store) {
  Fixture With(1);
  With.start();
  With.Store.Next.push_back(
      {.Entries = {{.Key = "s/b", .Value = "active", .Changed = 8},
                   {.Key = "s/c", .Value = "active", .Changed = 9}},
       .AsOf = 9});
  With.Feed.receive(
      told(8, 9, {{.Key = "s/c", .Value = "active", .Changed = 9}}));
  cr_assert_eq(With.servers(), 1);
  With.run(400ms);
  cr_assert_eq(With.servers(), 3);
}

// Guards against a VM that serves by an outdated configuration after a start.
Test(DirectoryFeed, stale_list_at_the_start_is_caught_up_before_it_is_used) {
  Fixture With(3);
  std::vector<std::uint64_t> Versions;
  With.Table.subscribe([&](const core::ConfigSource::Snapshot &Snapshot) {
    Versions.push_back(Snapshot->routing()->version());
  });
  With.Store.Next.push_back(
      {.Entries = {{.Key = "config", .Value = "8", .Changed = 3}}, .AsOf = 3});
  With.start();
  cr_assert(With.Store.Modes == std::vector{core::ReadMode::Stale});
  cr_assert_eq(Versions.size(), 1);
  cr_assert_eq(Versions.front(), 8);
}

// Guards against a fleet whose VMs all read the store at the start since none
// knows the others yet.
Test(DirectoryFeed, new_vm_registers_before_it_catches_up) {
  Fixture With(0);
  boost::asio::co_spawn(With.Io, With.Feed.keepRegistered(),
                        boost::asio::detached);
  std::vector<std::size_t> Members;
  With.Feed.onMembers([&](const std::vector<core::Member> &Vms) {
    Members.push_back(Vms.size());
  });
  With.start();
  cr_assert_eq(With.Store.Puts, 1);
  cr_assert(!Members.empty());
  cr_assert_eq(Members.front(), 1);
}

// Guards against a start that fails for good because the store forgot what
// happened after a stale list.
Test(DirectoryFeed, latest_list_is_read_if_a_stale_one_cannot_be_caught_up) {
  Fixture With(3);
  With.Store.HistoryLost = true;
  With.start();
  cr_assert_eq(With.servers(), 1);
  cr_assert_eq(With.Store.Modes.size(), 2);
  cr_assert(With.Store.Modes.back() == core::ReadMode::Latest);
}

// Guards against a VM that goes on with entries of a forgotten history.
Test(DirectoryFeed, lost_history_makes_it_list_everything_again) {
  Fixture With(0);
  With.start();
  With.Store.All = {.Entries = {{.Key = "config", .Value = "6", .Changed = 20}},
                    .AsOf = 20};
  With.Store.HistoryLost = true;
  With.run(100ms);
  cr_assert_eq(With.Store.Lists, 2);
  cr_assert_eq(With.servers(), 0);
  cr_assert_eq(With.Table.current()->routing()->version(), 6);
}

// Guards against a configuration that is dropped while the store is away.
Test(DirectoryFeed, outage_of_the_store_keeps_what_is_known) {
  Fixture With(0);
  With.start();
  With.Store.Down = true;
  With.run(100ms);
  cr_assert_eq(With.servers(), 1);
  With.Store.Down = false;
  With.Store.Next.push_back(
      {.Entries = {{.Key = "s/b", .Value = "active", .Changed = 3}},
       .AsOf = 3});
  With.run(100ms);
  cr_assert_eq(With.servers(), 2);
}

// Guards against a registration that is lost with its lease, or repeated.
Test(DirectoryFeed, vm_registers_once_and_trusts_the_watch_alone) {
  Fixture With(0);
  boost::asio::co_spawn(With.Io, With.Feed.keepRegistered(),
                        boost::asio::detached);
  With.run(2500ms);
  cr_assert_eq(With.Store.Puts, 1);
  cr_assert_eq(With.Store.Leases, 1);
}
