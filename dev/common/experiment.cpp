#include "common/experiment.hpp"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <csignal>
#include <fstream>
#include <stdexcept>

namespace jujubecart::dev {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

int parseSignal(const std::string &Name) {
  if (Name == "KILL")
    return SIGKILL;
  if (Name == "STOP")
    return SIGSTOP;
  if (Name == "CONT")
    return SIGCONT;
  if (Name == "TERM")
    return SIGTERM;
  throw std::invalid_argument("unknown signal \"" + Name + "\"");
}

EntryVm readEntry(const json &Value) {
  return {Value.at("id"), Value.at("address"), Value.value("ready", ""),
          Value.value("zone", "")};
}

ServiceLoad readServiceLoad(const json &Value) {
  ServiceLoad Load;
  Load.Name = Value.at("name");
  Load.Host = Value.at("host");
  Load.Path = Value.value("path", "/");
  Load.IsOrder = Value.value("kind", "lookup") == "order";
  Load.RatePerSecond = Value.at("rate");
  Load.Deadline = milliseconds(Value.value("deadline_ms", 2000));
  Load.SlotZones = Value.value("slot_zones", std::vector<std::string>{});
  return Load;
}

Fault readFault(const json &Value) {
  Fault Result;
  Result.At = milliseconds(Value.at("at_ms").get<std::int64_t>());
  if (Value.contains("signal")) {
    Result.Pid = Value.at("pid");
    Result.Signal = parseSignal(Value.at("signal"));
    // kill() treats ids of 0 and below as process groups; 1 is init.
    if (Result.Pid <= 1)
      throw std::invalid_argument("a fault needs a process id above 1");
  } else {
    Result.Address = Value.at("address");
    Result.Path = Value.at("path");
    Result.Body = Value.at("body").dump();
  }
  return Result;
}

Segment readSegment(const json &Value) {
  return {Value.at("name"),
          milliseconds(Value.at("from_ms").get<std::int64_t>()),
          milliseconds(Value.at("to_ms").get<std::int64_t>()),
          Value.value("excluded", std::vector<std::string>{})};
}

double rateFactorAt(const Experiment &Plan, double ElapsedS) {
  double Factor = 1.0;
  for (const RateStep &Step : Plan.RateSteps)
    if (std::chrono::duration<double>(Step.At).count() <= ElapsedS)
      Factor = Step.Factor;
  return Factor;
}

void appendArrivals(const Experiment &Plan, std::uint32_t ServiceIndex,
                    std::vector<Arrival> &Arrivals) {
  const double DurationS = std::chrono::duration<double>(Plan.Duration).count();
  const double RatePerSecond = Plan.Services[ServiceIndex].RatePerSecond;
  const std::uint64_t StreamSeed =
      splitMix64(splitMix64(Plan.Seed) ^ ServiceIndex);
  boost::random::mt19937_64 Random(StreamSeed);
  boost::random::exponential_distribution<double> Interval(1.0);
  // A rate of 0 produces no arrivals; the interval would be infinite.
  if (RatePerSecond <= 0.0)
    return;
  double DueS = 0.0;
  for (std::uint64_t Index = 0;; ++Index) {
    DueS += Interval(Random) /
            (RatePerSecond * std::max(rateFactorAt(Plan, DueS), 1e-6));
    if (DueS >= DurationS)
      return;
    Arrivals.push_back(
        {std::chrono::nanoseconds(static_cast<std::int64_t>(DueS * 1e9)),
         splitMix64(StreamSeed + Index), ServiceIndex});
  }
}

} // namespace

Experiment readExperiment(const std::string &File) {
  std::ifstream Input(File);
  if (!Input)
    throw std::runtime_error("cannot open \"" + File + "\"");
  const json Value = json::parse(Input);
  Experiment Plan;
  Plan.Seed = Value.at("seed");
  Plan.Duration = milliseconds(Value.at("length_ms").get<std::int64_t>());
  Plan.MaxRequests = Value.value("count", std::size_t{0});
  Plan.Warmup = milliseconds(Value.value("warmup_ms", 0));
  for (const json &Entry : Value.at("entries"))
    Plan.Entries.push_back(readEntry(Entry));
  for (const json &Service : Value.at("services"))
    Plan.Services.push_back(readServiceLoad(Service));
  for (const json &Step : Value.value("shape", json::array()))
    Plan.RateSteps.push_back(
        {milliseconds(Step.at("at_ms").get<std::int64_t>()),
         Step.at("factor").get<double>()});
  for (const json &Item : Value.value("faults", json::array()))
    Plan.Faults.push_back(readFault(Item));
  for (const json &Item : Value.value("segments", json::array()))
    Plan.Segments.push_back(readSegment(Item));
  const std::string DistributionName = Value.value("distribution", "lognormal");
  const auto Parsed = parseDistribution(DistributionName);
  if (!Parsed)
    throw std::invalid_argument("unknown distribution \"" + DistributionName +
                                "\"");
  Plan.ServiceTimes = {*Parsed, Value.value("mean_ms", 10.0)};
  Plan.CallerDelay = std::chrono::microseconds(Value.value("caller_leg_us", 0));
  Plan.ZoneDelay = std::chrono::microseconds(Value.value("zone_leg_us", 0));
  Plan.BackendControl = Value.value("backends", "");
  Plan.ConnectionsPerEntry = Value.value("connections_per_entry", 8);
  Plan.WindowLength = milliseconds(Value.value("window_ms", 100));
  if (Plan.Entries.empty() || Plan.Services.empty())
    throw std::invalid_argument(
        "an experiment needs at least one entry VM and one service");
  return Plan;
}

std::vector<Arrival> generateArrivals(const Experiment &Plan) {
  std::vector<Arrival> Arrivals;
  for (std::uint32_t ServiceIndex = 0; ServiceIndex < Plan.Services.size();
       ++ServiceIndex)
    appendArrivals(Plan, ServiceIndex, Arrivals);
  std::sort(Arrivals.begin(), Arrivals.end(),
            [](const Arrival &Left, const Arrival &Right) {
              return Left.Due < Right.Due;
            });
  if (Plan.MaxRequests > 0 && Arrivals.size() > Plan.MaxRequests)
    Arrivals.resize(Plan.MaxRequests);
  return Arrivals;
}

} // namespace jujubecart::dev
