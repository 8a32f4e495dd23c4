#include <jujubecart/decision/internal/work_model.hpp>

#include <jujubecart/decision/internal/microseconds.hpp>

#include <algorithm>
#include <cmath>

namespace jujubecart::decision::internal {

namespace {

// Objectives are usually set at two to three times the time of the work.
constexpr double WorkPerObjective = 0.4;
constexpr double InitialUs = 50000;
// Samples after which the weight of one sample no longer shrinks.
constexpr std::size_t MemorySamples = 40;
// Spread of the logarithm of service times within a class.
constexpr double LogSpread = 0.35;

} // namespace

double WorkModel::expectedUs(const PendingCall &Call,
                             core::TimePoint Now) const {
  const auto Found = Classes.find(Call.WorkClass);
  if (Found != Classes.end())
    return Found->second.Us;
  if (Call.Objective != core::TimePoint::max() && Call.Objective > Now)
    return WorkPerObjective * microseconds(Call.Objective - Now);
  return Samples > 0 ? MeanUs : InitialUs;
}

void WorkModel::record(std::uint64_t WorkClass, double NormalUs) {
  Estimate &Known = Classes[WorkClass];
  Known.Samples = std::min(Known.Samples + 1, MemorySamples);
  Known.Us += (NormalUs - Known.Us) / double(Known.Samples);
  Samples = std::min(Samples + 1, MemorySamples);
  MeanUs += (NormalUs - MeanUs) / double(Samples);
}

double WorkModel::endsWithin(double ExpectedUs, double AvailableUs) {
  if (AvailableUs <= 0)
    return 0;
  // Distribution function of a log-normal time.
  const double Deviations = std::log(AvailableUs / ExpectedUs) / LogSpread;
  return 0.5 * std::erfc(-Deviations / std::sqrt(2.0));
}

} // namespace jujubecart::decision::internal
