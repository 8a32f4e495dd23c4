#include <jujubecart/decision/internal/load_table.hpp>

#include <jujubecart/decision/internal/microseconds.hpp>

#include <algorithm>

namespace jujubecart::decision::internal {

namespace {

// Mean service time that is assumed for the capacity until a call has ended.
constexpr double UnknownServiceTimeUs = 1e5;
// Slots that are assumed to be usable at least, since ejected servers are
// tried again; fewer if servers state rate limits, which bind for longer.
constexpr double MinUsableSlots = 0.5;
constexpr double MinLimitedSlots = 0.01;
// Share of the capacity that calls with a missed objective are assumed to get
// at least, because the measured arrivals include peaks.
constexpr double MinSpareShare = 0.25;

} // namespace

double LoadTable::capacitySlots(const ServerLoad &Server,
                                core::TimePoint Now) const {
  const double Slots = Server.preferredLimit() / Server.ServiceTimeFactor;
  if (!Server.Limiter.limited(Now))
    return Slots;
  return std::min(Slots, Server.Limiter.ratePerS(Now) * meanServiceUs() /
                             MicrosecondsPerSecond);
}

double LoadTable::zoneShare(std::string_view Zone) const {
  const auto Found = UsableSlotsByZone.find(Zone);
  return Found == UsableSlotsByZone.end() || UsableSlots <= 0
             ? 0
             : Found->second / UsableSlots;
}

double LoadTable::meanServiceUs() const {
  return Work.meanServiceTimeUs() > 0 ? Work.meanServiceTimeUs()
                                      : UnknownServiceTimeUs;
}

double LoadTable::capacityPerS(core::TimePoint Now) const {
  // Servers are not used in slow periods that are known from reports.
  const double Slowdown =
      Pace.reported(Now) ? 1 / Pace.normalShare() : Pace.meanSlowdown();
  const double MinSlots = AnyLimited ? MinLimitedSlots : MinUsableSlots;
  return std::max(UsableSlots, MinSlots) * MicrosecondsPerSecond /
         (meanServiceUs() * Slowdown);
}

std::chrono::microseconds LoadTable::expectedWait(std::size_t Calls,
                                                  core::TimePoint Now) const {
  return std::chrono::microseconds(static_cast<std::int64_t>(
      double(Calls) * MicrosecondsPerSecond / capacityPerS(Now)));
}

double LoadTable::spareCallsPerS(core::TimePoint Now) const {
  const double Capacity = capacityPerS(Now);
  return std::max(Capacity - Demand.callsPerS(Now), MinSpareShare * Capacity);
}

std::chrono::microseconds
LoadTable::expectedLateWait(std::size_t Calls, core::TimePoint Now) const {
  return std::chrono::microseconds(static_cast<std::int64_t>(
      double(Calls) * MicrosecondsPerSecond / spareCallsPerS(Now)));
}

} // namespace jujubecart::decision::internal
