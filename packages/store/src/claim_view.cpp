#include "claim_view.hpp"

#include <jujubecart/core/log.hpp>

#include <algorithm>

namespace jujubecart::store::internal {

using core::Error;

namespace {

bool isExtensionOf(const std::vector<ClaimRecord> &Longer,
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
  Consistent = true;
}

void ClaimView::applyFrom(const std::vector<ClaimRecord> &Records,
                          std::size_t First) {
  for (std::size_t Index = First; Index < Records.size(); ++Index)
    Table.apply(Records[Index]);
}

void ClaimView::addSegmentExpiry(std::uint64_t Sequence,
                                 const std::vector<ClaimRecord> &Records) {
  SegmentExpiry Item{.Sequence = Sequence, .LatestExpiryS = 0};
  for (const ClaimRecord &Record : Records)
    Item.LatestExpiryS = std::max(Item.LatestExpiryS, Record.ExpiresS);
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
  // Number of records of the current head that the table contains already.
  std::size_t Applied = Head.Records.size();
  std::uint64_t Sequence = Head.Sequence;
  for (; Sequence < Target.Sequence; ++Sequence) {
    const auto Records = co_await loadSegment(Sequence, Deadline);
    if (Records.has_error())
      co_return Records.error();
    applyFrom(*Records, Applied);
    addSegmentExpiry(Sequence, *Records);
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
  if (Consistent && Stored->Version == Version)
    co_return core::Result<void>();
  auto Target = readClaimHead(Stored->Value);
  if (Target.has_error()) {
    core::LogLine(core::LogLevel::Error, "claims.head-malformed")
        .field("key", Prefix + "head");
    co_return Target.error();
  }
  // Reload everything if the view is older than every retained segment, or
  // newer than the store, which then has lost state.
  const std::uint64_t FirstSegment = Target->FirstSegment;
  if (!Consistent || Version == 0 || FirstSegment > Head.Sequence ||
      Stored->Version < Version) {
    reset();
    Head.Sequence = FirstSegment;
  }
  Consistent = false;
  const auto Advanced = co_await advance(std::move(*Target), Deadline);
  if (Advanced.has_error())
    co_return Advanced.error();
  Version = Stored->Version;
  Consistent = true;
  (void)Table.sweepAndCheckFull(NowS);
  co_return core::Result<void>();
}

// Two VMs that move the same head write the same segment. If the VMs have
// different segment sizes, one may write the segment and then lose the
// compare-and-swap on the head, so that the head grows before another VM moves
// it. The segment is then a prefix of the head's records and is replaced by
// the longer version.
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
  if (!isExtensionOf(Head.Records, *Present))
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
  const bool MovesHead = encodedSize(Head.Records) >= Settings.SegmentBytes;
  if (MovesHead) {
    const auto Saved = co_await saveSegment(Deadline);
    if (Saved.has_error())
      co_return Saved.error();
    addSegmentExpiry(Head.Sequence, Head.Records);
    while (!Segments.empty() && isExpired(Segments.front().LatestExpiryS, NowS))
      Segments.pop_front();
    ++Next.Sequence;
    Next.Records.clear();
    Next.FirstSegment =
        Segments.empty() ? Next.Sequence : Segments.front().Sequence;
  }
  Next.Writer = Settings.Writer;
  Next.Nonce = Nonce;
  Next.Records.insert(Next.Records.end(), Batch.begin(), Batch.end());
  const auto Written = co_await Store.put(Prefix + "head", writeClaimHead(Next),
                                          Version, Deadline);
  if (Written.has_error()) {
    if (MovesHead && !Segments.empty() &&
        Segments.back().Sequence == Head.Sequence)
      Segments.pop_back();
    co_return Written.error();
  }
  applyFrom(Batch, 0);
  Head = std::move(Next);
  Version = *Written;
  co_return core::Result<void>();
}

} // namespace jujubecart::store::internal
