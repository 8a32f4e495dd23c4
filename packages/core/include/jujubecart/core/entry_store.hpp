#ifndef JUJUBECART_CORE_ENTRY_STORE_HPP
#define JUJUBECART_CORE_ENTRY_STORE_HPP

#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/config.hpp>
#include <jujubecart/core/error.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujubecart::core {

/// @brief State of one key of the store.
struct StoredEntry {
  std::string Key;
  /// Absent if the key was deleted.
  std::optional<std::string> Value;
  /// Revision of the last change.
  Revision Changed = 0;

  friend auto operator<=>(const StoredEntry &, const StoredEntry &) = default;
};

/// @brief Entries with the revision up to which all changes are included.
struct EntryList {
  std::vector<StoredEntry> Entries;
  Revision AsOf = 0;
  /// When the store's answer began to arrive; the epoch if that is not known.
  TimePoint AnsweredAt{};

  friend auto operator<=>(const EntryList &, const EntryList &) = default;
};

/// @brief Changes that were derived from a list of all entries. They contain
/// each entry that was changed between the two revisions and still existed at
/// the second one, but only deletions of entries that the VM knew which read
/// the list.
struct ListedRange {
  Revision After = 0;
  /// 0 if no changes were derived from a list.
  Revision UpTo = 0;

  friend auto operator<=>(const ListedRange &, const ListedRange &) = default;
};

/// @brief All changes after one revision, up to `List.AsOf`.
struct EntryChanges {
  Revision After = 0;
  EntryList List;
  /// In which part of the changes deletions may be missing.
  ListedRange Listed;

  friend auto operator<=>(const EntryChanges &, const EntryChanges &) = default;
};

/// @brief What the store said to one VM, as another VM hears of it.
struct ReportedChanges {
  EntryChanges Changes;
  /// When a VM got it from the store, on the clock of the receiver.
  TimePoint ReadAt;
  /// With the changes, all are known that the store accepted before this
  /// instant on Clock::uptime() of the receiver; nothing if that is not known.
  std::optional<std::chrono::milliseconds> CompleteUntil = std::nullopt;
  /// Whether the receiver is asked to report it to all others.
  bool PassOn = false;
};

/// @brief A key at one revision.
struct EntryVersion {
  std::string Key;
  /// Revision of its last change.
  Revision Changed = 0;

  friend auto operator<=>(const EntryVersion &, const EntryVersion &) = default;
};

/// @brief Consistency of a read.
enum class ReadMode : std::uint8_t {
  /// Includes every write that was acknowledged before the read.
  Latest,
  /// May be seconds old; costs the store far less than Latest.
  Stale
};

/// @brief Key-value store with a revision common to all keys and prefix
/// watches.
class EntryStore {
public:
  virtual ~EntryStore() = default;

  // A read whose answer is large for the link may end after the stated time, as
  // long as its bytes arrive steadily.

  /// @brief Reads all entries, page by page.
  /// @return The entries; AsOf is the lowest revision of the pages, so changes
  /// after it must be read too, although some are already included.
  [[nodiscard]] virtual Awaitable<Result<EntryList>>
  list(ReadMode Mode, TimePoint Deadline) = 0;

  /// @brief Reads one key.
  /// @return The entry, or NotFound, Unavailable or DeadlineExceeded.
  [[nodiscard]] virtual Awaitable<Result<StoredEntry>>
  get(std::string Key, ReadMode Mode, TimePoint Deadline) = 0;

  /// @brief Waits for changes after a revision.
  /// @param Until Time at which the wait ends without a change.
  /// @return The changes in revision order, or HistoryLost if the store no
  /// longer has all of them or they are too large, Unavailable or
  /// DeadlineExceeded.
  [[nodiscard]] virtual Awaitable<Result<EntryList>>
  waitForChanges(Revision After, TimePoint Until) = 0;

  /// @brief Writes a key.
  /// @return Success, OutcomeUnknown or Unavailable.
  [[nodiscard]] virtual Awaitable<Result<void>>
  put(std::string Key, std::string Value, TimePoint Deadline) = 0;

  /// @brief Deletes keys, all or none of them.
  /// @param Keys At most MaxWrites keys; none is deleted if one of them has
  /// changed since the given revision.
  /// @return Success, Conflict, OutcomeUnknown or Unavailable.
  [[nodiscard]] virtual Awaitable<Result<void>>
  remove(std::vector<EntryVersion> Keys, TimePoint Deadline) = 0;

  /// Limit of the writes in one call.
  static constexpr std::size_t MaxWrites = 32;
};

} // namespace jujubecart::core

#endif
