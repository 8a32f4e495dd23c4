#ifndef JUJUBECART_DECISION_INTERNAL_SERVER_LOAD_HPP
#define JUJUBECART_DECISION_INTERNAL_SERVER_LOAD_HPP

#include <jujubecart/core/config.hpp>
#include <jujubecart/decision/internal/health_tracker.hpp>
#include <jujubecart/decision/internal/pace_model.hpp>
#include <jujubecart/decision/internal/saturation_model.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace jujubecart::decision::internal {

/// @brief A granted call that has not been returned.
struct RunningCall {
  std::uint64_t GrantId = 0;
  core::TimePoint Start;
  core::TimePoint Objective = core::TimePoint::max();
  /// Expected time at the usual pace.
  double WorkUs = 0;
  /// Pace of the server at the start, if it was known. It holds until the end
  /// of the call.
  std::optional<std::uint32_t> PacePercent;
  /// Whether the server was saturated at the start.
  bool Saturated = false;
};

/// @brief What an ObjectiveDispatcher knows about one backend server.
struct ServerLoad {
  core::BackendServer Config;
  /// False once the server has left the configuration.
  bool Configured = true;
  HealthTracker Health;
  /// Oldest first.
  std::vector<RunningCall> Calls;
  /// Calls granted by an earlier dispatcher.
  std::uint32_t Adopted = 0;
  std::optional<PaceSample> Pace;
  /// Time of work on this server as a part of the usual time.
  double Speed = 1;
  SaturationModel Saturation;
  /// Smoothed share of calls that failed.
  double FailureRate = 0;
  /// Another process answers at its address.
  bool Replaced = false;
  /// When the last probe was sent, and whether its result is awaited.
  core::TimePoint LastProbe = core::TimePoint::min();
  bool Probing = false;

  [[nodiscard]] std::uint32_t inFlight() const noexcept {
    return static_cast<std::uint32_t>(Calls.size()) + Adopted;
  }
  [[nodiscard]] std::uint32_t slots() const noexcept {
    return Config.Slots == 0 ? 1 : Config.Slots;
  }
  /// @brief Calls that it runs without slowing down: work on shared machines
  /// takes longer when almost all slots are busy.
  [[nodiscard]] std::uint32_t unsaturated() const noexcept {
    constexpr std::uint32_t Percent = 80;
    return std::max(1U, slots() * Percent / 100);
  }
  /// @brief Calls that it gets while others can wait: all slots once it has
  /// shown that it does not slow down.
  [[nodiscard]] std::uint32_t preferredLimit() const noexcept {
    return Saturation.negligible() ? slots() : unsaturated();
  }
  [[nodiscard]] bool active() const noexcept {
    return Configured && Config.State == core::ServerState::Active &&
           !Health.draining() && !Replaced;
  }
};

} // namespace jujubecart::decision::internal

#endif
