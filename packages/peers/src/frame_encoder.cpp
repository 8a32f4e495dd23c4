#include "frame_encoder.hpp"

namespace jujubecart::peers::internal {

namespace {

using flatbuffers::Offset;

template <wire::Body Type, typename Table>
BodyOffset makeBody(Offset<Table> TableOffset) {
  return {Type, TableOffset.Union()};
}

// An empty string is left out: the frame is shorter and byte for byte the same
// as that of versions without the field.
const char *nullIfEmpty(const std::string &Text) {
  return Text.empty() ? nullptr : Text.c_str();
}

BodyOffset encode(Builder & /*Out*/, const std::monostate & /*Item*/) {
  return {wire::Body::NONE, 0};
}

BodyOffset encode(Builder &Out, const Hello &Item) {
  return makeBody<wire::Body::Hello>(wire::CreateHelloDirect(
      Out, Item.Sender.c_str(), Item.Incarnation, Item.Address.c_str(),
      Item.Zone.c_str(), Item.Region.c_str(), Item.Revision, Item.Leaving,
      nullIfEmpty(Item.Operators), Item.ProcessorMilli, Item.SentAtMs));
}

BodyOffset encode(Builder &Out, const Acquire &Item) {
  std::optional<wire::OrderKey> Key;
  if (Item.Key)
    Key.emplace(Item.Key->High, Item.Key->Low);
  std::vector<wire::ServerLimit> Limits;
  Limits.reserve(Item.Limits.size());
  for (const Acquire::ServerLimit &Limit : Item.Limits)
    Limits.emplace_back(Limit.Server, Limit.Limit.MilliPerS, Limit.AgeMs);
  return makeBody<wire::Body::Acquire>(wire::CreateAcquireDirect(
      Out, Item.Call, Item.Group, Item.Request.Value, Item.CallerHash,
      Item.Revision, Item.Priority, Key ? &*Key : nullptr,
      Item.Excluded.empty() ? nullptr : &Item.Excluded, Item.RemainingMs,
      Item.ObjectiveRemainingMs.value_or(UINT32_MAX), Item.WorkClass,
      Limits.empty() ? nullptr : &Limits, Item.Workspace,
      Item.CountsAgainstQuota));
}

BodyOffset encode(Builder &Out, const Queued &Item) {
  return makeBody<wire::Body::Queued>(wire::CreateQueued(Out, Item.Waiting));
}

BodyOffset encode(Builder &Out, const Grant &Item) {
  Offset<wire::Server> Full;
  if (Item.ServerDetails)
    Full = wire::CreateServerDirect(
        Out, Item.ServerDetails->Id.c_str(),
        Item.ServerDetails->Address.c_str(), Item.ServerDetails->Zone.c_str(),
        Item.ServerDetails->Slots, Item.ServerDetails->Connections,
        Item.ServerDetails->Incarnation);
  return makeBody<wire::Body::Grant>(
      wire::CreateGrant(Out, Item.Call, Item.Server, Full,
                        Item.SlotPricePercent, Item.HedgeAfterMs));
}

BodyOffset encode(Builder &Out, const Refuse &Item) {
  return makeBody<wire::Body::Refuse>(
      wire::CreateRefuse(Out, Item.Call, static_cast<std::uint8_t>(Item.Reason),
                         Item.RetryAfterMs, Item.SlotPricePercent));
}

namespace {

// To a dispatcher, an unused slot is the same as a cancelled attempt; VMs of
// earlier versions know the latter only.
core::CallOutcome encodedOutcome(core::CallOutcome Outcome) {
  return Outcome == core::CallOutcome::Withheld ? core::CallOutcome::Cancelled
                                                : Outcome;
}

} // namespace

BodyOffset encode(Builder &Out, const Release &Item) {
  const auto Elapsed = static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Item.Report.Elapsed.count(), 0, UINT32_MAX));
  const core::LoadReport Load =
      Item.Report.Load.value_or(core::LoadReport{.InFlight = UINT32_MAX});
  const core::RateLimit Limit =
      Item.Report.Limit.value_or(core::RateLimit{.MilliPerS = UINT32_MAX});
  return makeBody<wire::Body::Release>(wire::CreateRelease(
      Out, Item.Call, Elapsed,
      static_cast<std::uint8_t>(encodedOutcome(Item.Report.Outcome)),
      Load.InFlight, Item.Report.Draining, Item.Group, Item.Server,
      Load.PacePercent, Item.Report.ServerError, Item.Report.OtherInstance,
      Limit.MilliPerS,
      static_cast<std::uint32_t>(
          std::min<std::uint64_t>(Item.Report.Bytes, UINT32_MAX))));
}

BodyOffset encode(Builder &Out, const Cancel &Item) {
  return makeBody<wire::Body::Cancel>(wire::CreateCancel(Out, Item.Call));
}

