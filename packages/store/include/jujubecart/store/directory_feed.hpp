#ifndef JUJUBECART_STORE_DIRECTORY_FEED_HPP
#define JUJUBECART_STORE_DIRECTORY_FEED_HPP

#include <jujubecart/core/config_table.hpp>
#include <jujubecart/core/entry_store.hpp>
#include <jujubecart/core/metrics.hpp>
#include <jujubecart/core/sleeper.hpp>
#include <jujubecart/store/directory.hpp>
#include <jujubecart/store/freshness.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

namespace jujubecart::store {

/// @brief Timing of a @ref DirectoryFeed.
struct DirectoryFeedOptions {
  /// A watch without a change ends after this time, so that the other VMs are
  /// told that nothing changed before they read the store themselves.
  std::chrono::milliseconds WatchTimeout{700};
  /// The same for a VM that is alone, so that nobody has to be told. Bounds the
  /// time for which a watch on a silent connection goes unnoticed. Must be
  /// shorter than MinLossyOutage; see longestQuietTime().
  std::chrono::milliseconds LoneWatchTimeout{1500};
  /// Timeout of a list, a registration and a removal of registrations.
  std::chrono::milliseconds CallTimeout{1000};
  /// How long a VM that is not registered yet waits after its first list, so
  /// that VMs that start together have registered before it reads the changes.
  std::chrono::milliseconds JoinDelay{400};
  /// Delay after a change before the next watch, so that changes in quick
  /// succession are read with one call.
  std::chrono::milliseconds BatchDelay{100};
  /// Maximum delay after the first failed call; doubles with each further one.
  std::chrono::milliseconds InitialBackoff{50};
  /// Upper bound of the doubled delay.
  std::chrono::milliseconds MaxBackoff{800};
  /// A VM of reader rank 1 reads the store itself if the newest answer of the
  /// store that it knows is older than this.
  std::chrono::milliseconds TakeoverDelay{1100};
  /// Additional time for each further rank.
  std::chrono::milliseconds TakeoverDelayPerRank{130};
  /// Upper bound of the number of such additions.
  std::size_t MaxTakeoverDelaySteps = 3;
  /// VMs of lower ranks than this take over first, broadcast at once and call a
  /// store that is down more often than the others.
  std::size_t PromptReaders = 8;
  /// The others take over within this time after the last prompt reader, each
  /// at a random moment. Together with the delays above, a call and the time to
  /// apply a change, this must be less than the time in which every VM must
  /// have a change.
  std::chrono::milliseconds TakeoverSpread{110};
  /// By how much an instant that another VM states may be too late: the
  /// shortest time in which a message arrives, once for each VM that passes it
  /// on.
  std::chrono::milliseconds MaxTransitError{100};
  /// Longest time that one of the others waits before it broadcasts, so that
  /// one that was faster spares the rest theirs.
  std::chrono::milliseconds MaxBroadcastDelay{200};
  /// Time from one failed call of the others to the next, and the random time
  /// added to it. A VM counts as connected to the store again after three
  /// seconds and must then have all changes.
  std::chrono::milliseconds RetryInterval{2000};
  std::chrono::milliseconds RetryJitter{400};
  /// Time after the end of a store outage within which live servers have
  /// written their lost entries again; deletions are deferred until then.
  std::chrono::milliseconds ReregistrationTime{2300};
  /// Longest random time that a VM whose registration was lost waits before it
  /// writes it again.
  std::chrono::milliseconds MaxRegistrationDelay{500};
  /// The store loses no entries in an outage shorter than this. Every silence
  /// from this time on counts as an outage.
  std::chrono::milliseconds MinLossyOutage{1800};
  /// How often the reader writes a snapshot of the entries after changes, and
  /// how often at least, so that the changes since the snapshot are still in
  /// the store's history (20 s).
  std::chrono::milliseconds SnapshotInterval{5000};
  std::chrono::milliseconds MaxSnapshotInterval{10000};
  /// A VM whose entries are complete up to an instant longer ago reads the
  /// store itself, if Environment::Freshness is set. Longer than the usual
  /// takeover of a lost reader.
  std::chrono::milliseconds MaxFreshnessAge{2400};
  /// How often the reader removes the registrations of lost VMs.
  std::chrono::milliseconds CleanupInterval{5000};
};

/// @brief Longest time between two confirmations of the entries while the store
/// answers at once and nothing changes, in any mode: alone, as the reader, and
/// as a VM that takes over from a lost reader. A longer silence is an outage.
[[nodiscard]] constexpr std::chrono::milliseconds
longestQuietTime(const DirectoryFeedOptions &Options) noexcept {
  const std::chrono::milliseconds Reading =
      std::max(Options.WatchTimeout, Options.LoneWatchTimeout) +
      Options.BatchDelay;
  const std::chrono::milliseconds TakingOver =
      Options.TakeoverDelay +
      Options.TakeoverDelayPerRank *
          static_cast<std::int64_t>(Options.MaxTakeoverDelaySteps) +
      Options.TakeoverSpread;
  return std::max(Reading, TakingOver);
}

/// @brief Keeps this VM's configuration and member list up to date with a
/// store, and keeps this VM registered there.
///
/// Normally one VM watches the store and passes each answer on to the others. A
/// VM that hears of no answer reads the store itself, whatever its rank, so
/// that it has each change in time if it can reach the store at all.
class DirectoryFeed {
public:
  using MemberListener = std::function<void(const std::vector<core::Member> &)>;

