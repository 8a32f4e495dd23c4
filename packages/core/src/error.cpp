#include <jujubecart/core/error.hpp>

#include <string>

namespace jujubecart::core {

namespace internal {

class ErrorCategory final : public std::error_category {
public:
  [[nodiscard]] const char *name() const noexcept override {
    return "jujubecart";
  }

  [[nodiscard]] std::string message(int Code) const override {
    switch (static_cast<Error>(Code)) {
    case Error::NotFound:
      return "not found";
    case Error::Conflict:
      return "version conflict";
    case Error::Unavailable:
      return "unavailable";
    case Error::OutcomeUnknown:
      return "outcome unknown";
    case Error::DeadlineExceeded:
      return "deadline exceeded";
    case Error::Overloaded:
      return "overloaded";
    case Error::OrderRepeated:
      return "idempotency key already used";
    case Error::Cancelled:
      return "cancelled";
    case Error::InvalidArgument:
      return "invalid argument";
    case Error::Malformed:
      return "malformed message";
    case Error::NotReady:
      return "not ready";
    case Error::HistoryLost:
      return "history no longer available";
    case Error::QuotaExceeded:
      return "quota exceeded";
    }
    return "unrecognized error";
  }
};

} // namespace internal

const std::error_category &errorCategory() noexcept {
  static const internal::ErrorCategory Category;
  return Category;
}

std::error_code make_error_code(Error Code) noexcept {
  return {static_cast<int>(Code), errorCategory()};
}

} // namespace jujubecart::core
