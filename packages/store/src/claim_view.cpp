#include "claim_view.hpp"

#include <jujubecart/core/log.hpp>

#include <algorithm>

namespace jujubecart::store::internal {

using core::Error;

namespace {

bool extends(const std::vector<ClaimRecord> &Longer,
             const std::vector<ClaimRecord> &Shorter) {
  return Longer.size() > Shorter.size() &&
         std::equal(Shorter.begin(), Shorter.end(), Longer.begin());
}

} // namespace

void ClaimView::reset() {
  Table.clear();
  Segments.clear();
  Head = ClaimHead{};
  Version = 0;
  Intact = true;
}

void ClaimView::applyFrom(const std::vector<ClaimRecord> &Records,
                          std::size_t First) {
  for (std::size_t Index = First; Index < Records.size(); ++Index)
    Table.apply(Records[Index]);
}

void ClaimView::noteSegment(std::uint64_t Sequence,
                            const std::vector<ClaimRecord> &Records) {
  SegmentExpiry Item{.Sequence = Sequence, .LatestS = 0};
  for (const ClaimRecord &Record : Records)
    Item.LatestS = std::max(Item.LatestS, Record.ExpiresS);
  Segments.push_back(Item);
}

core::Awaitable<core::Result<std::vector<ClaimRecord>>>
ClaimView::loadSegment(std::uint64_t Sequence, core::TimePoint Deadline) {
  const std::string Key = Prefix + std::to_string(Sequence);
  const auto Stored = co_await Store.get(Key, Deadline);
  if (Stored.has_error()) {
    if (Stored.error() == Error::NotFound)
      core::LogLine(core::LogLevel::Error, "claims.segment-missing")
          .field("key", Key);
    co_return Stored.error();
  }
  auto Records = readSegment(Stored->Value);
  if (Records.has_error())
    core::LogLine(core::LogLevel::Error, "claims.segment-malformed")
        .field("key", Key);
  co_return Records;
}

core::Awaitable<core::Result<void>>
ClaimView::advance(ClaimHead Target, core::TimePoint Deadline) {
  // Records of the current head that are in the table already.
  std::size_t Applied = Head.Records.size();
  std::uint64_t Sequence = Head.Sequence;
  for (; Sequence < Target.Sequence; ++Sequence) {
    const auto Records = co_await loadSegment(Sequence, Deadline);
    if (Records.has_error())
      co_return Records.error();
    applyFrom(*Records, Applied);
    noteSegment(Sequence, *Records);
    Applied = 0;
  }
  applyFrom(Target.Records, Applied);
  Head = std::move(Target);
  co_return core::Result<void>();
}

core::Awaitable<core::Result<void>> ClaimView::refresh(core::TimePoint Deadline,
                                                       std::uint64_t NowS) {
  const auto Stored = co_await Store.get(Prefix + "head", Deadline);
  if (Stored.has_error()) {
    if (Stored.error() != Error::NotFound)
      co_return Stored.error();
    reset();
    co_return core::Result<void>();
  }
  if (Intact && Stored->Version == Version)
    co_return core::Result<void>();
  auto Target = readClaimHead(Stored->Value);
  if (Target.has_error()) {
    core::LogLine(core::LogLevel::Error, "claims.head-malformed")
        .field("key", Prefix + "head");
    co_return Target.error();
  }
  // A view older than every retained segment starts afresh, and so does one
  // ahead of the store, which then has lost state.
  const std::uint64_t First = Target->First;
  if (!Intact || Version == 0 || First > Head.Sequence ||
      Stored->Version < Version) {
    reset();
    Head.Sequence = First;
  }
  Intact = false;
  const auto Advanced = co_await advance(std::move(*Target), Deadline);
  if (Advanced.has_error())
    co_return Advanced.error();
  Version = Stored->Version;
  Intact = true;
  (void)Table.full(NowS);
  co_return core::Result<void>();
}

// Two writers that move the same head write the same segment. Writers with
// different segment sizes may move a head that grew after an earlier move lost
// its compare-and-swap; the longer one wins, since the other is its beginning.
core::Awaitable<core::Result<void>>
ClaimView::saveSegment(core::TimePoint Deadline) {
  const std::string Key = Prefix + std::to_string(Head.Sequence);
  const auto Created =
      co_await Store.put(Key, writeSegment(Head.Records), 0, Deadline);
  if (Created.has_value())
    co_return core::Result<void>();
  if (Created.error() != Error::Conflict)
    co_return Created.error();
  const auto Stored = co_await Store.get(Key, Deadline);
  if (Stored.has_error())
    co_return Stored.error();
  const auto Present = readSegment(Stored->Value);
  if (Present.has_error())
    co_return Present.error();
  if (!extends(Head.Records, *Present))
    co_return core::Result<void>();
  const auto Replaced = co_await Store.put(Key, writeSegment(Head.Records),
                                           Stored->Version, Deadline);
  if (Replaced.has_error())
    co_return Replaced.error();
  co_return core::Result<void>();
}

core::Awaitable<core::Result<void>>
ClaimView::append(std::vector<ClaimRecord> Batch, std::uint64_t Nonce,
                  core::TimePoint Deadline, std::uint64_t NowS) {
  ClaimHead Next = Head;
  const bool Moves = encodedSize(Head.Records) >= Settings.SegmentBytes;
  if (Moves) {
    const auto Saved = co_await saveSegment(Deadline);
    if (Saved.has_error())
      co_return Saved.error();
    noteSegment(Head.Sequence, Head.Records);
    while (!Segments.empty() && isExpired(Segments.front().LatestS, NowS))
      Segments.pop_front();
    ++Next.Sequence;
    Next.Records.clear();
    Next.First = Segments.empty() ? Next.Sequence : Segments.front().Sequence;
  }
  Next.Writer = Settings.Writer;
  Next.Nonce = Nonce;
  Next.Records.insert(Next.Records.end(), Batch.begin(), Batch.end());
  const auto Written = co_await Store.put(Prefix + "head", writeClaimHead(Next),
                                          Version, Deadline);
  if (Written.has_error()) {
    if (Moves && !Segments.empty() && Segments.back().Sequence == Head.Sequence)
      Segments.pop_back();
    co_return Written.error();
  }
  applyFrom(Batch, 0);
  Head = std::move(Next);
  Version = *Written;
  co_return core::Result<void>();
}

} // namespace jujubecart::store::internal
