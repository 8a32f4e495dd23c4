#ifndef JUJUBECART_STORE_DIRECTORY_FEED_HPP
#define JUJUBECART_STORE_DIRECTORY_FEED_HPP

#include <jujubecart/core/config_table.hpp>
#include <jujubecart/core/entry_store.hpp>
#include <jujubecart/core/sleeper.hpp>
#include <jujubecart/store/directory.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <optional>
#include <vector>

namespace jujubecart::store {

/// @brief Timing of a @ref DirectoryFeed.
struct DirectoryFeedOptions {
  /// A watch without a change ends after this time, so that the other VMs are
  /// told that nothing changed before they read the store themselves.
  std::chrono::milliseconds WatchTimeout{700};
  /// The same for a VM that is alone, so that nobody has to be told. Bounds the
  /// time for which a watch on a silent connection goes unnoticed.
  std::chrono::milliseconds LoneWatchTimeout{2000};
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
  /// A VM of reader rank 1 reads the store itself if neither the store nor
  /// another VM has confirmed its entries for this time. Every VM must know a
  /// change within two seconds.
  std::chrono::milliseconds TakeoverDelay{1100};
  /// Additional time for each further rank.
  std::chrono::milliseconds TakeoverDelayPerRank{130};
  /// Upper bound of the number of such additions.
  std::size_t MaxTakeoverDelaySteps = 3;
  /// VMs that take over within these delays and read for all. Enough for one of
  /// them to reach a store that rejects a third of the VMs.
  std::size_t PromptReaders = 8;
  /// Additional time for each rank from PromptReaders on. If the store is down
  /// for all, few VMs of a large fleet call it in vain.
  std::chrono::milliseconds TakeoverDelayPerFurtherRank{100};
  /// Time after the end of a store outage within which live servers have
  /// written their lost entries again; deletions are deferred until then.
  std::chrono::milliseconds ReregistrationTime{2300};
  /// The store loses no entries in an outage shorter than this.
  std::chrono::milliseconds MinLossyOutage{1800};
  /// How often the reader writes a snapshot of the entries after changes, and
  /// how often at least, so that the changes since the snapshot are still in
  /// the store's history (20 s).
  std::chrono::milliseconds SnapshotInterval{5000};
  std::chrono::milliseconds MaxSnapshotInterval{10000};
  /// How often the reader removes the registrations of lost VMs.
  std::chrono::milliseconds CleanupInterval{5000};
};

/// @brief Keeps this VM's configuration and member list up to date with a
/// store, and keeps this VM registered there.
///
/// Normally one VM watches the store and passes each answer on to the others.
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
    /// Sends an answer of the store to the other VMs.
    std::function<void(const core::EntryChanges &)> Broadcast;
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

  /// @brief Applies changes that another VM has just read from the store; must
  /// be called on the strand of run().
  void applyFromPeer(const core::EntryChanges &Changes);

  /// @brief Ends run() and keepRegistered() after their current operation; may
  /// be called from any thread.
  void stop() noexcept { Stopped = true; }

private:
  [[nodiscard]] core::Awaitable<bool> load();
  [[nodiscard]] core::Awaitable<core::Result<core::EntryList>> readAll();
  [[nodiscard]] core::Awaitable<void> writeSnapshot();
  [[nodiscard]] core::Awaitable<bool> catchUp();
  [[nodiscard]] core::Awaitable<bool> watchStore();
  [[nodiscard]] core::Awaitable<bool> relist(bool ForAll);
  [[nodiscard]] core::Awaitable<void> backOff();
  [[nodiscard]] core::Awaitable<bool> ensureRegistered();
  [[nodiscard]] core::Awaitable<void> removeLostVms();
  [[nodiscard]] bool mustReadStore() const;
  [[nodiscard]] bool readsForAll() const;
  void logTakeover();
  void recordConfirmation();
  void recordSuccess();
  void recordFailure(std::string_view Call, const std::error_code &Error);
  void publish();

  const Environment Env;
  const core::Member Self;
  const DirectoryFeedOptions Options;
  Directory Entries;
  MemberListener OnMembers;
  std::vector<core::Member> LastMembers;
  std::atomic<bool> Stopped{false};
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
  /// Time at which the store or another VM last confirmed or updated the
  /// entries.
  core::TimePoint LastConfirmed;
  /// Whether another VM reported changes that follow changes unknown here; the
  /// missing ones must be read from the store.
  bool MissedChanges = false;
  /// Whether another VM has passed changes on since the last takeover.
  bool HeardFromPeer = true;
  core::TimePoint NextCleanup = core::TimePoint::min();
  /// When the reader last wrote a snapshot, or began to read the store.
  std::optional<core::TimePoint> LastSnapshot;
  /// Whether entries have changed since.
  bool SnapshotOutdated = true;
  /// Earliest time of the next check of the registration.
  core::TimePoint NextCheck = core::TimePoint::min();
};

} // namespace jujubecart::store

#endif
