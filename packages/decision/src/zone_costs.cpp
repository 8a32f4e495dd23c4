#include <jujubecart/decision/internal/zone_costs.hpp>

#include <algorithm>
#include <utility>

namespace jujubecart::decision::internal {

namespace {

using namespace std::chrono_literals;

// Price of a call to another zone without a configured price of bytes, in calls
// that meet their objective.
constexpr double DefaultPrice = 0.04;
// The smallest round trip of a period has neither queueing nor a slow server in
// it; two periods, so that a route that became longer is known within 20 s.
constexpr auto RoundTripPeriod = 10s;
// A call is assumed to have no more than this; beyond it, price and delay would
// keep calls in a zone that has no server for them.
constexpr auto MaxExtraRoundTrip = 200ms;
constexpr double MaxPrice = 0.5;
// Bytes of a call until one has been measured, and those of its slot request,
// grant and release, which cross zones as well if the call does.
constexpr double UnknownBytes = 2000;
constexpr double ControlBytes = 300;
// Length of the moving averages, as in WorkModel.
constexpr std::size_t MaxSamples = 40;
constexpr double BytesPerGb = 1e9;

} // namespace

ZoneCosts::ZoneCosts(std::string OwnZone, std::optional<double> PricePerGb)
    : OwnZone(std::move(OwnZone)), PricePerGb(PricePerGb) {}

void ZoneCosts::Average::add(double Sample) noexcept {
  Samples = std::min(Samples + 1, MaxSamples);
  Value += (Sample - Value) / double(Samples);
}

void ZoneCosts::recordRoundTrip(std::string_view ServerZone,
                                std::chrono::microseconds RoundTrip,
                                core::TimePoint Now) {
  if (!priced() || RoundTrip.count() <= 0)
    return;
  const auto Found = ByZone.find(ServerZone);
  RoundTrips &Entry =
      Found != ByZone.end() ? Found->second : ByZone[std::string(ServerZone)];
  if (Now - Entry.PeriodStart >= RoundTripPeriod) {
    // After a long pause the last period says nothing either.
    Entry.Earlier = Now - Entry.PeriodStart < 2 * RoundTripPeriod
                        ? Entry.Smallest
                        : std::chrono::microseconds::max();
    Entry.Smallest = RoundTrip;
    Entry.PeriodStart = Now;
  }
  Entry.Smallest = std::min(Entry.Smallest, RoundTrip);
}

void ZoneCosts::recordBytes(std::uint64_t WorkClass, std::uint64_t Bytes) {
  if (!priced() || Bytes == 0)
    return;
  BytesByClass[WorkClass].add(double(Bytes));
  AnyBytes.add(double(Bytes));
}

std::chrono::microseconds ZoneCosts::extraTo(std::string_view Zone) const {
  const auto Own = ByZone.find(OwnZone);
  const auto Other = ByZone.find(Zone);
  if (Own == ByZone.end() || Other == ByZone.end())
    return 0us;
  const auto Smallest = [](const RoundTrips &Entry) {
    return std::min(Entry.Smallest, Entry.Earlier);
  };
  return std::clamp<std::chrono::microseconds>(
      Smallest(Other->second) - Smallest(Own->second), 0us, MaxExtraRoundTrip);
}

// Only the round trips from this VM's zone are measured. A route is as long in
// both directions; between two other zones, the longer of the two is assumed.
std::chrono::microseconds ZoneCosts::extraRoundTrip(std::string_view From,
                                                    std::string_view To) const {
  if (!priced() || From == To)
    return 0us;
  if (From == OwnZone)
    return extraTo(To);
  if (To == OwnZone)
    return extraTo(From);
  return std::max(extraTo(From), extraTo(To));
}

double ZoneCosts::price(std::uint64_t WorkClass) const {
  if (!priced())
    return DefaultPrice;
  const auto Found = BytesByClass.find(WorkClass);
  double Bytes = AnyBytes.Samples > 0 ? AnyBytes.Value : UnknownBytes;
  if (Found != BytesByClass.end())
    Bytes = Found->second.Value;
  return std::min(*PricePerGb * (Bytes + ControlBytes) / BytesPerGb, MaxPrice);
}

} // namespace jujubecart::decision::internal
