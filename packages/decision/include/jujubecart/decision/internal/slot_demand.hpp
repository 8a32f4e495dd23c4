#ifndef JUJUBECART_DECISION_INTERNAL_SLOT_DEMAND_HPP
#define JUJUBECART_DECISION_INTERNAL_SLOT_DEMAND_HPP

#include <jujubecart/core/clock.hpp>

namespace jujubecart::decision::internal {

/// @brief Measures how many slots the arriving calls need, and derives the
/// opportunity cost of a slot. Prevents metastable overload, in which work that
/// wastes slots keeps a dispatcher overloaded after the cause has ended.
class SlotDemand {
public:
  /// @brief Records a call that can still meet its objective.
  /// @param ServiceTimeUs Its expected service time at the normal pace.
  void recordArrival(double ServiceTimeUs, core::TimePoint Now);

  /// @brief Calls that arrive per second.
  [[nodiscard]] double callsPerS(core::TimePoint Now) const;

  /// @brief Mean number of slots that the arriving calls occupy.
  [[nodiscard]] double slots(core::TimePoint Now) const;

  /// @brief Opportunity cost of one mean service time of a slot, in calls that
  /// meet their objective: 0 at low load, 1 if the calls need all slots.
  /// @param AvailableSlots Slots that can be used at the normal pace.
  [[nodiscard]] double price(double AvailableSlots, core::TimePoint Now) const;

private:
  /// @brief Factor by which the sums have decayed since LastArrival.
  [[nodiscard]] double decay(core::TimePoint Now) const;

  // Sums over past arrivals, weighted by an exponential decay.
  double Calls = 0;
  double WorkUs = 0;
  core::TimePoint LastArrival;
};

} // namespace jujubecart::decision::internal

#endif
