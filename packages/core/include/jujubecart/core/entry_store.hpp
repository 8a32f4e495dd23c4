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

/// @brief One key of a store at one revision.
struct StoredEntry {
  std::string Key;
  /// Absent if the key was deleted.
  std::optional<std::string> Value;
  Revision Changed = 0;

  friend auto operator<=>(const StoredEntry &, const StoredEntry &) = default;
};

/// @brief Entries, and the revision up to which they are complete.
struct EntryList {
  std::vector<StoredEntry> Entries;
  Revision AsOf = 0;

  friend auto operator<=>(const EntryList &, const EntryList &) = default;
};

/// @brief All changes after one revision, up to another.
struct EntryChanges {
  Revision After = 0;
  EntryList List;

  friend auto operator<=>(const EntryChanges &, const EntryChanges &) = default;
};

/// @brief Identifies a lease of a store.
using LeaseId = std::uint64_t;

/// @brief How recent the answer of a read must be.
enum class ReadMode : std::uint8_t {
  /// With every write that was acknowledged before the read.
  Latest,
  /// Possibly seconds old; costs the store far less.
  Stale
};

/// @brief A store with one revision for all keys, prefix watches and leases.
class EntryStore {
public:
  virtual ~EntryStore() = default;

  /// @brief Reads all entries.
  /// @return The entries; AsOf is the revision of the oldest page, so that
  /// changes after it must be read too.
  [[nodiscard]] virtual Awaitable<Result<EntryList>>
  list(ReadMode Mode, TimePoint Deadline) = 0;

  /// @brief Waits for changes after a revision.
  /// @param Until When to return without a change.
  /// @return The changes in order, or HistoryLost if the store no longer has
  /// all of them, Unavailable, DeadlineExceeded.
  [[nodiscard]] virtual Awaitable<Result<EntryList>>
  changes(Revision After, TimePoint Until) = 0;

  /// @brief Creates a lease.
  /// @param Ttl Time until it ends unless it is renewed.
  [[nodiscard]] virtual Awaitable<Result<LeaseId>>
  grantLease(std::chrono::milliseconds Ttl, TimePoint Deadline) = 0;

  /// @brief Renews a lease.
  /// @return NotFound if it has ended.
  [[nodiscard]] virtual Awaitable<Result<void>>
  renewLease(LeaseId Lease, TimePoint Deadline) = 0;

  /// @brief Writes a key that is deleted when the lease ends.
  /// @return NotFound if the lease has ended, OutcomeUnknown or Unavailable.
  [[nodiscard]] virtual Awaitable<Result<void>> put(std::string Key,
                                                    std::string Value,
                                                    LeaseId Lease,
                                                    TimePoint Deadline) = 0;
};

} // namespace jujubecart::core

#endif
