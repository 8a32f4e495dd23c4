#ifndef JUJUBECART_DEV_FAKES_SIMULATION_HPP
#define JUJUBECART_DEV_FAKES_SIMULATION_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/sleeper.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <utility>

namespace jujubecart::dev {

/// @brief Clock that only the simulation moves.
class SimulatedClock final : public core::Clock {
public:
  [[nodiscard]] core::TimePoint now() const noexcept override { return Now; }
  [[nodiscard]] core::WallTime wallNow() const noexcept override;

  void advanceTo(core::TimePoint Instant) noexcept { Now = Instant; }

private:
  core::TimePoint Now{std::chrono::seconds(1000)};
};

/// @brief Single-threaded, deterministic run of coroutines in simulated time.
class Simulation final : public core::Sleeper {
public:
  explicit Simulation(std::uint64_t Seed) : Engine(Seed) {}

  [[nodiscard]] boost::asio::io_context &context() noexcept { return Context; }
  [[nodiscard]] const core::Clock &clock() const noexcept { return Time; }
  [[nodiscard]] core::TimePoint now() const noexcept { return Time.now(); }

  [[nodiscard]] core::Awaitable<void>
  sleepUntil(core::TimePoint Instant) override;

  /// @brief Sleeps for a time in simulated milliseconds.
  [[nodiscard]] core::Awaitable<void> sleepFor(std::uint64_t Milliseconds);

  /// @brief Suspends for ever, as the coroutines of a dead process do.
  [[nodiscard]] core::Awaitable<void> halt();

  /// @brief Runs until nothing is left to do or the instant is reached; then
  /// sets the clock to it.
  void runUntil(core::TimePoint End);

  /// @brief Seeded random number.
  [[nodiscard]] std::uint64_t random() { return Engine(); }

  /// @brief Seeded random number below a bound.
  [[nodiscard]] std::uint64_t below(std::uint64_t Bound) {
    return Engine() % Bound;
  }

  /// @brief True with a probability in percent.
  [[nodiscard]] bool chance(std::uint64_t Percent) {
    return below(100) < Percent;
  }

private:
  using Timer = boost::asio::steady_timer;

  SimulatedClock Time;
  std::mt19937_64 Engine;
  std::uint64_t Sequence = 0;
  /// Ordered by instant, then by the order of the calls.
  std::map<std::pair<core::TimePoint, std::uint64_t>, std::weak_ptr<Timer>>
      Sleeping;
  // Destroyed first: it owns the suspended coroutines.
  boost::asio::io_context Context{1};
};

} // namespace jujubecart::dev

#endif
