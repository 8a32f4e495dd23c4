#ifndef JUJUBECART_DECISION_INTERNAL_WORK_MODEL_HPP
#define JUJUBECART_DECISION_INTERNAL_WORK_MODEL_HPP

#include <jujubecart/decision/pending_call.hpp>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace jujubecart::decision::internal {

/// @brief Learns how long calls of each class take at a server's usual pace.
class WorkModel {
public:
  /// @brief Expected time of a call in microseconds, at the usual pace and
  /// below the saturation of the server.
  [[nodiscard]] double expectedUs(const PendingCall &Call,
                                  core::TimePoint Now) const;

  /// @brief Mean over all calls.
  [[nodiscard]] double meanUs() const noexcept { return MeanUs; }

  /// @brief Records a call.
  /// @param NormalUs Its time with the known causes of delay taken out.
  void record(std::uint64_t WorkClass, double NormalUs);

  /// @brief Probability that work ends within a time.
  /// @param ExpectedUs Its expected time.
  /// @param AvailableUs Time that is available.
  [[nodiscard]] static double endsWithin(double ExpectedUs, double AvailableUs);

private:
  struct Estimate {
    double Us = 0;
    std::size_t Samples = 0;
  };

  std::unordered_map<std::uint64_t, Estimate> Classes;
  double MeanUs = 0;
  std::size_t Samples = 0;
};

} // namespace jujubecart::decision::internal

#endif
