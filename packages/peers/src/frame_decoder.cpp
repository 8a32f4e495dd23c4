#include "frame_encoder.hpp"

namespace jujubecart::peers::internal {

namespace {

using Read = std::optional<Message>;

std::string text(const flatbuffers::String *Source) {
  return Source == nullptr ? std::string() : Source->str();
}

template <typename Item>
std::vector<Item> list(const flatbuffers::Vector<Item> *Source) {
  return Source == nullptr ? std::vector<Item>()
                           : std::vector<Item>(Source->begin(), Source->end());
}

core::OrderKey key(const wire::OrderKey &Source) {
  return {.High = Source.high(), .Low = Source.low()};
}

Read read(const wire::Hello &Source) {
  return Hello{.Sender = text(Source.sender()),
               .Incarnation = Source.incarnation(),
               .Address = text(Source.address()),
               .Zone = text(Source.zone()),
               .Region = text(Source.region()),
               .Revision = Source.revision(),
               .Leaving = Source.leaving(),
               .Operators = text(Source.operators()),
               .ProcessorMilli = Source.processor_milli()};
}

Read read(const wire::Acquire &Source) {
  Acquire Item{.Call = Source.call(),
               .Group = Source.group(),
               .LeftMs = Source.left_ms(),
               .Request = {Source.request()},
               .CallerHash = Source.caller(),
               .Revision = Source.revision(),
               .Priority = Source.priority(),
               .Key = std::nullopt,
               .Excluded = list(Source.excluded()),
               .WorkClass = Source.work_class()};
  if (Source.objective_left_ms() != UINT32_MAX)
    Item.ObjectiveLeftMs = Source.objective_left_ms();
  if (Source.order_key() != nullptr)
    Item.Key = key(*Source.order_key());
  return Item;
}

Read read(const wire::Queued &Source) {
  return Queued{.Waiting = Source.waiting()};
}

Read read(const wire::Grant &Source) {
  Grant Item{.Call = Source.call(), .Server = Source.server(), .Full = {}};
  if (const wire::Server *Full = Source.full())
    Item.Full = core::BackendServer{.Id = text(Full->id()),
                                    .Address = text(Full->address()),
                                    .Zone = text(Full->zone()),
                                    .Slots = Full->slots(),
                                    .Connections = Full->connections(),
                                    .Incarnation = Full->incarnation()};
  return Item;
}

Read read(const wire::Refuse &Source) {
  if (Source.reason() == 0 ||
      Source.reason() > static_cast<std::uint8_t>(core::Error::NotReady))
    return std::nullopt;
  return Refuse{.Call = Source.call(),
                .Reason = static_cast<core::Error>(Source.reason()),
                .RetryAfterMs = Source.retry_after_ms()};
}

Read read(const wire::Release &Source) {
  if (Source.outcome() >
      static_cast<std::uint8_t>(core::CallOutcome::Cancelled))
    return std::nullopt;
  Release Item{
      .Call = Source.call(),
      .Report = {.Outcome = static_cast<core::CallOutcome>(Source.outcome()),
                 .Elapsed = std::chrono::microseconds(Source.elapsed_us()),
                 .Load = std::nullopt,
                 .Draining = Source.draining(),
                 .Failed = Source.failed(),
                 .OtherInstance = Source.other_instance()},
      .Group = Source.group(),
      .Server = Source.server()};
  if (Source.load() != UINT32_MAX)
    Item.Report.Load = core::LoadReport{.InFlight = Source.load(),
                                        .PacePercent = Source.pace_percent()};
  return Item;
}

Read read(const wire::Cancel &Source) { return Cancel{.Call = Source.call()}; }

Read read(const wire::Gossip &Source) {
  GossipMessage Item{.Revision = Source.revision(),
                     .Reply = Source.reply(),
                     .Digests = list(Source.digests()),
                     .Counts = list(Source.counts()),
                     .Ages = list(Source.ages()),
                     .Members = {}};
  if (Source.members() == nullptr)
    return Item;
  Item.Members.reserve(Source.members()->size());
  for (const wire::MemberEntry *Entry : *Source.members())
    Item.Members.push_back({.Id = text(Entry->id()),
                            .Address = text(Entry->address()),
                            .Zone = text(Entry->zone()),
                            .Region = text(Entry->region()),
                            .Incarnation = Entry->incarnation(),
                            .Leaving = Entry->leaving(),
                            .Age = Entry->age(),
                            .Operators = text(Entry->operators()),
                            .ProcessorMilli = Entry->processor_milli()});
  return Item;
}

Read read(const wire::ConfigRequest &Source) {
  return ConfigRequest{.Since = Source.since()};
}

Read read(const wire::ConfigDelta &Source) {
  ConfigDelta Item{
      .Base = Source.base(), .Target = Source.target(), .Services = {}};
  if (Source.services() == nullptr)
    return Item;
  Item.Services.reserve(Source.services()->size());
  for (const wire::ServiceChange *Change : *Source.services())
    Item.Services.push_back({.Name = text(Change->name()),
                             .Changed = Change->changed(),
                             .Config = text(Change->config())});
  return Item;
}

Read read(const wire::Bye &Source) {
  return Bye{.Reason = text(Source.reason())};
}

Read read(const wire::InFlight &Source) {
  InFlight Item{.Group = Source.group(), .Servers = {}};
  if (Source.servers() != nullptr)
    for (const wire::ServerCount *Count : *Source.servers())
      Item.Servers.push_back(
          {.Server = Count->server(), .Calls = Count->count()});
  return Item;
}

Read read(const wire::ClaimRelease &Source) {
  if (Source.key() == nullptr)
    return std::nullopt;
  return ClaimRelease{.Service = text(Source.service()),
                      .Key = key(*Source.key()),
                      .Request = {Source.request()}};
}

core::StoredEntry entry(const wire::StoreEntry &Source) {
  core::StoredEntry Out{.Key = text(Source.key()), .Changed = Source.changed()};
  if (Source.deleted())
    return Out;
  Out.Value.emplace();
  if (Source.value() != nullptr)
    Out.Value->assign(Source.value()->begin(), Source.value()->end());
  return Out;
}

Read read(const wire::StoreChanges &Source) {
  StoreChanges Item;
  Item.Changes.After = Source.after();
  Item.Changes.List.AsOf = Source.as_of();
  if (Source.entries() != nullptr)
    for (const wire::StoreEntry *Entry : *Source.entries())
      Item.Changes.List.Entries.push_back(entry(*Entry));
  return Item;
}

// The verifier accepts a union without its table.
template <typename Table> Read readTable(const Table *Source) {
  return Source == nullptr ? std::nullopt : read(*Source);
}

} // namespace

std::optional<Message> readBody(const wire::Envelope &Source) {
  switch (Source.body_type()) {
  case wire::Body::Hello:
    return readTable(Source.body_as_Hello());
  case wire::Body::Acquire:
    return readTable(Source.body_as_Acquire());
  case wire::Body::Queued:
    return readTable(Source.body_as_Queued());
  case wire::Body::Grant:
    return readTable(Source.body_as_Grant());
  case wire::Body::Refuse:
    return readTable(Source.body_as_Refuse());
  case wire::Body::Release:
    return readTable(Source.body_as_Release());
  case wire::Body::Cancel:
    return readTable(Source.body_as_Cancel());
  case wire::Body::Gossip:
    return readTable(Source.body_as_Gossip());
  case wire::Body::ConfigRequest:
    return readTable(Source.body_as_ConfigRequest());
  case wire::Body::ConfigDelta:
    return readTable(Source.body_as_ConfigDelta());
  case wire::Body::Bye:
    return readTable(Source.body_as_Bye());
  case wire::Body::InFlight:
    return readTable(Source.body_as_InFlight());
  case wire::Body::ClaimRelease:
    return readTable(Source.body_as_ClaimRelease());
  case wire::Body::StoreChanges:
    return readTable(Source.body_as_StoreChanges());
  case wire::Body::NONE:
    break;
  }
  // A type that a newer version added.
  return Message{};
}

} // namespace jujubecart::peers::internal
