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
  /// A watch without a change ends after this. A store that came back after
  /// an outage may never answer watches from before it, and changes must be
  /// known a few seconds later.
  std::chrono::milliseconds WatchTime{4000};
  /// Wait for an answer in addition to WatchTime.
  std::chrono::milliseconds AnswerTimeout{1000};
  /// Pause after a change, so that changes in quick succession are read by
  /// one call.
  std::chrono::milliseconds BatchDelay{300};
  std::chrono::milliseconds BackoffLow{50};
  std::chrono::milliseconds BackoffHigh{800};
  /// Entries of live servers that were lost in an outage of the store are
  /// back this long after its return.
  std::chrono::milliseconds ReturnTime{2300};
  /// An outage shorter than this drops no entries.
  std::chrono::milliseconds OutageTime{1000};
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

  void stop() noexcept { Stopped = true; }

private:
  [[nodiscard]] core::Awaitable<bool> load();
  [[nodiscard]] core::Awaitable<bool> follow();
  [[nodiscard]] core::Awaitable<void> backOff();
  [[nodiscard]] core::Awaitable<bool> registerOnce();
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
  bool Loaded = false;
  unsigned Failures = 0;
  core::TimePoint LastReached;
  std::optional<core::LeaseId> Lease;
  core::TimePoint RenewAt;
  /// When the registration is checked next.
  core::TimePoint CheckAt = core::TimePoint::min();
};

} // namespace jujubecart::store

#endif