  /// @brief Dependencies of the feed; everything must outlive it.
  struct Environment {
    core::EntryStore &Store;
    const core::DirectoryCodec &Codec;
    core::ConfigTable &Table;
    const core::Clock &Time;
    core::Sleeper &Sleeper;
    /// Random source for backoff jitter.
    std::function<std::uint64_t()> Random;
    /// Rank of this VM in the order in which VMs take over reading the store
    /// for all; the VM with rank 0 reads.
    std::function<std::size_t()> ReaderRank;
    /// Whether this VM knows no other live VM.
    std::function<bool()> Alone;
    /// Ids of registered VMs that are lost, so that the reader removes their
    /// registrations.
    std::function<std::vector<std::string>()> LostVms;
    /// Sends an answer of the store, when a VM got it, and up to when the
    /// entries are complete with it (see core::ReportedChanges) to the other
    /// VMs.
    std::function<void(const core::EntryChanges &, core::TimePoint,
                       std::optional<std::chrono::milliseconds>)>
        Broadcast;
    /// Gets the age in milliseconds of each change when it is applied; may be
    /// null.
    core::Summary *Ages = nullptr;
    /// Called once if the first list shows that an earlier process of this VM
    /// was registered; may be null.
    std::function<void()> OnRestart = nullptr;
    /// Gets the instant up to which the published entries are complete; null if
    /// nobody needs it, in which case the other VMs are not told it either.
    FreshnessRecord *Freshness = nullptr;
  };

  /// @brief Creates a feed that does nothing until run() is spawned.
  /// @param Self Registration of this VM.
  DirectoryFeed(const Environment &Env, core::Member Self,
                Directory::Zones ZoneRegions, DirectoryFeedOptions Options);

  /// @brief Sets the listener that is called after each change of the
  /// registered entry VMs. Must be set before run() is spawned.
  void setMemberHandler(MemberListener Listener) {
    OnMembers = std::move(Listener);
  }

  /// @brief Reads the store, or waits for what other VMs report, until stopped.
  [[nodiscard]] core::Awaitable<void> run();

  /// @brief Registers this VM and keeps it registered until stopped. Waits for
  /// the first list of run().
  [[nodiscard]] core::Awaitable<void> keepRegistered();

  /// @brief Applies changes that another VM has read from the store; must be
  /// called on the strand of run().
  void applyFromPeer(const core::ReportedChanges &Report);

  /// @brief Ends run() and keepRegistered() after their current operation; may
  /// be called from any thread.
  void stop() noexcept { Stopped = true; }

  /// @brief Number of evacuated availability zones; may be called from any
  /// thread.
  [[nodiscard]] std::size_t evacuatedZones() const noexcept {
    return EvacuatedZones;
  }

