#include <jujubecart/decision/internal/work_model.hpp>

#include <jujubecart/decision/internal/microseconds.hpp>

#include <algorithm>
#include <cmath>

namespace jujubecart::decision::internal {

namespace {

// Objectives are usually set to two to three times the service time; gives the
// estimate for a work class without samples.
constexpr double ServiceTimePerObjective = 0.4;
// Assumed before the first call, for calls without an objective.
constexpr double InitialServiceTimeUs = 50000;
// Length of the moving averages: with more samples than this, the weight of a
// new sample no longer shrinks.
constexpr std::size_t MaxSamples = 40;
// Standard deviation of the logarithm of service times within a class.
constexpr double LogStdDev = 0.35;

} // namespace

double WorkModel::expectedServiceTimeUs(const PendingCall &Call,
                                        core::TimePoint Now) const {
  const auto Found = Classes.find(Call.WorkClass);
  if (Found != Classes.end())
    return Found->second.MeanUs;
  if (Call.Objective != core::TimePoint::max() && Call.Objective > Now)
    return ServiceTimePerObjective * microseconds(Call.Objective - Now);
  return Samples > 0 ? MeanServiceTimeUs : InitialServiceTimeUs;
}

void WorkModel::record(std::uint64_t WorkClass, double ServiceTimeUs) {
  Estimate &Class = Classes[WorkClass];
  Class.Samples = std::min(Class.Samples + 1, MaxSamples);
  Class.MeanUs += (ServiceTimeUs - Class.MeanUs) / double(Class.Samples);
  Samples = std::min(Samples + 1, MaxSamples);
  MeanServiceTimeUs += (ServiceTimeUs - MeanServiceTimeUs) / double(Samples);
}

double WorkModel::completionProbability(double ExpectedUs, double AvailableUs) {
  if (AvailableUs <= 0)
    return 0;
  // Cumulative distribution function of a log-normal distribution.
  const double Deviations = std::log(AvailableUs / ExpectedUs) / LogStdDev;
  return 0.5 * std::erfc(-Deviations / std::sqrt(2.0));
}

} // namespace jujubecart::decision::internal
