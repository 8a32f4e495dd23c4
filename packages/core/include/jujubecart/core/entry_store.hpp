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

  friend auto operator<=>(const EntryList &, const EntryList &) = default;
};

/// @brief All changes after one revision, up to `List.AsOf`.
struct EntryChanges {
  Revision After = 0;
  EntryList List;

  friend auto operator<=>(const EntryChanges &, const EntryChanges &) = default;
};

/// @brief Identifies a lease granted by the store.
using LeaseId = std::uint64_t;

/// @brief Consistency of a read.
enum class ReadMode : std::uint8_t {
  /// Includes every write that was acknowledged before the read.
  Latest,
  /// May be seconds old; costs the store far less than Latest.
  Stale
};

/// @brief Key-value store with a revision common to all keys, prefix watches
/// and leases.
class EntryStore {
public:
  virtual ~EntryStore() = default;

  /// @brief Reads all entries, page by page.
  /// @return The entries; AsOf is the lowest revision of the pages, so changes
  /// after it must be read too, although some are already included.
  [[nodiscard]] virtual Awaitable<Result<EntryList>>
  list(ReadMode Mode, TimePoint Deadline) = 0;

  /// @brief Waits for changes after a revision.
  /// @param Until Time at which the wait ends without a change.
  /// @return The changes in revision order, or HistoryLost if the store no
  /// longer has all of them, Unavailable or DeadlineExceeded.
  [[nodiscard]] virtual Awaitable<Result<EntryList>>
  waitForChanges(Revision After, TimePoint Until) = 0;

  /// @brief Creates a lease.
  /// @param Ttl Time after which the lease expires unless it is renewed.
  [[nodiscard]] virtual Awaitable<Result<LeaseId>>
  grantLease(std::chrono::milliseconds Ttl, TimePoint Deadline) = 0;

  /// @brief Extends a lease by its time to live.
  /// @return NotFound if the lease has expired.
  [[nodiscard]] virtual Awaitable<Result<void>>
  renewLease(LeaseId Lease, TimePoint Deadline) = 0;

  /// @brief Writes a key that the store deletes when the lease expires.
  /// @return Success, NotFound if the lease has expired, OutcomeUnknown or
  /// Unavailable.
  [[nodiscard]] virtual Awaitable<Result<void>> put(std::string Key,
                                                    std::string Value,
                                                    LeaseId Lease,
                                                    TimePoint Deadline) = 0;
};

} // namespace jujubecart::core

#endif
