#ifndef JUJUBECART_DECISION_DECISION_HPP
#define JUJUBECART_DECISION_DECISION_HPP

#include <jujubecart/core/config.hpp>
#include <jujubecart/core/error.hpp>
#include <jujubecart/decision/pending_call.hpp>

#include <chrono>
#include <cstdint>
#include <variant>
#include <vector>

namespace jujubecart::decision {

/// @brief The call may be sent to a backend server.
struct Granted {
  CallToken Token = 0;
  std::uint64_t GrantId = 0;
  core::BackendServer Server;
};

/// @brief The call was refused and certainly not run.
struct Rejected {
  CallToken Token = 0;
  core::Error Reason = core::Error::Overloaded;
  std::chrono::milliseconds RetryAfter{0};
};

/// @brief Answer to one pending call.
using Decision = std::variant<Granted, Rejected>;

/// @brief Decisions in the order in which they were made.
using Decisions = std::vector<Decision>;

} // namespace jujubecart::decision

#endif
