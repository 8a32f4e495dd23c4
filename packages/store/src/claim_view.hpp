#ifndef JUJUBECART_STORE_SRC_CLAIM_VIEW_HPP
#define JUJUBECART_STORE_SRC_CLAIM_VIEW_HPP

#include "claim_segment.hpp"
#include "claim_table.hpp"

#include <jujubecart/store/claim_log.hpp>

#include <deque>

namespace jujubecart::store::internal {

/// @brief This VM's replica of the claim log of one service in the store.
///
/// The log consists of a head, which takes new batches, and of numbered
/// segments, to which the records of a full head are moved.
class ClaimView {
public:
  ClaimView(const std::string &Service, core::KeyValueStore &Store,
            const ClaimLogSettings &Settings)
      : Prefix("claims/" + Service + "/"), Store(Store), Settings(Settings),
        Table(Settings.MaxEntries) {}

  /// @brief Brings the view up to date. Reads only records that are new, unless
  /// the view is too old or the store has lost state.
  /// @param NowS Current time in Unix seconds.
  /// @return Success, Malformed or the store's error.
  [[nodiscard]] core::Awaitable<core::Result<void>>
  refresh(core::TimePoint Deadline, std::uint64_t NowS);

  /// @brief Appends a batch by compare-and-swap on the version of this view.
  /// @param Nonce Random number that is recorded with the batch.
  /// @param NowS Current time in Unix seconds.
  /// @return Success, or an error of the store such as Conflict, Unavailable or
  /// OutcomeUnknown; only success changes the table and the version.
  [[nodiscard]] core::Awaitable<core::Result<void>>
  append(std::vector<ClaimRecord> Batch, std::uint64_t Nonce,
         core::TimePoint Deadline, std::uint64_t NowS);

  [[nodiscard]] ClaimTable &table() noexcept { return Table; }
  [[nodiscard]] const ClaimTable &table() const noexcept { return Table; }
  /// @brief Version of the head in the store that this view reflects.
  [[nodiscard]] std::uint64_t version() const noexcept { return Version; }

private:
  /// @brief Latest expiry, in Unix seconds, of the claims of a segment.
  struct SegmentExpiry {
    std::uint64_t Sequence = 0;
    std::uint64_t LatestExpiryS = 0;
  };

  const std::string Prefix;
  core::KeyValueStore &Store;
  const ClaimLogSettings &Settings;
  ClaimTable Table;
  /// Version of the head that the table reflects; 0 if there is no head.
  std::uint64_t Version = 0;
  ClaimHead Head;
  /// Segments that may hold unexpired claims, oldest first.
  std::deque<SegmentExpiry> Segments;
  /// False while a refresh is applying records. A refresh that fails midway
  /// leaves it false, so that the next one reloads everything.
  bool Consistent = true;

  [[nodiscard]] core::Awaitable<core::Result<void>>
  advance(ClaimHead Target, core::TimePoint Deadline);
  [[nodiscard]] core::Awaitable<core::Result<std::vector<ClaimRecord>>>
  loadSegment(std::uint64_t Sequence, core::TimePoint Deadline);
  [[nodiscard]] core::Awaitable<core::Result<void>>
  saveSegment(core::TimePoint Deadline);
  void applyFrom(const std::vector<ClaimRecord> &Records, std::size_t First);
  void addSegmentExpiry(std::uint64_t Sequence,
                        const std::vector<ClaimRecord> &Records);
  void reset();
};

} // namespace jujubecart::store::internal

#endif
