#include "common/percentiles.hpp"
#include "ideal/replay.hpp"

#include <iostream>
#include <stdexcept>

using namespace jujubecart::dev;
using nlohmann::json;

namespace {

json run(const std::string &File) {
  const Experiment Plan = readExperiment(File);
  for (const ServiceLoad &Service : Plan.Services)
    if (Service.SlotZones.empty())
      throw std::invalid_argument("service \"" + Service.Name +
                                  "\" has no slot_zones");
  const std::vector<Arrival> All = arrivals(Plan);
  const std::vector<double> Latencies = replay(Plan, All);
  std::vector<double> Timed;
  for (std::size_t Index = 0; Index < All.size(); ++Index)
    if (All[Index].Due >= Plan.Warmup)
      Timed.push_back(Latencies[Index]);
  return {{"latency", summary(Timed)}, {"distribution", distribution(Timed)}};
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  try {
    if (ArgumentCount != 2)
      throw std::invalid_argument("usage: ideal EXPERIMENT.json");
    std::cout << run(Arguments[1]).dump(1) << '\n';
    return 0;
  } catch (const std::exception &Problem) {
    std::cerr << "ideal: " << Problem.what() << '\n';
    return 1;
  }
}
