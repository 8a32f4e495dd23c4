#ifndef JUJUBECART_CORE_ORDER_CLAIMS_HPP
#define JUJUBECART_CORE_ORDER_CLAIMS_HPP

#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/error.hpp>
#include <jujubecart/core/hash.hpp>
#include <jujubecart/core/request_id.hpp>

#include <string>

namespace jujubecart::core {

/// @brief Records which request holds an idempotency key, so that an order runs
/// at most once.
class OrderClaims {
public:
  virtual ~OrderClaims() = default;

  /// @brief Claims a key for a request; idempotent for the same pair.
  /// @return Success, OrderRepeated if another request holds the key, or
  /// Unavailable if the claim could not be stored.
  [[nodiscard]] virtual Awaitable<Result<void>> claim(std::string Service,
                                                      OrderKey Key,
                                                      RequestId Request,
                                                      TimePoint Deadline) = 0;

  /// @brief Releases the key of a request that certainly was not executed.
  virtual void release(const std::string &Service, OrderKey Key,
                       RequestId Request) noexcept = 0;
};

} // namespace jujubecart::core

#endif
