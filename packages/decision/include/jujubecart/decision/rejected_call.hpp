#ifndef JUJUBECART_DECISION_REJECTED_CALL_HPP
#define JUJUBECART_DECISION_REJECTED_CALL_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/load_report.hpp>

#include <cstdint>
#include <optional>

namespace jujubecart::decision {

/// @brief A call that a backend server has just rejected without running it.
struct RejectedCall {
  /// Load that the server reported with the rejection.
  std::optional<core::LoadReport> Load;
  /// Slots of the server.
  std::uint32_t Slots = 0;
  /// Latest completion time that meets the latency objective; max if there is
  /// none.
  core::TimePoint Objective = core::TimePoint::max();
  /// Whether the server stated a reason that lasts: it is draining, another
  /// instance answered, or a rate limit applies.
  bool ReasonStated = false;
  /// The server wants no calls before this time.
  std::optional<core::TimePoint> QuietUntil;
};

/// @brief Whether the server rejected the call although it had a free slot, so
/// that the next attempt may succeed at once. False without a load report or if
/// the server stated another reason.
[[nodiscard]] bool rejectedWithFreeSlot(const RejectedCall &Call) noexcept;

/// @brief Whether another attempt is worth a token of the retry budget. While
/// servers with free slots reject calls, tokens become scarce, and a call whose
/// objective has passed has a tenth of its value left.
/// @param BudgetLow Whether the retry budget is nearly used.
[[nodiscard]] bool worthRepeat(const RejectedCall &Call, bool BudgetLow,
                               core::TimePoint Now) noexcept;

/// @brief When the caller should return if no other attempt is made.
/// @param Spread Random number from 0 to 1; callers that are rejected at the
/// same time should not return at the same time.
/// @return Nothing if the server had no free slot or stated a reason, or if the
/// objective has passed or is not set; the caller of this function then uses
/// another estimate.
[[nodiscard]] std::optional<core::TimePoint>
returnTime(const RejectedCall &Call, core::TimePoint Now, double Spread);

} // namespace jujubecart::decision

#endif
