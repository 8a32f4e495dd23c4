#include "ideal/replay.hpp"

#include <algorithm>

namespace jujubecart::dev {

namespace {

using std::chrono::nanoseconds;

struct Slot {
  nanoseconds Free{0};
  std::string Zone;
};

// Among the slots that are free, one in the entry VM's own zone is taken;
// otherwise the one that becomes free first.
Slot &choose(std::vector<Slot> &Slots, nanoseconds Now,
             const std::string &Zone) {
  Slot *Best = &Slots.front();
  for (Slot &Item : Slots) {
    if (Item.Free <= Now && Item.Zone == Zone)
      return Item;
    if (Item.Free < Best->Free)
      Best = &Item;
  }
  return *Best;
}

} // namespace

std::vector<double> replay(const Experiment &Plan,
                           const std::vector<Arrival> &All) {
  std::vector<std::vector<Slot>> Services;
  for (const ServiceLoad &Service : Plan.Services) {
    Services.emplace_back();
    for (const std::string &Zone : Service.SlotZones)
      Services.back().push_back({nanoseconds(0), Zone});
  }
  std::vector<double> Latencies;
  Latencies.reserve(All.size());
  for (std::size_t Index = 0; Index < All.size(); ++Index) {
    const Arrival &Call = All[Index];
    const EntryVm &Entry = Plan.Entries[Index % Plan.Entries.size()];
    const nanoseconds AtEntry = Call.Due + Plan.CallerLeg;
    Slot &Chosen = choose(Services[Call.Service], AtEntry, Entry.Zone);
    const nanoseconds Begin = std::max(AtEntry, Chosen.Free);
    Chosen.Free = Begin + Plan.Times.of(Call.Draw);
    const nanoseconds Leg =
        Chosen.Zone == Entry.Zone ? nanoseconds(0) : Plan.ZoneLeg;
    const nanoseconds End = Chosen.Free + 2 * Leg + Plan.CallerLeg;
    Latencies.push_back(
        std::chrono::duration<double, std::milli>(End - Call.Due).count());
  }
  return Latencies;
}

} // namespace jujubecart::dev
