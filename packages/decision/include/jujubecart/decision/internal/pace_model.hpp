#ifndef JUJUBECART_DECISION_INTERNAL_PACE_MODEL_HPP
#define JUJUBECART_DECISION_INTERNAL_PACE_MODEL_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/load_report.hpp>

#include <optional>

namespace jujubecart::decision::internal {

/// @brief The pace that a backend server reported last: the time that work
/// takes, in percent of the normal time (higher is slower).
struct PaceSample {
  std::uint32_t Percent = core::LoadReport::NormalPacePercent;
  /// When the report was received.
  core::TimePoint At;

  /// @brief Whether the sample is recent enough to still be valid.
  [[nodiscard]] bool fresh(core::TimePoint Now) const noexcept {
    constexpr std::chrono::milliseconds MaxAge{40};
    return Now - At <= MaxAge;
  }
};

/// @brief Models the effect of noisy neighbours on shared machines: a server
/// runs at its normal pace except in slow periods, in which work takes several
/// times as long. Learned over all servers of a group.
class PaceModel {
public:
  /// @brief Records a pace report of any server.
  /// @param Percent Time that work takes, in percent of the normal time.
  void record(std::uint32_t Percent, core::TimePoint Now);

  /// @brief Whether any server has reported its pace within the last second.
  [[nodiscard]] bool reported(core::TimePoint Now) const noexcept;

  /// @brief Probability that a server is in a slow period.
  /// @param Last Its last report; without one, the average share applies.
  [[nodiscard]] double slowProbability(const std::optional<PaceSample> &Last,
                                       core::TimePoint Now) const;

  /// @brief Factor by which work takes longer in a slow period.
  [[nodiscard]] double slowFactor() const noexcept { return SlowFactor; }

  /// @brief Mean factor on service times over slow and normal periods.
  [[nodiscard]] double meanSlowdown() const noexcept {
    return 1 + SlowShare * (SlowFactor - 1);
  }

  /// @brief Share of the time in which a server is not in a slow period; at
  /// least a tenth.
  [[nodiscard]] double normalShare() const noexcept;

  /// @brief Whether a reported pace indicates a slow period.
  [[nodiscard]] static bool isSlow(std::uint32_t Percent) noexcept;

private:
  /// Share of reports that indicate a slow period.
  double SlowShare = 0.1;
  double SlowFactor = 3;
  std::optional<core::TimePoint> LastReport;
};

} // namespace jujubecart::decision::internal

#endif
