#include <jujubecart/peers/transit_delay.hpp>

#include <algorithm>

namespace jujubecart::peers {

namespace internal {

// Clocks of two machines drift by less than 0.1 ms a second, so that the
// difference of an earlier period is wrong by less than 12 ms.
constexpr std::chrono::minutes EstimatePeriod{1};

} // namespace internal

std::chrono::milliseconds
TransitDelay::record(std::chrono::milliseconds SentAt,
                     std::chrono::milliseconds ReceivedAt) noexcept {
  if (!PeriodStart || ReceivedAt - *PeriodStart >= internal::EstimatePeriod) {
    EarlierSmallest = PeriodStart ? Smallest : EarlierSmallest;
    Smallest = std::chrono::milliseconds::max();
    PeriodStart = ReceivedAt;
  }
  const std::chrono::milliseconds Difference = ReceivedAt - SentAt;
  Smallest = std::min(Smallest, Difference);
  return Difference - std::min(Smallest, EarlierSmallest);
}

} // namespace jujubecart::peers
