#include <jujubecart/decision/sliding_use.hpp>

#include <algorithm>

namespace jujubecart::decision {

namespace {

constexpr std::int64_t SlotsPerWindow = 50;

} // namespace

SlidingUse::SlidingUse(std::chrono::milliseconds Window)
    : Window(Window), SlotLength(Window / SlotsPerWindow) {}

std::int64_t SlidingUse::slotNumber(core::TimePoint Instant) const {
  return Instant.time_since_epoch() / SlotLength;
}

core::TimePoint SlidingUse::expiryOf(const Slot &Item) const {
  return core::TimePoint((Item.Number + 1) * SlotLength) + Window;
}

void SlidingUse::add(double Amount, core::TimePoint UsedAt) {
  const std::int64_t Number = slotNumber(UsedAt);
  auto At = Slots.end();
  while (At != Slots.begin() && std::prev(At)->Number >= Number)
    --At;
  if (At == Slots.end() || At->Number != Number)
    At = Slots.insert(At, {.Number = Number});
  At->Amount += Amount;
  Total += Amount;
}

double SlidingUse::remove(double Amount, core::TimePoint UsedAt) {
  const std::int64_t Number = slotNumber(UsedAt);
  const auto Found =
      std::find_if(Slots.rbegin(), Slots.rend(),
                   [&](const Slot &Item) { return Item.Number <= Number; });
  if (Found == Slots.rend() || Found->Number != Number)
    return 0;
  const double Removed = std::min(Amount, Found->Amount);
  Found->Amount -= Removed;
  Total -= Removed;
  return Removed;
}

void SlidingUse::removeNewest(double Amount) {
  while (Amount > 0 && !Slots.empty()) {
    const double Removed = std::min(Amount, Slots.back().Amount);
    Slots.back().Amount -= Removed;
    Total -= Removed;
    Amount -= Removed;
    if (Slots.back().Amount <= 0)
      Slots.pop_back();
  }
}

// The two observers count the same use at slightly different times. Comparing
// what each has counted since an instant adds only what is missing here.
double
SlidingUse::raise(const std::vector<std::pair<core::TimePoint, double>> &Told,
                  double Unseen) {
  double Added = 0;
  double ToldSince = Unseen;
  for (const auto &[UsedAt, Amount] : Told) {
    ToldSince += Amount;
    const double Missing = ToldSince - (Total - totalBefore(UsedAt));
    if (Missing <= 0)
      continue;
    add(Missing, UsedAt);
    Added += Missing;
  }
  return Added;
}

std::vector<std::pair<core::TimePoint, double>>
SlidingUse::history(core::TimePoint Now) const {
  std::vector<std::pair<core::TimePoint, double>> Out;
  Out.reserve(Slots.size());
  for (auto At = Slots.rbegin(); At != Slots.rend(); ++At)
    Out.emplace_back(
        std::min(Now, core::TimePoint((At->Number + 1) * SlotLength) -
                          core::TimePoint::duration(1)),
        At->Amount);
  return Out;
}

double SlidingUse::expire(core::TimePoint Now) {
  double Expired = 0;
  auto End = Slots.begin();
  for (; End != Slots.end() && expiryOf(*End) <= Now; ++End)
    Expired += End->Amount;
  Slots.erase(Slots.begin(), End);
  // Rounding errors must not add up.
  Total = Slots.empty() ? 0 : Total - Expired;
  return Expired;
}

double SlidingUse::totalBefore(core::TimePoint Instant) const {
  const std::int64_t Number = slotNumber(Instant);
  double Out = 0;
  for (const Slot &Item : Slots)
    if (Item.Number < Number)
      Out += Item.Amount;
  return Out;
}

core::TimePoint SlidingUse::expiresAt(double Amount) const {
  core::TimePoint Out;
  for (const Slot &Item : Slots) {
    if (Amount <= 0)
      break;
    Amount -= Item.Amount;
    Out = expiryOf(Item);
  }
  return Out;
}

} // namespace jujubecart::decision
