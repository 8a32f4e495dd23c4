#ifndef JUJUBECART_APPS_JUJUBECTL_EXIT_CODE_HPP
#define JUJUBECART_APPS_JUJUBECTL_EXIT_CODE_HPP

namespace jujubectl {

/// @brief Exit codes of `jujubectl`; docs/operators.md lists them.
enum ExitCode : int {
  Success = 0,
  /// The fleet rejected the request: another ticket came first, the ticket
  /// number was reused, or nothing was found.
  Rejected = 1,
  /// Wrong arguments, or a file with invalid content.
  InvalidInput = 2,
  /// Nothing was changed: the endpoint or the store cannot be reached.
  Unavailable = 3,
  /// The ticket may or may not have been accepted.
  OutcomeUnknown = 4,
  /// Accepted, but not in force on every live VM when the wait ended.
  NotYetInForce = 5,
};

} // namespace jujubectl

#endif
