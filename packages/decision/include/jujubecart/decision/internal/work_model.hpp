#ifndef JUJUBECART_DECISION_INTERNAL_WORK_MODEL_HPP
#define JUJUBECART_DECISION_INTERNAL_WORK_MODEL_HPP

#include <jujubecart/decision/pending_call.hpp>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace jujubecart::decision::internal {

/// @brief Learns the service time of each work class at the normal pace of an
/// average server.
class WorkModel {
public:
  /// @brief Expected service time of a call in microseconds, at the normal
  /// pace and below saturation. For an unknown class it is derived from the
  /// objective of the call.
  [[nodiscard]] double expectedServiceTimeUs(const PendingCall &Call,
                                             core::TimePoint Now) const;

  /// @brief Mean service time over all classes in microseconds; 0 until the
  /// first call is recorded.
  [[nodiscard]] double meanServiceTimeUs() const noexcept {
    return MeanServiceTimeUs;
  }

  /// @brief Records a completed call.
  /// @param ServiceTimeUs Its service time, corrected for the pace and the
  /// service time factor of its server.
  void record(std::uint64_t WorkClass, double ServiceTimeUs);

  /// @brief Probability that a call ends within a given time.
  /// @param ExpectedUs Its expected service time.
  /// @param AvailableUs Time until it must have ended; 0 or less gives 0.
  [[nodiscard]] static double completionProbability(double ExpectedUs,
                                                    double AvailableUs);

private:
  struct Estimate {
    double MeanUs = 0;
    /// Samples in the moving average, up to its length.
    std::size_t Samples = 0;
  };

  std::unordered_map<std::uint64_t, Estimate> Classes;
  double MeanServiceTimeUs = 0;
  std::size_t Samples = 0;
};

} // namespace jujubecart::decision::internal

#endif
