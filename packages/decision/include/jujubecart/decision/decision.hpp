#ifndef JUJUBECART_DECISION_DECISION_HPP
#define JUJUBECART_DECISION_DECISION_HPP

#include <jujubecart/core/config.hpp>
#include <jujubecart/core/error.hpp>
#include <jujubecart/decision/pending_call.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace jujubecart::decision {

/// @brief What an ObjectiveDispatcher knew when it decided, for the log.
struct DecisionFacts {
  /// Probability in percent that the objective is met.
  std::uint32_t OnTimePercent = 0;
  /// Last stated pace of the server and its age, if there is one.
  std::optional<std::uint32_t> PacePercent;
  std::chrono::milliseconds PaceAge{0};
  /// Calls on the server before this one.
  std::uint32_t InFlight = 0;
  /// Calls that wait, and those of them that most likely end late.
  std::size_t Waiting = 0;
  std::size_t WaitingLate = 0;
};

/// @brief The call may be sent to a backend server.
struct Granted {
  CallToken Token = 0;
  std::uint64_t GrantId = 0;
  core::BackendServer Server;
  std::optional<DecisionFacts> Facts;
};

/// @brief The call was refused and certainly not run.
struct Rejected {
  CallToken Token = 0;
  core::Error Reason = core::Error::Overloaded;
  std::chrono::milliseconds RetryAfter{0};
  std::optional<DecisionFacts> Facts;
};

/// @brief Answer to one pending call.
using Decision = std::variant<Granted, Rejected>;

/// @brief Decisions in the order in which they were made.
using Decisions = std::vector<Decision>;

} // namespace jujubecart::decision

#endif
