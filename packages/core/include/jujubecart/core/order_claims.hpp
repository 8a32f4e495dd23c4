#ifndef JUJUBECART_CORE_ORDER_CLAIMS_HPP
#define JUJUBECART_CORE_ORDER_CLAIMS_HPP

#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/error.hpp>
#include <jujubecart/core/hash.hpp>
#include <jujubecart/core/request_id.hpp>

#include <string>

namespace jujubecart::core {

/// @brief Binds idempotency keys to requests.
class OrderClaims {
public:
  virtual ~OrderClaims() = default;

  /// @brief Binds a key to a request; repeating the same pair succeeds.
  /// @return Success, OrderRepeated if another request holds the key, or
  /// Unavailable if the claim could not be recorded.
  [[nodiscard]] virtual Awaitable<Result<void>> claim(std::string Service,
                                                      OrderKey Key,
                                                      RequestId Request,
                                                      TimePoint Deadline) = 0;

  /// @brief Frees the key of a request that certainly was not run.
  virtual void release(const std::string &Service, OrderKey Key,
                       RequestId Request) noexcept = 0;
};

} // namespace jujubecart::core

#endif
