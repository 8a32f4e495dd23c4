#ifndef JUJUBECART_CALLERS_SRC_BODY_BUDGET_HPP
#define JUJUBECART_CALLERS_SRC_BODY_BUDGET_HPP

#include <atomic>
#include <cstddef>

namespace jujubecart::callers::internal {

/// @brief Limits the memory of all request bodies that are buffered beyond the
/// part that every request may buffer. Thread-safe.
class BodyBudget {
public:
  /// @param Limit Bytes that may be taken in total.
  explicit BodyBudget(std::size_t Limit) noexcept : Left(Limit) {}

  /// @brief Takes a number of bytes.
  /// @return False, and nothing is taken, if fewer are left.
  [[nodiscard]] bool tryTake(std::size_t Bytes) noexcept {
    std::size_t Current = Left;
    while (Current >= Bytes)
      if (Left.compare_exchange_weak(Current, Current - Bytes))
        return true;
    return false;
  }

  /// @brief Returns bytes that were taken.
  void giveBack(std::size_t Bytes) noexcept { Left += Bytes; }

  [[nodiscard]] std::size_t left() const noexcept { return Left; }

private:
  std::atomic<std::size_t> Left;
};

} // namespace jujubecart::callers::internal

#endif
