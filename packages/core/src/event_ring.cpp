#include <jujubecart/core/event_ring.hpp>

#include <nlohmann/json.hpp>

namespace jujubecart::core {

EventRing::EventRing(const Clock &Source, std::size_t Capacity)
    : Logical(Source), Capacity(Capacity) {
  Slots.reserve(Capacity);
}

void EventRing::record(Event Item) noexcept {
  if (Capacity == 0)
    return;
  const std::lock_guard Lock(Mutex);
  // The logical time is taken under the lock so that slots are in its order.
  TimedEvent Entry{.Logical = Logical.next(), .Item = std::move(Item)};
  if (Slots.size() < Capacity)
    Slots.push_back(std::move(Entry));
  else
    Slots[Recorded % Capacity] = std::move(Entry);
  ++Recorded;
}

std::uint64_t EventRing::logicalNow() noexcept { return Logical.next(); }

void EventRing::observe(std::uint64_t Remote) noexcept {
  Logical.observe(Remote);
}

std::vector<TimedEvent> EventRing::since(std::uint64_t Since,
                                         std::size_t Limit) const {
  const std::lock_guard Lock(Mutex);
  std::vector<TimedEvent> Found;
  const std::uint64_t First = Recorded - Slots.size();
  for (std::uint64_t Index = First; Index < Recorded; ++Index) {
    const TimedEvent &Entry = Slots[Index % Capacity];
    if (Entry.Logical <= Since)
      continue;
    if (Found.size() == Limit)
      break;
    Found.push_back(Entry);
  }
  return Found;
}

std::uint64_t EventRing::dropped() const noexcept {
  const std::lock_guard Lock(Mutex);
  return Recorded - Slots.size();
}

nlohmann::json toJson(const TimedEvent &Entry) {
  const Event &Item = Entry.Item;
  nlohmann::json Value{
      {"logical", Entry.Logical},
      {"time_us", HybridClock::microseconds(Entry.Logical)},
      {"kind", Item.Kind},
  };
  if (Item.Request.Value != 0)
    Value["request"] = toString(Item.Request);
  if (Item.Ticket != 0)
    Value["ticket"] = Item.Ticket;
  if (Item.OrderKeyHash != 0)
    Value["order_key"] = toString(RequestId{Item.OrderKeyHash});
  if (!Item.Server.empty())
    Value["server"] = Item.Server;
  if (!Item.Peer.empty())
    Value["peer"] = Item.Peer;
  if (!Item.Detail.empty())
    Value["detail"] = Item.Detail;
  return Value;
}

} // namespace jujubecart::core
