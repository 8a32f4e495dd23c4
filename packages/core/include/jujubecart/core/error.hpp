#ifndef JUJUBECART_CORE_ERROR_HPP
#define JUJUBECART_CORE_ERROR_HPP

#include <boost/system/result.hpp>
#include <system_error>

namespace jujubecart::core {

/// @brief Errors that cross package boundaries.
enum class Error {
  NotFound = 1,
  /// A compare-and-swap lost against another writer; nothing was written.
  Conflict,
  /// The peer could not be reached; the operation certainly had no effect.
  Unavailable,
  /// The operation may or may not have taken effect.
  OutcomeUnknown,
  DeadlineExceeded,
  /// Admission control rejected the request; it was not run.
  Overloaded,
  /// The idempotency key is already bound to another request.
  OrderRepeated,
  Cancelled,
  InvalidArgument,
  Malformed,
  NotReady,
  /// The store no longer has all changes that were asked for.
  HistoryLost,
};

/// @brief Category of @ref Error.
/// @return The singleton category.
[[nodiscard]] const std::error_category &errorCategory() noexcept;

/// @brief Converts to `std::error_code`; found by argument-dependent lookup.
/// @param Code The error.
/// @return The error code.
[[nodiscard]] std::error_code make_error_code(Error Code) noexcept;

/// @brief A value or a `std::error_code`.
template <typename T> using Result = boost::system::result<T, std::error_code>;

} // namespace jujubecart::core

template <>
struct std::is_error_code_enum<jujubecart::core::Error> : std::true_type {};

#endif
