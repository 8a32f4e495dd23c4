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

/// @brief Timing of a DirectoryFeed.
struct DirectoryFeedOptions {
  /// A watch without a change ends after this, so that the other VMs hear
  /// that nothing changed before they ask the store themselves.
  std::chrono::milliseconds WatchTime{700};
  /// Wait for the answer to a list or a write.
  std::chrono::milliseconds AnswerTimeout{1000};
  /// Time in which VMs that start together register.
  std::chrono::milliseconds JoinDelay{400};
  /// Pause after a change, so that changes in quick succession are read by
  /// one call.
  std::chrono::milliseconds BatchDelay{100};
  std::chrono::milliseconds BackoffLow{50};
  std::chrono::milliseconds BackoffHigh{800};
  /// Silence after which the VM of the second rank asks the store, and how
  /// much longer each further rank waits. Changes must be known everywhere
  /// within two seconds.
  std::chrono::milliseconds SilenceLimit{1100};
  std::chrono::milliseconds SilenceStep{130};
  std::size_t MostSilenceSteps = 3;
  /// Entries of live servers that were lost in an outage of the store are
  /// back this long after its return.
  std::chrono::milliseconds ReturnTime{2300};
  /// An outage shorter than this drops no entries.
  std::chrono::milliseconds OutageTime{1800};
  /// Lease of this VM's registration, and when it is renewed.
  std::chrono::milliseconds LeaseTtl{600000};
  std::chrono::milliseconds LeaseRenewal{200000};
};

/// @brief Follows a store and keeps the configuration and member list current.
class DirectoryFeed {
public:
  using MemberListener = std::function<void(const std::vector<core::Member> &)>;

  /// @brief What the feed works with; everything must outlive it.
  struct Environment {
    core::EntryStore &Store;
    const core::DirectoryCodec &Codec;
    core::ConfigTable &Table;
    const core::Clock &Time;
    core::Sleeper &Delays;
    std::function<std::uint64_t()> Random;
    /// Position of this VM among those that could read the store for all.
    std::function<std::size_t()> ReaderRank;
    /// Passes an answer of the store on to the other VMs.
    std::function<void(const core::EntryChanges &)> Share;
  };

  /// @brief Creates a feed that does nothing yet.
  /// @param Self Registration of this VM.
  DirectoryFeed(const Environment &Surroundings, core::Member Self,
                Directory::Zones ZoneRegions, DirectoryFeedOptions Options);

  /// @brief Called after each change of the registered entry VMs.
  void onMembers(MemberListener Notify) { Notified = std::move(Notify); }

  /// @brief Reads and watches until stopped.
  [[nodiscard]] core::Awaitable<void> run();

  /// @brief Registers this VM and keeps it registered.
  [[nodiscard]] core::Awaitable<void> keepRegistered();

  /// @brief Takes what another VM has just read from the store; called on
  /// the strand of run().
  void receive(const core::EntryChanges &Changes);

  void stop() noexcept { Stopped = true; }

private:
  [[nodiscard]] core::Awaitable<bool> load();
  [[nodiscard]] core::Awaitable<bool> catchUp();
  [[nodiscard]] core::Awaitable<bool> follow();
  [[nodiscard]] core::Awaitable<void> backOff();
  [[nodiscard]] core::Awaitable<bool> registerOnce();
  [[nodiscard]] bool mustRead() const;
  void confirm();
  void reached();
  void failed(std::string_view Call, const std::error_code &Why);
  void publish();

  const Environment Env;
  const core::Member Self;
  const DirectoryFeedOptions Options;
  Directory Known;
  MemberListener Notified;
  std::vector<core::Member> LastMembers;
  std::atomic<bool> Stopped{false};
  core::ReadMode ListMode = core::ReadMode::Stale;
  /// Whether the entries were read once, so that it is known whether this VM
  /// is registered.
  bool Listed = false;
  /// Whether the entries are complete and current.
  bool Loaded = false;
  unsigned Failures = 0;
  core::TimePoint LastReached;
  /// When this VM last heard, from the store or another VM, what the store
  /// holds.
  core::TimePoint LastConfirmed;
  /// Another VM told of changes that follow ones unknown here.
  bool Gap = false;
  std::optional<core::LeaseId> Lease;
  core::TimePoint RenewAt;
  /// When the registration is checked next.
  core::TimePoint CheckAt = core::TimePoint::min();
};

} // namespace jujubecart::store

#endif
