#include <jujubecart/decision/rejected_call.hpp>

#include <algorithm>
#include <chrono>

namespace jujubecart::decision {

namespace {

using namespace std::chrono_literals;

// A caller waits at most for this fraction of the time left until its
// objective. The servers have free slots, so a longer wait gains nothing.
constexpr int LongestWaitDivisor = 16;
constexpr std::chrono::microseconds MinLongestWait = 10ms;
constexpr std::chrono::microseconds MaxLongestWait = 100ms;

} // namespace

bool rejectedWithFreeSlot(const RejectedCall &Call) noexcept {
  return !Call.ReasonStated && Call.Load && Call.Load->InFlight < Call.Slots;
}

// Without a free slot, or with a stated reason, another server may well serve
// the call, and such rejections are too few to use up the budget.
bool worthRepeat(const RejectedCall &Call, bool BudgetLow,
                 core::TimePoint Now) noexcept {
  return Now < Call.Objective || !BudgetLow || !rejectedWithFreeSlot(Call);
}

std::optional<core::TimePoint> returnTime(const RejectedCall &Call,
                                          core::TimePoint Now, double Spread) {
  if (!rejectedWithFreeSlot(Call) || Now >= Call.Objective ||
      Call.Objective == core::TimePoint::max())
    return std::nullopt;
  const auto Left = std::chrono::duration_cast<std::chrono::microseconds>(
      Call.Objective - Now);
  const auto Longest =
      std::clamp(Left / LongestWaitDivisor, MinLongestWait, MaxLongestWait);
  const core::TimePoint Return =
      Now + std::chrono::duration_cast<std::chrono::microseconds>(
                Longest * (0.5 + std::clamp(Spread, 0.0, 1.0) / 2));
  return Call.QuietUntil ? std::max(Return, *Call.QuietUntil) : Return;
}

} // namespace jujubecart::decision
