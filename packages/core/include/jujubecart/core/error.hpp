#ifndef JUJUBECART_CORE_ERROR_HPP
#define JUJUBECART_CORE_ERROR_HPP

#include <boost/system/result.hpp>
#include <system_error>

namespace jujubecart::core {

/// @brief Errors that the interfaces of the packages return.
enum class Error {
  NotFound = 1,
  /// The version was not the expected one; nothing was written.
  Conflict,
  /// The remote side was not reached; the operation certainly had no effect.
  Unavailable,
  /// The operation may or may not have taken effect.
  OutcomeUnknown,
  DeadlineExceeded,
  /// Admission control rejected the request; it was not executed.
  Overloaded,
  /// The idempotency key is already bound to another request.
  OrderRepeated,
  Cancelled,
  InvalidArgument,
  Malformed,
  NotReady,
  /// The store no longer has all of the requested changes.
  HistoryLost,
  /// The workspace has used its quota; the request was not executed.
  QuotaExceeded,
};

/// @brief The `std::error_category` of @ref Error, a singleton.
[[nodiscard]] const std::error_category &errorCategory() noexcept;

/// @brief Converts to `std::error_code`; the standard library finds it by
/// argument-dependent lookup.
[[nodiscard]] std::error_code make_error_code(Error Code) noexcept;

/// @brief Either a value or a `std::error_code`.
template <typename T> using Result = boost::system::result<T, std::error_code>;

} // namespace jujubecart::core

template <>
struct std::is_error_code_enum<jujubecart::core::Error> : std::true_type {};

#endif
