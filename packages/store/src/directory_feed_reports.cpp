#include <jujubecart/store/directory_feed.hpp>

#include <jujubecart/core/log.hpp>
#include <jujubecart/core/store_era.hpp>

#include <utility>

namespace jujubecart::store {

namespace internal {

// Changes that are older when they are applied get a line in the log.
constexpr std::chrono::milliseconds LoggedAge{500};

} // namespace internal

void DirectoryFeed::recordAge(core::TimePoint ReadAt) {
  const auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(
      Env.Time.now() - ReadAt);
  if (Env.Ages != nullptr)
    Env.Ages->add(static_cast<double>(Age.count()));
  if (Age >= internal::LoggedAge)
    core::LogLine(core::LogLevel::Warning, "directory.applied_late")
        .field("revision", Entries.asOf())
        .field("age_ms", Age.count());
}

void DirectoryFeed::applyFromPeer(const core::ReportedChanges &Report) {
  if (!Loaded)
    return;
  const core::EntryChanges &Changes = Report.Changes;
  const core::TimePoint ReadAt = Report.ReadAt;
  // Changes from one era of the store to another contain all of its entries.
  const bool Complete =
      core::eraOf(Changes.After) < core::eraOf(Changes.List.AsOf);
  // The changes from a list serve a VM that knows some of them only as a whole.
  const bool ListedInPart = Changes.After > Changes.Listed.After &&
                            Entries.asOf() < Changes.Listed.UpTo;
  if ((Changes.After > Entries.asOf() && !Complete) || ListedInPart) {
    if (!std::exchange(MissedChanges, true))
      core::LogLine(core::LogLevel::Info, "directory.changes_missed")
          .field("known", Entries.asOf())
          .field("reported_after", Changes.After);
    return;
  }
  // A sender that knows less than this VM proves nothing: it may have been
  // paused with an old answer.
  if (Changes.List.AsOf < Entries.asOf())
    return;
  // What was under way for long proves nothing about the time since. If it put
  // off the takeover, a reader whose link is full would keep all others from
  // reading.
  const core::TimePoint::duration Newer = ReadAt - LastConfirmed;
  if (Newer > core::TimePoint::duration::zero())
    recordConfirmation(ReadAt);
  // What this VM has read itself comes back to it through the relays.
  if (Newer > Options.MaxTransitError) {
    ++PeerConfirmations;
    ReadsForAll = false;
  }
  const bool IsNewer =
      Newer >= Options.WatchTimeout / 2 || Changes.List.AsOf > Entries.asOf();
  if (Report.PassOn && IsNewer)
    Env.Broadcast(Changes, ReadAt, Report.CompleteUntil);
  if (Changes.List.AsOf == Entries.asOf())
    return recordFreshness(Report.CompleteUntil);
  Entries.apply(Changes, Env.Time.now());
  if (Changes.List.Entries.empty() && Changes.Listed.UpTo == 0)
    return recordFreshness(Report.CompleteUntil);
  publish();
  recordFreshness(Report.CompleteUntil);
  recordAge(ReadAt);
}

} // namespace jujubecart::store