BodyOffset encode(Builder &Out, const GossipMessage &Item) {
  std::vector<Offset<wire::MemberEntry>> Entries;
  Entries.reserve(Item.Members.size());
  for (const MemberEntry &Entry : Item.Members)
    Entries.push_back(wire::CreateMemberEntryDirect(
        Out, Entry.Id.c_str(), Entry.Address.c_str(), Entry.Zone.c_str(),
        Entry.Region.c_str(), Entry.Incarnation, Entry.Leaving, Entry.Age,
        nullIfEmpty(Entry.Operators), Entry.ProcessorMilli));
  return makeBody<wire::Body::Gossip>(wire::CreateGossipDirect(
      Out, Item.Revision, Item.Reply, &Item.Digests, &Item.Counts, &Item.Ages,
      Entries.empty() ? nullptr : &Entries, Item.SentAtMs));
}

BodyOffset encode(Builder &Out, const ConfigRequest &Item) {
  return makeBody<wire::Body::ConfigRequest>(
      wire::CreateConfigRequest(Out, Item.Since));
}

BodyOffset encode(Builder &Out, const ConfigDelta &Item) {
  std::vector<Offset<wire::ServiceChange>> Changes;
  Changes.reserve(Item.Services.size());
  for (const ServiceChange &Change : Item.Services)
    Changes.push_back(wire::CreateServiceChangeDirect(
        Out, Change.Name.c_str(), Change.Changed, Change.Config.c_str()));
  return makeBody<wire::Body::ConfigDelta>(
      wire::CreateConfigDeltaDirect(Out, Item.Base, Item.Target, &Changes));
}

BodyOffset encode(Builder &Out, const Bye &Item) {
  return makeBody<wire::Body::Bye>(
      wire::CreateByeDirect(Out, Item.Reason.c_str()));
}

BodyOffset encode(Builder &Out, const InFlight &Item) {
  std::vector<wire::ServerCount> Counts;
  Counts.reserve(Item.Servers.size());
  for (const InFlight::Count &Count : Item.Servers)
    Counts.emplace_back(Count.Server, Count.Calls);
  return makeBody<wire::Body::InFlight>(
      wire::CreateInFlightDirect(Out, Item.Group, &Counts));
}

BodyOffset encode(Builder &Out, const ClaimRelease &Item) {
  const wire::OrderKey Key(Item.Key.High, Item.Key.Low);
  return makeBody<wire::Body::ClaimRelease>(wire::CreateClaimReleaseDirect(
      Out, Item.Service.c_str(), &Key, Item.Request.Value));
}

BodyOffset encode(Builder &Out, const StoreChanges &Item) {
  std::vector<Offset<wire::StoreEntry>> Entries;
  Entries.reserve(Item.Changes.List.Entries.size());
  for (const core::StoredEntry &Entry : Item.Changes.List.Entries) {
    const auto Key = Out.CreateString(Entry.Key);
    Offset<flatbuffers::Vector<std::uint8_t>> Value;
    if (Entry.Value)
      Value = Out.CreateVector(
          reinterpret_cast<const std::uint8_t *>(Entry.Value->data()),
          Entry.Value->size());
    Entries.push_back(
        wire::CreateStoreEntry(Out, Key, Value, !Entry.Value, Entry.Changed));
  }
  return makeBody<wire::Body::StoreChanges>(wire::CreateStoreChangesDirect(
      Out, Item.Changes.After, Item.Changes.List.AsOf,
      Entries.empty() ? nullptr : &Entries, Item.ReadAtMs,
      Item.Relays.empty() ? nullptr : &Item.Relays, Item.PassOn,
      Item.CompleteUntilMs, Item.Changes.Listed.After,
      Item.Changes.Listed.UpTo));
}

BodyOffset encode(Builder &Out, const QuotaReport &Item) {
  std::vector<wire::WorkspaceUse> Items;
  Items.reserve(Item.Items.size());
  for (const decision::WorkspaceUse &Use : Item.Items)
    Items.emplace_back(Use.Workspace, Use.Demanded, Use.Admitted);
  return makeBody<wire::Body::QuotaReport>(wire::CreateQuotaReportDirect(
      Out, Items.empty() ? nullptr : &Items, Item.WantsHistory));
}

BodyOffset encode(Builder &Out, const QuotaHistoryMessage &Item) {
  std::vector<wire::PastUse> Uses;
  Uses.reserve(Item.History.Uses.size());
  for (const decision::PastUse &Use : Item.History.Uses)
    Uses.emplace_back(Use.Workspace, Use.AgeMs, Use.MilliRequests);
  return makeBody<wire::Body::QuotaHistory>(wire::CreateQuotaHistoryDirect(
      Out, Item.History.Complete, Uses.empty() ? nullptr : &Uses));
}

} // namespace

BodyOffset encodeBody(Builder &Out, const Message &Body) {
  return std::visit([&](const auto &Item) { return encode(Out, Item); }, Body);
}

} // namespace jujubecart::peers::internal
