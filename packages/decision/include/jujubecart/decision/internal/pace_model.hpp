#ifndef JUJUBECART_DECISION_INTERNAL_PACE_MODEL_HPP
#define JUJUBECART_DECISION_INTERNAL_PACE_MODEL_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/load_report.hpp>

#include <optional>

namespace jujubecart::decision::internal {

/// @brief What a backend server last said of its pace.
struct PaceSample {
  std::uint32_t Percent = core::LoadReport::UsualPace;
  core::TimePoint At;

  /// @brief Whether it most likely still holds.
  [[nodiscard]] bool fresh(core::TimePoint Now) const noexcept {
    constexpr std::chrono::milliseconds Lasts{40};
    return Now - At <= Lasts;
  }
};

/// @brief Models noisy neighbours: a server works at its usual pace or, in
/// spells, several times as slowly.
class PaceModel {
public:
  /// @brief Records what a server said.
  void record(std::uint32_t Percent);

  /// @brief Probability that a server is in a slow spell.
  /// @param Last What it last said, if anything.
  [[nodiscard]] double slowProbability(const std::optional<PaceSample> &Last,
                                       core::TimePoint Now) const;

  /// @brief Factor by which work takes longer in a slow spell.
  [[nodiscard]] double slowFactor() const noexcept { return SlowFactor; }

  /// @brief Mean factor over all servers and times.
  [[nodiscard]] double meanFactor() const noexcept {
    return 1 + SlowShare * (SlowFactor - 1);
  }

  /// @brief Whether a stated pace means a slow spell.
  [[nodiscard]] static bool isSlow(std::uint32_t Percent) noexcept;

private:
  double SlowShare = 0.1;
  double SlowFactor = 3;
};

} // namespace jujubecart::decision::internal

#endif
