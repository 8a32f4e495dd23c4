#ifndef JUJUBECART_DEV_LOAD_RESULTS_HPP
#define JUJUBECART_DEV_LOAD_RESULTS_HPP

#include "common/experiment.hpp"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace jujubecart::dev {

/// @brief What a caller learned about one request.
enum class Answer : std::uint8_t {
  /// The complete response to this request.
  Complete,
  /// `X-Outcome: not-run`.
  NotRun,
  /// `X-Outcome: unknown`.
  Unknown,
  /// A response without the required `X-Outcome`.
  Unlabelled,
  /// A 200 response with the wrong token or length.
  Wrong,
  /// The connection closed before the response was complete.
  Cut,
  /// Nothing arrived until half a second after the deadline.
  Silent,
  /// No entry VM accepted a connection.
  NoConnection,
};

/// @brief Result of one request.
struct Sample {
  std::uint32_t Arrival = 0;
  Answer Kind = Answer::Silent;
  std::uint16_t Status = 0;
  std::uint16_t Entry = 0;
  /// From the moment the request was due.
  float LatencyMs = 0.0F;
  /// How much later than due it was handed to the sender.
  float LateMs = 0.0F;
};

/// @brief Readable name of an answer.
[[nodiscard]] const char *toString(Answer Kind) noexcept;

/// @brief Summarizes samples: counts, percentiles and windows over time.
[[nodiscard]] nlohmann::json summarize(const Experiment &Plan,
                                       const std::vector<Arrival> &All,
                                       const std::vector<Sample> &Samples);

} // namespace jujubecart::dev

#endif
