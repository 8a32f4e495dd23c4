#ifndef JUJUBECART_STORE_SRC_CLAIM_VIEW_HPP
#define JUJUBECART_STORE_SRC_CLAIM_VIEW_HPP

#include "claim_segment.hpp"
#include "claim_table.hpp"

#include <jujubecart/store/claim_log.hpp>

#include <deque>

namespace jujubecart::store::internal {

/// @brief This VM's view of the claim log of one service in the store.
class ClaimView {
public:
  ClaimView(const std::string &Service, core::KeyValueStore &Store,
            const ClaimLogSettings &Settings)
      : Prefix("claims/" + Service + "/"), Store(Store), Settings(Settings),
        Table(Settings.MaxEntries) {}

  /// @brief Brings the view up to date; only new records are read.
  /// @return Success or the error of the store.
  [[nodiscard]] core::Awaitable<core::Result<void>>
  refresh(core::TimePoint Deadline, std::uint64_t NowS);

  /// @brief Appends a batch by compare-and-swap on the version of this view.
  /// @return Success or Conflict, Unavailable, OutcomeUnknown; only success
  /// changes the view.
  [[nodiscard]] core::Awaitable<core::Result<void>>
  append(std::vector<ClaimRecord> Batch, std::uint64_t Nonce,
         core::TimePoint Deadline, std::uint64_t NowS);

  [[nodiscard]] ClaimTable &table() noexcept { return Table; }
  [[nodiscard]] const ClaimTable &table() const noexcept { return Table; }
  [[nodiscard]] std::uint64_t version() const noexcept { return Version; }

private:
  struct SegmentExpiry {
    std::uint64_t Sequence = 0;
    std::uint64_t LatestS = 0;
  };

  const std::string Prefix;
  core::KeyValueStore &Store;
  const ClaimLogSettings &Settings;
  ClaimTable Table;
  /// Version of the head that the table reflects; 0 if there is no head.
  std::uint64_t Version = 0;
  ClaimHead Head;
  std::deque<SegmentExpiry> Segments;
  /// Cleared while records are being read, so that a failure half way leads
  /// to a complete reload.
  bool Intact = true;

  [[nodiscard]] core::Awaitable<core::Result<void>>
  advance(ClaimHead Target, core::TimePoint Deadline);
  [[nodiscard]] core::Awaitable<core::Result<std::vector<ClaimRecord>>>
  loadSegment(std::uint64_t Sequence, core::TimePoint Deadline);
  [[nodiscard]] core::Awaitable<core::Result<void>>
  saveSegment(core::TimePoint Deadline);
  void applyFrom(const std::vector<ClaimRecord> &Records, std::size_t First);
  void noteSegment(std::uint64_t Sequence,
                   const std::vector<ClaimRecord> &Records);
  void reset();
};

} // namespace jujubecart::store::internal

#endif