  /// @brief Names of these zones; may be called from any thread.
  [[nodiscard]] std::vector<std::string> evacuatedZoneNames() const;

private:
  [[nodiscard]] core::Awaitable<bool> load();
  [[nodiscard]] core::Awaitable<core::Result<core::EntryList>> readAll();
  [[nodiscard]] core::Awaitable<void> writeSnapshot();
  [[nodiscard]] core::Awaitable<bool> catchUp();
  [[nodiscard]] core::Awaitable<bool> readStore();
  [[nodiscard]] core::Awaitable<bool> watchStore();
  [[nodiscard]] core::Awaitable<bool> relist(bool CatchesUp,
                                             std::uint64_t ConfirmationsBefore);
  /// @brief Broadcasts an answer of the store unless another VM has done so.
  /// @param ConfirmationsBefore PeerConfirmations before the store was called.
  [[nodiscard]] core::Awaitable<void>
  passOn(core::EntryChanges Changes, core::TimePoint ReadAt,
         std::uint64_t ConfirmationsBefore,
         std::chrono::milliseconds CompleteUntil);
  [[nodiscard]] core::Awaitable<void> backOff(core::TimePoint Started);
  [[nodiscard]] core::Awaitable<bool> ensureRegistered();
  [[nodiscard]] core::Awaitable<void> removeLostVms();
  [[nodiscard]] bool mustReadStore();
  [[nodiscard]] core::TimePoint takeoverTime() const;
  [[nodiscard]] bool isPrompt(std::size_t Rank) const;
  [[nodiscard]] core::TimePoint watchEnd() const;
  [[nodiscard]] core::TimePoint retryTime(core::TimePoint Started) const;
  [[nodiscard]] std::chrono::milliseconds
  randomUpTo(std::chrono::milliseconds Max) const;
  void logTakeover();
  void recordAge(core::TimePoint ReadAt);
  /// @brief Whether the entries are complete up to an instant that is too long
  /// ago, although other VMs confirm them.
  [[nodiscard]] bool lacksFreshness() const;
  /// @brief Records up to when the published entries are complete.
  void recordFreshness(std::optional<std::chrono::milliseconds> CompleteUntil);
  void recordConfirmation(core::TimePoint ReadAt);
  /// @brief Notes an answer of the store.
  /// @param List Its entries.
  /// @return When the store gave it.
  core::TimePoint recordSuccess(const core::EntryList &List);
  void recordFailure(std::string_view Call, const std::error_code &Error);
  void publish();

  const Environment Env;
  const core::Member Self;
  const DirectoryFeedOptions Options;
  Directory Entries;
  MemberListener OnMembers;
  std::vector<core::Member> LastMembers;
  std::atomic<bool> Stopped{false};
  std::atomic<std::size_t> EvacuatedZones{0};
  /// Guards ZoneNames; no other lock is taken while it is held.
  mutable std::mutex ZoneNamesMutex;
  std::vector<std::string> ZoneNames;
  /// What load() reads first; each is tried if the one before fails.
  enum class Source : std::uint8_t { Snapshot, StaleList, LatestList };
  Source LoadFrom = Source::Snapshot;
  /// Whether the entries were listed once. Only then is it known whether this
  /// VM is registered.
  bool Listed = false;
  /// Whether the entries are complete and can be kept up to date by watches.
  bool Loaded = false;
  /// Consecutive failed calls; determines the backoff.
  unsigned Failures = 0;
  /// Time of the last successful read of the store.
  core::TimePoint LastSuccess;
  /// When this VM or another one got the newest answer of the store that this
  /// VM knows; the entries have been confirmed up to then.
  core::TimePoint LastConfirmed;
  /// Up to when the entries that load() reads are complete.
  std::chrono::milliseconds LoadedUntil{0};
  /// Whether another VM reported changes that follow changes unknown here; the
  /// missing ones must be read from the store.
  bool MissedChanges = false;
  /// When this VM reads the store itself unless it hears from another one.
  core::TimePoint TakeoverAt;
  /// This VM's part of TakeoverSpread.
  const std::chrono::milliseconds TakeoverOffset;
  /// Whether this VM has taken over and reads until it hears from another one.
  bool ReadsForAll = false;
  /// Messages of other VMs with newer answers of the store than this VM knew,
  /// and their number at the last logged takeover.
  std::uint64_t PeerConfirmations = 1;
  std::uint64_t LoggedConfirmations = 0;
  core::TimePoint NextCleanup = core::TimePoint::min();
  /// When the reader last wrote a snapshot, or began to read the store.
  std::optional<core::TimePoint> LastSnapshot;
  /// Whether entries have changed since.
  bool SnapshotOutdated = true;
  /// Whether this VM was registered when that was last checked.
  bool WasRegistered = false;
  /// Earliest time of the next check of the registration.
  core::TimePoint NextCheck = core::TimePoint::min();
};

} // namespace jujubecart::store

#endif
