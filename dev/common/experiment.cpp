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

int signalNumber(const std::string &Name) {
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
  Load.Order = Value.value("kind", "lookup") == "order";
  Load.Rate = Value.at("rate");
  Load.Deadline = milliseconds(Value.value("deadline_ms", 2000));
  Load.SlotZones = Value.value("slot_zones", std::vector<std::string>{});
  return Load;
}

Fault readFault(const json &Value) {
  Fault Item;
  Item.At = milliseconds(Value.at("at_ms").get<std::int64_t>());
  if (Value.contains("signal")) {
    Item.Pid = Value.at("pid");
    Item.Signal = signalNumber(Value.at("signal"));
    // Zero and negative ids address process groups.
    if (Item.Pid <= 1)
      throw std::invalid_argument("a fault needs the id of one process");
  } else {
    Item.Address = Value.at("address");
    Item.Path = Value.at("path");
    Item.Body = Value.at("body").dump();
  }
  return Item;
}

Segment readSegment(const json &Value) {
  return {Value.at("name"),
          milliseconds(Value.at("from_ms").get<std::int64_t>()),
          milliseconds(Value.at("to_ms").get<std::int64_t>()),
          Value.value("excluded", std::vector<std::string>{})};
}

double factorAt(const Experiment &Plan, double Seconds) {
  double Factor = 1.0;
  for (const RateStep &Step : Plan.Shape)
    if (std::chrono::duration<double>(Step.At).count() <= Seconds)
      Factor = Step.Factor;
  return Factor;
}

void addArrivals(const Experiment &Plan, std::uint32_t Service,
                 std::vector<Arrival> &All) {
  const double Length = std::chrono::duration<double>(Plan.Length).count();
  const double Rate = Plan.Services[Service].Rate;
  const std::uint64_t Stream = mix(mix(Plan.Seed) ^ Service);
  boost::random::mt19937_64 Random(Stream);
  boost::random::exponential_distribution<double> Gap(1.0);
  // With a rate of 0 nothing is ever due, and the gap would be infinite.
  if (Rate <= 0.0)
    return;
  double At = 0.0;
  for (std::uint64_t Number = 0;; ++Number) {
    At += Gap(Random) / (Rate * std::max(factorAt(Plan, At), 1e-6));
    if (At >= Length)
      return;
    All.push_back(
        {std::chrono::nanoseconds(static_cast<std::int64_t>(At * 1e9)),
         mix(Stream + Number), Service});
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
  Plan.Length = milliseconds(Value.at("length_ms").get<std::int64_t>());
  Plan.Count = Value.value("count", std::size_t{0});
  Plan.Warmup = milliseconds(Value.value("warmup_ms", 0));
  for (const json &Entry : Value.at("entries"))
    Plan.Entries.push_back(readEntry(Entry));
  for (const json &Service : Value.at("services"))
    Plan.Services.push_back(readServiceLoad(Service));
  for (const json &Step : Value.value("shape", json::array()))
    Plan.Shape.push_back({milliseconds(Step.at("at_ms").get<std::int64_t>()),
                          Step.at("factor").get<double>()});
  for (const json &Item : Value.value("faults", json::array()))
    Plan.Faults.push_back(readFault(Item));
  for (const json &Item : Value.value("segments", json::array()))
    Plan.Segments.push_back(readSegment(Item));
  const std::string Shape = Value.value("distribution", "lognormal");
  const auto Parsed = parseDistribution(Shape);
  if (!Parsed)
    throw std::invalid_argument("unknown distribution \"" + Shape + "\"");
  Plan.Times = {*Parsed, Value.value("mean_ms", 10.0)};
  Plan.CallerLeg = std::chrono::microseconds(Value.value("caller_leg_us", 0));
  Plan.ZoneLeg = std::chrono::microseconds(Value.value("zone_leg_us", 0));
  Plan.Backends = Value.value("backends", "");
  Plan.Connections = Value.value("connections_per_entry", 8);
  Plan.Window = milliseconds(Value.value("window_ms", 100));
  if (Plan.Entries.empty() || Plan.Services.empty())
    throw std::invalid_argument("an experiment needs entries and services");
  return Plan;
}

std::vector<Arrival> arrivals(const Experiment &Plan) {
  std::vector<Arrival> All;
  for (std::uint32_t Service = 0; Service < Plan.Services.size(); ++Service)
    addArrivals(Plan, Service, All);
  std::sort(All.begin(), All.end(),
            [](const Arrival &Left, const Arrival &Right) {
              return Left.Due < Right.Due;
            });
  if (Plan.Count > 0 && All.size() > Plan.Count)
    All.resize(Plan.Count);
  return All;
}

} // namespace jujubecart::dev
