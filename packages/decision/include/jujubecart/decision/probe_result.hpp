#ifndef JUJUBECART_DECISION_PROBE_RESULT_HPP
#define JUJUBECART_DECISION_PROBE_RESULT_HPP

#include <jujubecart/core/load_report.hpp>

#include <cstdint>
#include <optional>

namespace jujubecart::decision {

/// @brief What a health endpoint said.
enum class ProbeState : std::uint8_t { Unreachable, Ok, Draining, Cold };

/// @brief Result of one health probe.
struct ProbeResult {
  ProbeState State = ProbeState::Unreachable;
  /// Load as stated in the header fields.
  std::optional<core::LoadReport> Load;
};

} // namespace jujubecart::decision

#endif
