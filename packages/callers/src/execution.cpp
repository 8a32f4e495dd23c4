#include "execution.hpp"

#include <algorithm>

namespace jujubecart::callers::internal {

ExecutionState
ExecutionState::afterAttempt(core::CallOutcome Outcome) const noexcept {
  Progress Attempt = Progress::Possible;
  if (Outcome == core::CallOutcome::Rejected)
    Attempt = Progress::Refused;
  else if (core::certainlyNotRun(Outcome))
    Attempt = Progress::NotSent;
  return {std::max(Stage, Attempt), KeyRepeated};
}

ExecutionState ExecutionState::afterRepeatedKey() const noexcept {
  return {Stage, true};
}

std::string_view ExecutionState::name() const noexcept {
  switch (Stage) {
  case Progress::NotSent:
    return "not_sent";
  case Progress::Refused:
    return "refused";
  case Progress::Possible:
    break;
  }
  return "possible";
}

bool promisesTooMuch(unsigned Status, bool Idempotent,
                     const ExecutionState &Known,
                     const core::HttpProfile &Profile) noexcept {
  return !Idempotent && !Known.certainlyNotRun() &&
         Profile.promisesNotRun(Status);
}

} // namespace jujubecart::callers::internal
