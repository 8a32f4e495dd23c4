#ifndef JUJUBECART_DECISION_INTERNAL_SERVER_RECORD_HPP
#define JUJUBECART_DECISION_INTERNAL_SERVER_RECORD_HPP

#include <jujubecart/core/config.hpp>
#include <jujubecart/decision/internal/health_tracker.hpp>
#include <jujubecart/decision/internal/server_rate_limiter.hpp>

#include <cstdint>
#include <vector>

namespace jujubecart::decision::internal {

/// @brief A call whose grant has not been returned.
struct OutstandingCall {
  std::uint64_t GrantId = 0;
  /// Time of the grant.
  core::TimePoint Start;
  /// Incarnation of the server at that time.
  std::uint64_t Incarnation = 0;
  /// Whether the server was cold at that time.
  bool Cold = false;
};

/// @brief State that a GroupDispatcher keeps about one backend server.
struct ServerRecord {
  /// Value of Bucket for a server that may get no call now.
  static constexpr int NoBucket = -1;

  core::BackendServer Config;
  /// False after the server was removed from the configuration; the record
  /// stays, because indices must not change.
  bool Configured = true;
  HealthTracker Health;
  /// Calls granted by this dispatcher, oldest first.
  std::vector<OutstandingCall> Calls;
  /// Number of calls in flight that an earlier dispatcher granted.
  std::uint32_t Adopted = 0;
  /// Moving average of the service time in microseconds; 0 before the first
  /// sample.
  double ServiceUs = 0;
  /// When a grant was last returned with a result.
  core::TimePoint LastRelease;
  /// Set when a response arrives after too much busy time without one, cleared
  /// by a fast response.
  bool Suspect = false;
  ServerRateLimiter Limiter;
  /// When a probe was last sent.
  core::TimePoint LastProbe;
  /// Number that ServerTable assigned to the server's availability zone.
  std::uint32_t Zone = 0;

  /// Bucket of ServerTable that lists the server, and the indices of its
  /// neighbors in the circular list.
  int Bucket = NoBucket;
  std::uint32_t Previous = 0;
  std::uint32_t Next = 0;

  /// @brief Calls in flight, adopted calls included.
  [[nodiscard]] std::uint32_t inFlight() const noexcept {
    return static_cast<std::uint32_t>(Calls.size()) + Adopted;
  }
  /// @brief Configured slots, at least 1.
  [[nodiscard]] std::uint32_t slots() const noexcept {
    return Config.Slots == 0 ? 1 : Config.Slots;
  }
  /// @brief Whether the server is configured and neither the operators nor the
  /// server itself set it to draining. It may be unhealthy or ejected.
  [[nodiscard]] bool active() const noexcept {
    return Configured && Config.State == core::ServerState::Active &&
           !Health.draining();
  }
};

} // namespace jujubecart::decision::internal

#endif
