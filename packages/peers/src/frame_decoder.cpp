#include "frame_encoder.hpp"

namespace jujubecart::peers::internal {

namespace {

using DecodedBody = std::optional<Message>;

std::string toString(const flatbuffers::String *Source) {
  return Source == nullptr ? std::string() : Source->str();
}

template <typename Item>
std::vector<Item> toVector(const flatbuffers::Vector<Item> *Source) {
  return Source == nullptr ? std::vector<Item>()
                           : std::vector<Item>(Source->begin(), Source->end());
}

core::OrderKey toOrderKey(const wire::OrderKey &Source) {
  return {.High = Source.high(), .Low = Source.low()};
}

DecodedBody decode(const wire::Hello &Source) {
  return Hello{.Sender = toString(Source.sender()),
               .Incarnation = Source.incarnation(),
               .Address = toString(Source.address()),
               .Zone = toString(Source.zone()),
               .Region = toString(Source.region()),
               .Revision = Source.revision(),
               .Leaving = Source.leaving(),
               .Operators = toString(Source.operators()),
               .ProcessorMilli = Source.processor_milli(),
               .SentAtMs = Source.sent_at_ms()};
}

DecodedBody decode(const wire::Acquire &Source) {
  Acquire Item{.Call = Source.call(),
               .Group = Source.group(),
               .RemainingMs = Source.left_ms(),
               .Request = {Source.request()},
               .CallerHash = Source.caller(),
               .Revision = Source.revision(),
               .Priority = Source.priority(),
               .Key = std::nullopt,
               .Excluded = toVector(Source.excluded()),
               .WorkClass = Source.work_class(),
               .Workspace = Source.workspace(),
               .CountsAgainstQuota = Source.counts_against_quota()};
  if (Source.objective_left_ms() != UINT32_MAX)
    Item.ObjectiveRemainingMs = Source.objective_left_ms();
  if (Source.order_key() != nullptr)
    Item.Key = toOrderKey(*Source.order_key());
  if (Source.limits() != nullptr)
    for (const wire::ServerLimit *Limit : *Source.limits())
      Item.Limits.push_back({.Server = Limit->server(),
                             .Limit = {.MilliPerS = Limit->milli_per_s()},
                             .AgeMs = Limit->age_ms()});
  return Item;
}

DecodedBody decode(const wire::Queued &Source) {
  return Queued{.Waiting = Source.waiting()};
}

DecodedBody decode(const wire::Grant &Source) {
  Grant Item{.Call = Source.call(),
             .Server = Source.server(),
             .ServerDetails = {},
             .SlotPricePercent = Source.slot_price_percent(),
             .HedgeAfterMs = Source.hedge_after_ms()};
  if (const wire::Server *Full = Source.full())
    Item.ServerDetails =
        core::BackendServer{.Id = toString(Full->id()),
                            .Address = toString(Full->address()),
                            .Zone = toString(Full->zone()),
                            .Slots = Full->slots(),
                            .Connections = Full->connections(),
                            .Incarnation = Full->incarnation()};
  return Item;
}

DecodedBody decode(const wire::Refuse &Source) {
  if (Source.reason() == 0 ||
      Source.reason() > static_cast<std::uint8_t>(core::Error::QuotaExceeded))
    return std::nullopt;
  return Refuse{.Call = Source.call(),
                .Reason = static_cast<core::Error>(Source.reason()),
                .RetryAfterMs = Source.retry_after_ms(),
                .SlotPricePercent = Source.slot_price_percent()};
}

DecodedBody decode(const wire::Release &Source) {
  if (Source.outcome() >
      static_cast<std::uint8_t>(core::CallOutcome::Cancelled))
    return std::nullopt;
  Release Item{
      .Call = Source.call(),
      .Report = {.Outcome = static_cast<core::CallOutcome>(Source.outcome()),
                 .Elapsed = std::chrono::microseconds(Source.elapsed_us()),
                 .Load = std::nullopt,
                 .Draining = Source.draining(),
                 .ServerError = Source.failed(),
                 .OtherInstance = Source.other_instance(),
                 .Limit = std::nullopt,
                 .Bytes = Source.bytes()},
      .Group = Source.group(),
      .Server = Source.server()};
  if (Source.load() != UINT32_MAX)
    Item.Report.Load = core::LoadReport{.InFlight = Source.load(),
                                        .PacePercent = Source.pace_percent()};
  if (Source.limit_milli_per_s() != UINT32_MAX)
    Item.Report.Limit =
        core::RateLimit{.MilliPerS = Source.limit_milli_per_s()};
  return Item;
}

DecodedBody decode(const wire::Cancel &Source) {
  return Cancel{.Call = Source.call()};
}

DecodedBody decode(const wire::Gossip &Source) {
  GossipMessage Item{.Revision = Source.revision(),
                     .Reply = Source.reply(),
                     .Digests = toVector(Source.digests()),
                     .Counts = toVector(Source.counts()),
                     .Ages = toVector(Source.ages()),
                     .Members = {},
                     .SentAtMs = Source.sent_at_ms()};
  if (Source.members() == nullptr)
    return Item;
  Item.Members.reserve(Source.members()->size());
  for (const wire::MemberEntry *Entry : *Source.members())
    Item.Members.push_back({.Id = toString(Entry->id()),
                            .Address = toString(Entry->address()),
                            .Zone = toString(Entry->zone()),
                            .Region = toString(Entry->region()),
                            .Incarnation = Entry->incarnation(),
                            .Leaving = Entry->leaving(),
                            .Age = Entry->age(),
                            .Operators = toString(Entry->operators()),
                            .ProcessorMilli = Entry->processor_milli()});
  return Item;
}

DecodedBody decode(const wire::ConfigRequest &Source) {
  return ConfigRequest{.Since = Source.since()};
}

DecodedBody decode(const wire::ConfigDelta &Source) {
  ConfigDelta Item{
      .Base = Source.base(), .Target = Source.target(), .Services = {}};
  if (Source.services() == nullptr)
    return Item;
  Item.Services.reserve(Source.services()->size());
  for (const wire::ServiceChange *Change : *Source.services())
    Item.Services.push_back({.Name = toString(Change->name()),
                             .Changed = Change->changed(),
                             .Config = toString(Change->config())});
  return Item;
}

DecodedBody decode(const wire::Bye &Source) {
  return Bye{.Reason = toString(Source.reason())};
}

DecodedBody decode(const wire::InFlight &Source) {
  InFlight Item{.Group = Source.group(), .Servers = {}};
  if (Source.servers() != nullptr)
    for (const wire::ServerCount *Count : *Source.servers())
      Item.Servers.push_back(
          {.Server = Count->server(), .Calls = Count->count()});
  return Item;
}

DecodedBody decode(const wire::ClaimRelease &Source) {
  if (Source.key() == nullptr)
    return std::nullopt;
  return ClaimRelease{.Service = toString(Source.service()),
                      .Key = toOrderKey(*Source.key()),
                      .Request = {Source.request()}};
}

core::StoredEntry toStoredEntry(const wire::StoreEntry &Source) {
  core::StoredEntry Out{.Key = toString(Source.key()),
                        .Changed = Source.changed()};
  if (Source.deleted())
    return Out;
  Out.Value.emplace();
  if (Source.value() != nullptr)
    Out.Value->assign(Source.value()->begin(), Source.value()->end());
  return Out;
}

DecodedBody decode(const wire::StoreChanges &Source) {
  StoreChanges Item;
  Item.Changes.After = Source.after();
  Item.Changes.List.AsOf = Source.as_of();
  Item.Changes.Listed = {.After = Source.listed_after(),
                         .UpTo = Source.listed_up_to()};
  Item.ReadAtMs = Source.read_at_ms();
  Item.PassOn = Source.pass_on();
  Item.CompleteUntilMs = Source.complete_until_ms();
  if (Source.relays() != nullptr)
    Item.Relays.assign(Source.relays()->begin(), Source.relays()->end());
  if (Source.entries() != nullptr)
    for (const wire::StoreEntry *Entry : *Source.entries())
      Item.Changes.List.Entries.push_back(toStoredEntry(*Entry));
  return Item;
}

DecodedBody decode(const wire::QuotaReport &Source) {
  QuotaReport Item;
  if (Source.items() != nullptr)
    for (const wire::WorkspaceUse *Use : *Source.items())
      Item.Items.push_back({.Workspace = Use->workspace(),
                            .Demanded = Use->demanded(),
                            .Admitted = Use->admitted()});
  Item.WantsHistory = Source.wants_history();
  return Item;
}

DecodedBody decode(const wire::QuotaHistory &Source) {
  QuotaHistoryMessage Item;
  Item.History.Complete = Source.complete();
  if (Source.uses() != nullptr)
    for (const wire::PastUse *Use : *Source.uses())
      Item.History.Uses.push_back({.Workspace = Use->workspace(),
                                   .AgeMs = Use->age_ms(),
                                   .MilliRequests = Use->milli_requests()});
  return Item;
}

// The FlatBuffers verifier accepts a union type whose table is absent, so the
// pointer may be null.
template <typename Table> DecodedBody decodeTable(const Table *Source) {
  return Source == nullptr ? std::nullopt : decode(*Source);
}

} // namespace

std::optional<Message> decodeBody(const wire::Envelope &Source) {
  switch (Source.body_type()) {
  case wire::Body::Hello:
    return decodeTable(Source.body_as_Hello());
  case wire::Body::Acquire:
    return decodeTable(Source.body_as_Acquire());
  case wire::Body::Queued:
    return decodeTable(Source.body_as_Queued());
  case wire::Body::Grant:
    return decodeTable(Source.body_as_Grant());
  case wire::Body::Refuse:
    return decodeTable(Source.body_as_Refuse());
  case wire::Body::Release:
    return decodeTable(Source.body_as_Release());
  case wire::Body::Cancel:
    return decodeTable(Source.body_as_Cancel());
  case wire::Body::Gossip:
    return decodeTable(Source.body_as_Gossip());
  case wire::Body::ConfigRequest:
    return decodeTable(Source.body_as_ConfigRequest());
  case wire::Body::ConfigDelta:
    return decodeTable(Source.body_as_ConfigDelta());
  case wire::Body::Bye:
    return decodeTable(Source.body_as_Bye());
  case wire::Body::InFlight:
    return decodeTable(Source.body_as_InFlight());
  case wire::Body::ClaimRelease:
    return decodeTable(Source.body_as_ClaimRelease());
  case wire::Body::StoreChanges:
    return decodeTable(Source.body_as_StoreChanges());
  case wire::Body::QuotaReport:
    return decodeTable(Source.body_as_QuotaReport());
  case wire::Body::QuotaHistory:
    return decodeTable(Source.body_as_QuotaHistory());
  case wire::Body::NONE:
    break;
  }
  // A message type that a newer version added.
  return Message{};
}

} // namespace jujubecart::peers::internal
