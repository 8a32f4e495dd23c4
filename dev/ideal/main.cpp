#include "common/percentiles.hpp"
#include "ideal/replay.hpp"

#include <iostream>
#include <stdexcept>

using namespace jujubecart::dev;
using nlohmann::json;

namespace {

json replayExperiment(const std::string &File) {
  const Experiment Plan = readExperiment(File);
  for (const ServiceLoad &Service : Plan.Services)
    if (Service.SlotZones.empty())
      throw std::invalid_argument("service \"" + Service.Name +
                                  "\" has no slot_zones");
  const std::vector<Arrival> Arrivals = generateArrivals(Plan);
  const std::vector<double> Latencies = replay(Plan, Arrivals);
  std::vector<double> TimedLatencies;
  std::vector<std::vector<double>> LatenciesByService(Plan.Services.size());
  for (std::size_t Index = 0; Index < Arrivals.size(); ++Index) {
    if (Arrivals[Index].Due < Plan.Warmup)
      continue;
    TimedLatencies.push_back(Latencies[Index]);
    LatenciesByService[Arrivals[Index].ServiceIndex].push_back(
        Latencies[Index]);
  }
  json Services = json::object();
  for (std::size_t Index = 0; Index < LatenciesByService.size(); ++Index)
    Services[Plan.Services[Index].Name] =
        summarizeLatencies(LatenciesByService[Index]);
  json Segments = json::object();
  for (const Segment &Part : Plan.Segments) {
    std::vector<double> SegmentLatencies;
    for (std::size_t Index = 0; Index < Arrivals.size(); ++Index)
      if (Arrivals[Index].Due >= Part.From && Arrivals[Index].Due < Part.To)
        SegmentLatencies.push_back(Latencies[Index]);
    Segments[Part.Name] = summarizeLatencies(SegmentLatencies);
  }
  return {{"services", Services},
          {"segments", Segments},
          {"latency", summarizeLatencies(TimedLatencies)},
          {"distribution", cumulativeDistribution(TimedLatencies)}};
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  try {
    if (ArgumentCount != 2)
      throw std::invalid_argument("usage: ideal EXPERIMENT.json");
    std::cout << replayExperiment(Arguments[1]).dump(1) << '\n';
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << "ideal: " << Error.what() << '\n';
    return 1;
  }
}
