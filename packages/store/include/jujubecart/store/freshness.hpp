#ifndef JUJUBECART_STORE_FRESHNESS_HPP
#define JUJUBECART_STORE_FRESHNESS_HPP

#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/config_freshness.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>

namespace jujubecart::store {

/// @brief Times of a read of the store, from which follows up to when its
/// answer is complete. The instants are on Clock::uptime(), so that the time in
/// which this VM is suspended counts.
class StoreRead {
public:
  /// @param Time Gives the time of the request, which is now.
  /// @param WaitUntil On Clock::now(); the store holds its answer until then
  /// unless there are changes. The present for a read without a wait.
  StoreRead(const core::Clock &Time, core::TimePoint WaitUntil) noexcept;

  /// @brief Instant before which every accepted change is known with the
  /// answer; called when the answer has arrived.
  /// @param HasEntries Whether the answer has entries.
  [[nodiscard]] std::chrono::milliseconds
  completeUntil(bool HasEntries) const noexcept;

private:
  const core::Clock &Time;
  std::chrono::milliseconds RequestedAt;
  core::TimePoint WaitUntil;
  std::chrono::milliseconds Wait;
};

/// @brief Latest instant up to which this VM's configuration is complete.
/// Thread-safe.
class FreshnessRecord final : public core::ConfigFreshness {
public:
  /// @brief Records that the configuration that is in force now is complete up
  /// to an instant; an earlier one than before changes nothing.
  void raise(std::chrono::milliseconds CompleteUntil) noexcept;

  [[nodiscard]] std::optional<std::chrono::milliseconds>
  completeUntil() const noexcept override;

private:
  static constexpr std::int64_t Unknown = INT64_MIN;

  std::atomic<std::int64_t> CompleteUntilMs{Unknown};
};

} // namespace jujubecart::store

#endif
