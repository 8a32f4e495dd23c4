#include <jujubecart/decision/internal/slot_demand.hpp>

#include <jujubecart/decision/internal/microseconds.hpp>

#include <algorithm>
#include <cmath>

namespace jujubecart::decision::internal {

namespace {

// Time constant of the decay: long enough to average over a hundred calls of a
// small group, short enough to follow a burst.
constexpr double DecayUs = 1e6;
// Below this share of the slots, waiting calls are rare and slots are free of
// charge.
constexpr double FreeUtilization = 0.5;

} // namespace

double SlotDemand::decay(core::TimePoint Now) const {
  return std::exp(-std::max(microseconds(Now - LastArrival), 0.0) / DecayUs);
}

void SlotDemand::recordArrival(double ServiceTimeUs, core::TimePoint Now) {
  const double Factor = decay(Now);
  Calls = Calls * Factor + 1;
  WorkUs = WorkUs * Factor + ServiceTimeUs;
  LastArrival = Now;
}

double SlotDemand::callsPerS(core::TimePoint Now) const {
  return Calls * decay(Now) * MicrosecondsPerSecond / DecayUs;
}

// Little's law: calls per unit of time multiplied by the time that each of them
// occupies a slot.
double SlotDemand::slots(core::TimePoint Now) const {
  return WorkUs * decay(Now) / DecayUs;
}

double SlotDemand::price(double AvailableSlots, core::TimePoint Now) const {
  const double Utilization = slots(Now) / std::max(AvailableSlots, 0.5);
  return std::clamp((Utilization - FreeUtilization) / (1 - FreeUtilization),
                    0.0, 1.0);
}

} // namespace jujubecart::decision::internal
