#ifndef JUJUBECART_DEV_LOAD_RESULTS_HPP
#define JUJUBECART_DEV_LOAD_RESULTS_HPP

#include "common/experiment.hpp"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace jujubecart::dev {

/// @brief Outcome of one request as its caller saw it.
enum class CallOutcome : std::uint8_t {
  /// A 200 response with the body that belongs to this request.
  Complete,
  /// `X-Outcome: not-run`.
  NotRun,
  /// `X-Outcome: unknown`.
  Unknown,
  /// A response other than 200 that lacks the required `X-Outcome`.
  Unlabelled,
  /// A 200 response with another body than the expected one.
  Wrong,
  /// The connection failed before the response was complete.
  Cut,
  /// No complete response until half a second after the deadline.
  Silent,
  /// No entry VM accepted a connection.
  NoConnection,
};

/// @brief Result of one request of the load generator.
struct CallResult {
  /// Index into the arrivals.
  std::uint32_t ArrivalIndex = 0;
  CallOutcome Outcome = CallOutcome::Silent;
  /// HTTP status; 0 without a response.
  std::uint16_t Status = 0;
  /// Index into Experiment::Entries.
  std::uint16_t EntryIndex = 0;
  /// Time from the due time to the outcome.
  float LatencyMs = 0.0F;
  /// Delay of the load generator itself: from the due time to the start of
  /// sending.
  float LatenessMs = 0.0F;
};

/// @brief Name of an outcome in the printed results.
[[nodiscard]] const char *toString(CallOutcome Outcome) noexcept;

/// @brief Summarizes results as JSON: outcome counts and latency percentiles in
/// total, by service, by segment and by time window.
[[nodiscard]] nlohmann::json summarize(const Experiment &Plan,
                                       const std::vector<Arrival> &Arrivals,
                                       const std::vector<CallResult> &Results);

} // namespace jujubecart::dev

#endif
