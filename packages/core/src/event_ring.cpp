#include <jujubecart/core/event_ring.hpp>

#include <nlohmann/json.hpp>

namespace jujubecart::core {

EventRing::EventRing(const Clock &Source, std::size_t Capacity)
    : LogicalClock(Source), Capacity(Capacity) {
  Events.reserve(Capacity);
}

void EventRing::record(Event Item) noexcept {
  if (Capacity == 0)
    return;
  const std::lock_guard Lock(Mutex);
  // The logical time is taken under the lock, so that the ring is sorted by it.
  TimedEvent Entry{.Logical = LogicalClock.next(), .Item = std::move(Item)};
  if (Events.size() < Capacity)
    Events.push_back(std::move(Entry));
  else
    Events[Recorded % Capacity] = std::move(Entry);
  ++Recorded;
}

std::uint64_t EventRing::logicalNow() noexcept { return LogicalClock.next(); }

void EventRing::observe(std::uint64_t Remote) noexcept {
  LogicalClock.observe(Remote);
}

std::vector<TimedEvent> EventRing::since(std::uint64_t Since,
                                         std::size_t Limit) const {
  const std::lock_guard Lock(Mutex);
  std::vector<TimedEvent> Found;
  const std::uint64_t First = Recorded - Events.size();
  for (std::uint64_t Index = First; Index < Recorded; ++Index) {
    const TimedEvent &Entry = Events[Index % Capacity];
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
  return Recorded - Events.size();
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
