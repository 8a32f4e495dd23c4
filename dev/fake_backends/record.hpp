#ifndef JUJUBECART_DEV_FAKE_BACKENDS_RECORD_HPP
#define JUJUBECART_DEV_FAKE_BACKENDS_RECORD_HPP

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace jujubecart::dev {

/// @brief State of a run on a backend server; its final value says how it
/// ended.
enum class RunEnd : std::uint8_t { Running, Completed, Cancelled };

/// @brief One request that took a slot of a backend server.
struct Run {
  std::uint64_t Draw = 0;
  /// `Idempotency-Key`; empty for lookups.
  std::string OrderKey;
  /// Id of the backend server.
  std::string Server;
  std::chrono::system_clock::time_point Started;
  RunEnd End = RunEnd::Running;
};

/// @brief All runs on the backend servers of this process, in order of start.
/// The load generator checks the results of its callers against them.
class RunRecord {
public:
  /// @brief Adds a run that starts now.
  /// @return Its index, for @ref finish.
  [[nodiscard]] std::size_t start(std::uint64_t Draw, std::string OrderKey,
                                  std::string Server);

  /// @brief Sets how a run ended.
  void finish(std::size_t Index, RunEnd End) noexcept { Runs[Index].End = End; }

  /// @brief All runs as JSON arrays of draw, order key, server id, start in
  /// Unix milliseconds, and end.
  [[nodiscard]] nlohmann::json toJson() const;

private:
  std::vector<Run> Runs;
};

} // namespace jujubecart::dev

#endif
