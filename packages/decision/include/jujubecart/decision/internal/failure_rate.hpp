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

/// @brief Shares of calls that the servers of a group reject with free slots.
/// Distinguishes servers that reject more calls than others from servers that
/// all reject with the same probability, whose measured shares differ because
/// each is known from few calls.
class CommonFailures {
public:
  /// @brief Adds the share of one server.
  void add(double Rate) noexcept;

  /// @brief Weight of a server's own share against the mean of all, from 0 if
  /// the differences can be explained by chance to 1. It is 1 for fewer than
  /// eight servers, and while at most half of them reject calls.
  [[nodiscard]] double ownWeight() const noexcept;

  /// @brief Share of rejected calls to expect of a server.
  /// @param Rate Its own share.
  [[nodiscard]] double expected(double Rate) const noexcept;

private:
  [[nodiscard]] double mean() const noexcept;

  double Count = 0;
  double Rejecting = 0;
  double Sum = 0;
  double SumOfSquares = 0;
};

} // namespace jujubecart::decision::internal

#endif
