#include "ideal/replay.hpp"

#include <algorithm>

namespace jujubecart::dev {

namespace {

using std::chrono::nanoseconds;

// One unit of concurrency of a backend server.
struct Slot {
  nanoseconds FreeAt{0};
  std::string Zone;
};

// Prefers a free slot in the zone of the entry VM; otherwise returns the slot
// that becomes free first.
Slot &chooseSlot(std::vector<Slot> &Slots, nanoseconds Now,
                 const std::string &Zone) {
  Slot *Best = &Slots.front();
  for (Slot &Item : Slots) {
    if (Item.FreeAt <= Now && Item.Zone == Zone)
      return Item;
    if (Item.FreeAt < Best->FreeAt)
      Best = &Item;
  }
  return *Best;
}

} // namespace

std::vector<double> replay(const Experiment &Plan,
                           const std::vector<Arrival> &Arrivals) {
  std::vector<std::vector<Slot>> SlotsByService;
  for (const ServiceLoad &Service : Plan.Services) {
    SlotsByService.emplace_back();
    for (const std::string &Zone : Service.SlotZones)
      SlotsByService.back().push_back({nanoseconds(0), Zone});
  }
  std::vector<double> Latencies;
  Latencies.reserve(Arrivals.size());
  for (std::size_t Index = 0; Index < Arrivals.size(); ++Index) {
    const Arrival &Call = Arrivals[Index];
    const EntryVm &Entry = Plan.Entries[Index % Plan.Entries.size()];
    const nanoseconds AtEntry = Call.Due + Plan.CallerDelay;
    Slot &Chosen =
        chooseSlot(SlotsByService[Call.ServiceIndex], AtEntry, Entry.Zone);
    const nanoseconds ServiceStart = std::max(AtEntry, Chosen.FreeAt);
    Chosen.FreeAt = ServiceStart + Plan.ServiceTimes.forDraw(Call.Draw);
    const nanoseconds SlotDelay =
        Chosen.Zone == Entry.Zone ? nanoseconds(0) : Plan.ZoneDelay;
    const nanoseconds ResponseAt =
        Chosen.FreeAt + 2 * SlotDelay + Plan.CallerDelay;
    Latencies.push_back(
        std::chrono::duration<double, std::milli>(ResponseAt - Call.Due)
            .count());
  }
  return Latencies;
}

} // namespace jujubecart::dev
