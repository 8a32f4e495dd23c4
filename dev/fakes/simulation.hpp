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

/// @brief Clock that only advances when the simulation advances it.
class SimulatedClock final : public core::Clock {
public:
  [[nodiscard]] core::TimePoint now() const noexcept override { return Now; }
  [[nodiscard]] core::WallTime wallNow() const noexcept override;

  /// @brief Sets the current time; called by the simulation only.
  void advanceTo(core::TimePoint Instant) noexcept { Now = Instant; }

private:
  core::TimePoint Now{std::chrono::seconds(1000)};
};

/// @brief Runs coroutines in simulated time: single-threaded and deterministic
/// for a seed.
class Simulation final : public core::Sleeper {
public:
  explicit Simulation(std::uint64_t Seed) : Engine(Seed) {}

  [[nodiscard]] boost::asio::io_context &context() noexcept { return Context; }
  [[nodiscard]] const core::Clock &clock() const noexcept {
    return ManualClock;
  }
  [[nodiscard]] core::TimePoint now() const noexcept {
    return ManualClock.now();
  }

  [[nodiscard]] core::Awaitable<void>
  sleepUntil(core::TimePoint Instant) override;

  /// @brief Sleeps for a number of simulated milliseconds.
  [[nodiscard]] core::Awaitable<void> sleepFor(std::uint64_t Milliseconds);

  /// @brief Suspends the calling coroutine for ever, as a crash of its process
  /// would.
  [[nodiscard]] core::Awaitable<void> suspendForever();

  /// @brief Runs all work that is due up to an instant, then sets the clock to
  /// that instant.
  void runUntil(core::TimePoint End);

  /// @brief Uniform 64-bit random number from the seeded generator.
  [[nodiscard]] std::uint64_t random() { return Engine(); }

  /// @brief Random number from 0 to Bound - 1; Bound must be above 0.
  [[nodiscard]] std::uint64_t below(std::uint64_t Bound) {
    return Engine() % Bound;
  }

  /// @brief True with the given probability in percent.
  [[nodiscard]] bool chance(std::uint64_t Percent) {
    return below(100) < Percent;
  }

private:
  using Timer = boost::asio::steady_timer;

  SimulatedClock ManualClock;
  std::mt19937_64 Engine;
  std::uint64_t Sequence = 0;
  /// Timers of sleeping coroutines, ordered by wake-up time and then by the
  /// order of the calls.
  std::map<std::pair<core::TimePoint, std::uint64_t>, std::weak_ptr<Timer>>
      Sleepers;
  // Declared last to be destroyed first: it owns the suspended coroutines,
  // which refer to the other members.
  boost::asio::io_context Context{1};
};

} // namespace jujubecart::dev

#endif
