#ifndef JUJUBECART_CALLERS_SRC_RESPONSE_TIMES_HPP
#define JUJUBECART_CALLERS_SRC_RESPONSE_TIMES_HPP

#include <jujubecart/core/clock.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <unordered_map>

namespace jujubecart::callers::internal {

/// @brief Longest recent response time of each class of requests. Thread-safe.
class ResponseTimes {
public:
  /// @brief Records the response to one request.
  /// @param WorkClass Identifies requests with similar response times.
  /// @param Elapsed From the first byte sent to the end of the response.
  void record(std::uint64_t WorkClass, std::chrono::microseconds Elapsed,
              core::TimePoint Now);

  /// @brief Longest time recorded in the current and the previous period; zero
  /// if there is none.
  [[nodiscard]] std::chrono::microseconds longest(std::uint64_t WorkClass,
                                                  core::TimePoint Now) const;

  /// @brief Number of classes that are remembered.
  [[nodiscard]] std::size_t size() const;

private:
  struct Entry {
    core::TimePoint PeriodEnd;
    std::chrono::microseconds Current{0};
    std::chrono::microseconds Previous{0};

    /// @brief Starts a new period if the current one has ended.
    void advance(core::TimePoint Now);
    [[nodiscard]] bool outdated(core::TimePoint Now) const;
  };

  mutable std::mutex Mutex;
  /// By work class.
  std::unordered_map<std::uint64_t, Entry> Entries;
};

} // namespace jujubecart::callers::internal

#endif
