#ifndef JUJUBECART_TESTS_STORE_DIRECTORY_FEED_FIXTURE_HPP
#define JUJUBECART_TESTS_STORE_DIRECTORY_FEED_FIXTURE_HPP

#include "plain_codec.hpp"

#include <jujubecart/store/directory_feed.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>
#include <deque>

namespace jujubecart::tests {

using namespace std::chrono_literals;
using core::Error;

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

/// @brief A feed that runs in real time, with times a tenth of the usual ones
/// or shorter.
struct FeedFixture {
  explicit FeedFixture(std::size_t Rank,
                       std::chrono::milliseconds SnapshotInterval = 10s,
                       store::FreshnessRecord *Freshness = nullptr)
      : Rank(Rank), SnapshotInterval(SnapshotInterval), Freshness(Freshness) {
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
    Result.MaxTransitError = 2ms;
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
    Feed.applyFromPeer({.Changes = Changes, .ReadAt = Time.now()});
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
  store::FreshnessRecord *Freshness;
  std::vector<std::string> Lost;
  std::vector<core::EntryChanges> Shared;
  /// When each of them was read, as the others are told.
  std::vector<core::TimePoint> SharedReadAt;
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
           [this](const core::EntryChanges &Changes, core::TimePoint ReadAt,
                  std::optional<std::chrono::milliseconds> /*CompleteUntil*/) {
             Shared.push_back(Changes);
             SharedReadAt.push_back(ReadAt);
           },
       .Freshness = Freshness},
      {.Id = "vm1", .Address = "1.2.3.4:5"},
      {},
      options()};
};

[[nodiscard]] inline core::EntryChanges
makeChanges(core::Revision After, core::Revision AsOf,
            std::vector<core::StoredEntry> Entries) {
  return {.After = After,
          .List = {.Entries = std::move(Entries), .AsOf = AsOf}};
}

} // namespace jujubecart::tests

#endif
