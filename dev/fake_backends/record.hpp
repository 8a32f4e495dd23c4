#ifndef JUJUBECART_DEV_FAKE_BACKENDS_RECORD_HPP
#define JUJUBECART_DEV_FAKE_BACKENDS_RECORD_HPP

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace jujubecart::dev {

/// @brief How a run on a backend server ended.
enum class RunEnd : std::uint8_t { Running, Completed, Cancelled };

/// @brief One request that a backend server began to run.
struct Run {
  std::uint64_t Draw = 0;
  /// `Idempotency-Key`; empty for lookups.
  std::string OrderKey;
  std::string Server;
  std::chrono::system_clock::time_point Started;
  RunEnd End = RunEnd::Running;
};

/// @brief Everything that ran on any backend server of this process.
class Record {
public:
  /// @brief Adds a run that starts now.
  /// @return Its index.
  [[nodiscard]] std::size_t start(std::uint64_t Draw, std::string OrderKey,
                                  std::string Server);

  /// @brief Notes how a run ended.
  void end(std::size_t Index, RunEnd How) noexcept { Runs[Index].End = How; }

  /// @brief All runs as JSON: draw, order key, server, start in ms, end.
  [[nodiscard]] nlohmann::json json() const;

private:
  std::vector<Run> Runs;
};

} // namespace jujubecart::dev

#endif
