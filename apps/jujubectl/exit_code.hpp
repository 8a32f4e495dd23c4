#ifndef JUJUBECART_APPS_JUJUBECTL_EXIT_CODE_HPP
#define JUJUBECART_APPS_JUJUBECTL_EXIT_CODE_HPP

namespace jujubectl {

/// @brief Exit codes of the shell command; docs/operators.md lists them.
enum ExitCode : int {
  Success = 0,
  /// The system answered no: ticket beaten, number reused, nothing found.
  Rejected = 1,
  /// Usage error or findings in a file.
  InvalidInput = 2,
  /// Nothing was done: the endpoint or the store cannot be reached.
  Unavailable = 3,
  /// The ticket may or may not have been accepted.
  OutcomeUnknown = 4,
  /// Accepted, but not in force on every live VM within the wait.
  NotYetInForce = 5,
};

} // namespace jujubectl

#endif
