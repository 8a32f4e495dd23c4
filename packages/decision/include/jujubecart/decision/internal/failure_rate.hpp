#ifndef JUJUBECART_DECISION_INTERNAL_FAILURE_RATE_HPP
#define JUJUBECART_DECISION_INTERNAL_FAILURE_RATE_HPP

#include <jujubecart/core/clock.hpp>

namespace jujubecart::decision::internal {

/// @brief Recent share of calls that a backend server failed or rejected. It
/// decays over time, so that a server that got no calls is tried again.
class FailureRate {
public:
  void record(bool Failed, core::TimePoint Now) noexcept;

  /// @brief Share of failed calls, between 0 and 1.
  [[nodiscard]] double value(core::TimePoint Now) const noexcept;

private:
  /// Moving average at the time of LastResult.
  double Average = 0;
  core::TimePoint LastResult;
};

/// @brief Failure rates of the servers of a group together. Tells servers that
/// fail more than others from ones that all fail by chance, whose rates differ
/// only because each is known from few calls.
class CommonFailures {
public:
  /// @brief Adds the failure rate of one server.
  void add(double Rate) noexcept;

  /// @brief Part of the difference between the servers that is not chance,
  /// between 0 and 1.
  [[nodiscard]] double trust() const noexcept;

  /// @brief Failure rate to expect of a server.
  /// @param Rate Its own rate.
  [[nodiscard]] double expected(double Rate) const noexcept;

private:
  [[nodiscard]] double mean() const noexcept;

  double Count = 0;
  double Sum = 0;
  double SumOfSquares = 0;
};

} // namespace jujubecart::decision::internal

#endif
