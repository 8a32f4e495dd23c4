#ifndef JUJUBECART_DECISION_PROBE_RESULT_HPP
#define JUJUBECART_DECISION_PROBE_RESULT_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/load_report.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace jujubecart::decision {

/// @brief State of a backend server as found by a health probe. Unreachable
/// also stands for an invalid response; Cold means that the server asks for a
/// slow start.
enum class ProbeState : std::uint8_t { Unreachable, Ok, Draining, Cold };

/// @brief Result of one health probe.
struct ProbeResult {
  ProbeState State = ProbeState::Unreachable;
  /// Load that the server reported in its response headers, if any.
  std::optional<core::LoadReport> Load;
  /// Time from the request to the response; 0 if unknown.
  std::chrono::microseconds RoundTrip{0};
  /// The server stated that it is cold until this time.
  std::optional<core::TimePoint> ColdUntil;
};

} // namespace jujubecart::decision

#endif
