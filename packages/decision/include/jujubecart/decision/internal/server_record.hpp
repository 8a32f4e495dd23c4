#ifndef JUJUBECART_DECISION_INTERNAL_SERVER_RECORD_HPP
#define JUJUBECART_DECISION_INTERNAL_SERVER_RECORD_HPP

#include <jujubecart/core/config.hpp>
#include <jujubecart/decision/internal/health_tracker.hpp>

#include <cstdint>
#include <vector>

namespace jujubecart::decision::internal {

/// @brief A granted call that has not been returned.
struct Outstanding {
  std::uint64_t GrantId = 0;
  core::TimePoint Start;
};

/// @brief What a dispatcher knows about one backend server.
struct ServerRecord {
  /// Bucket of a server that can take no call.
  static constexpr int NoBucket = -1;

  core::BackendServer Config;
  /// False once the server has left the configuration.
  bool Configured = true;
  HealthTracker Health;
  /// Oldest first.
  std::vector<Outstanding> Calls;
  /// Calls granted by an earlier dispatcher.
  std::uint32_t Adopted = 0;
  /// Estimated service time in microseconds; 0 before the first sample.
  double ServiceUs = 0;
  core::TimePoint LastRelease;
  /// Set by too much busy time without a response, cleared by a fast one.
  bool Slow = false;
  core::TimePoint LastProbe;
  std::uint32_t Zone = 0;

  int Bucket = NoBucket;
  std::uint32_t Previous = 0;
  std::uint32_t Next = 0;

  [[nodiscard]] std::uint32_t inFlight() const noexcept {
    return static_cast<std::uint32_t>(Calls.size()) + Adopted;
  }
  [[nodiscard]] std::uint32_t slots() const noexcept {
    return Config.Slots == 0 ? 1 : Config.Slots;
  }
  /// @brief Whether the server may get calls as far as operators and the
  /// server itself are concerned.
  [[nodiscard]] bool active() const noexcept {
    return Configured && Config.State == core::ServerState::Active &&
           !Health.draining();
  }
};

} // namespace jujubecart::decision::internal

#endif
