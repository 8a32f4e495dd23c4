#ifndef JUJUBECART_DECISION_INTERNAL_SERVER_LOAD_HPP
#define JUJUBECART_DECISION_INTERNAL_SERVER_LOAD_HPP

#include <jujubecart/core/config.hpp>
#include <jujubecart/decision/internal/failure_rate.hpp>
#include <jujubecart/decision/internal/health_tracker.hpp>
#include <jujubecart/decision/internal/idle_connections.hpp>
#include <jujubecart/decision/internal/pace_model.hpp>
#include <jujubecart/decision/internal/saturation_model.hpp>
#include <jujubecart/decision/internal/server_rate_limiter.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace jujubecart::decision::internal {

/// @brief A call in flight: granted and not yet released.
struct RunningCall {
  std::uint64_t GrantId = 0;
  /// Hash of the id of the VM that sends the call.
  std::uint64_t Holder = 0;
  /// Incarnation of the server when the call started.
  std::uint64_t Incarnation = 0;
  core::TimePoint Start;
  core::TimePoint Objective = core::TimePoint::max();
  /// Expected service time at the normal pace on an average server.
  double ExpectedUs = 0;
  /// Pace of the server when the call started, if it was known; assumed to
  /// apply until the call ends.
  std::optional<std::uint32_t> PacePercent;
  /// Whether the server was cold when the call started.
  bool Cold = false;
  /// Whether this call took the server above its unsaturated limit.
  bool Saturated = false;
  /// When a later call took the server above that limit, if one did.
  std::optional<core::TimePoint> JoinedAt;
};

/// @brief State that an ObjectiveDispatcher keeps for one backend server.
struct ServerLoad {
  core::BackendServer Config;
  /// False once the server has left the configuration.
  bool Configured = true;
  HealthTracker Health;
  /// Calls granted by this dispatcher, oldest first.
  std::vector<RunningCall> Calls;
  /// Number of calls in flight that an earlier dispatcher granted.
  std::uint32_t Adopted = 0;
  std::optional<PaceSample> Pace;
  /// Factor on service times on this server; above 1 is slower than average.
  double ServiceTimeFactor = 1;
  SaturationModel Saturation;
  FailureRate Failures;
  /// The part of Failures that the server rejected with a free slot.
  FailureRate Rejections;
  /// Connections of the entry VMs to this server.
  IdleConnections Connections;
  /// Whether another process now answers at its address. It gets no calls
  /// until its configuration changes.
  bool Replaced = false;
  ServerRateLimiter Limiter;
  /// When the last probe was requested, and whether its result is pending.
  core::TimePoint LastProbe = core::TimePoint::min();
  bool ProbePending = false;
  /// Whether it left a probe unanswered and has answered nothing since;
  /// false without a price of bytes between zones.
  bool Silent = false;

  [[nodiscard]] std::uint32_t inFlight() const noexcept {
    return static_cast<std::uint32_t>(Calls.size()) + Adopted;
  }
  [[nodiscard]] std::uint32_t slots() const noexcept {
    return Config.Slots == 0 ? 1 : Config.Slots;
  }
  /// @brief Number of calls that the server runs without slowing down. On
  /// shared machines service times rise when almost all slots are busy.
  [[nodiscard]] std::uint32_t unsaturatedLimit() const noexcept {
    constexpr std::uint32_t Percent = 80;
    return std::max(1U, slots() * Percent / 100);
  }
  /// @brief Limit of calls in flight while further calls can wait: all slots
  /// if the server was found not to slow down, else the unsaturated limit.
  [[nodiscard]] std::uint32_t preferredLimit() const noexcept {
    return Saturation.negligible() ? slots() : unsaturatedLimit();
  }
  /// @brief Whether the server may get calls, ejection aside.
  [[nodiscard]] bool active() const noexcept {
    return Configured && Config.State == core::ServerState::Active &&
           !Health.draining() && !Replaced;
  }
};

} // namespace jujubecart::decision::internal

#endif
