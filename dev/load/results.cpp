#include "load/results.hpp"

#include "common/percentiles.hpp"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace jujubecart::dev {

using nlohmann::json;

const char *toString(CallOutcome Outcome) noexcept {
  static constexpr const char *Names[] = {
      "complete", "not_run", "unknown", "unlabelled",
      "wrong",    "cut",     "silent",  "no_connection"};
  return Names[static_cast<std::size_t>(Outcome)];
}

namespace {

// Latencies and outcome counts of a set of results.
struct Aggregate {
  std::vector<double> Latencies;
  std::vector<double> RejectionLatencies;
  std::map<std::string, std::uint64_t> OutcomeCounts;
  std::map<std::string, std::uint64_t> StatusCounts;

  void add(const CallResult &Result) {
    ++OutcomeCounts[toString(Result.Outcome)];
    ++StatusCounts[std::to_string(Result.Status)];
    if (Result.Outcome == CallOutcome::Complete)
      Latencies.push_back(Result.LatencyMs);
    if (Result.Outcome == CallOutcome::NotRun)
      RejectionLatencies.push_back(Result.LatencyMs);
  }

  [[nodiscard]] json toJson() const {
    return {{"latency", summarizeLatencies(Latencies)},
            {"rejection_latency", summarizeLatencies(RejectionLatencies)},
            {"answers", OutcomeCounts},
            {"statuses", StatusCounts}};
  }
};

// Whether a request was due in a segment and sent to an entry VM that the
// segment does not exclude.
bool isInSegment(const Experiment &Plan, const Segment &Part,
                 const Arrival &Call, const CallResult &Result) {
  if (Call.Due < Part.From || Call.Due >= Part.To)
    return false;
  const std::string &EntryId = Plan.Entries[Result.EntryIndex].Id;
  return std::find(Part.Excluded.begin(), Part.Excluded.end(), EntryId) ==
         Part.Excluded.end();
}

json summarizeSegments(const Experiment &Plan,
                       const std::vector<Arrival> &Arrivals,
                       const std::vector<CallResult> &Results) {
  json Report = json::object();
  for (const Segment &Part : Plan.Segments) {
    Aggregate Total;
    std::map<std::string, Aggregate> Services;
    for (const CallResult &Result : Results) {
      const Arrival &Call = Arrivals[Result.ArrivalIndex];
      if (!isInSegment(Plan, Part, Call, Result))
        continue;
      Total.add(Result);
      Services[Plan.Services[Call.ServiceIndex].Name].add(Result);
    }
    Report[Part.Name] = Total.toJson();
    for (const auto &[Name, Service] : Services)
      Report[Part.Name]["services"][Name] = Service.toJson();
  }
  return Report;
}

json summarizeWindows(const Experiment &Plan,
                      const std::vector<Arrival> &Arrivals,
                      const std::vector<CallResult> &Results) {
  std::map<std::int64_t, Aggregate> ByWindow;
  for (const CallResult &Result : Results)
    ByWindow[Arrivals[Result.ArrivalIndex].Due / Plan.WindowLength].add(Result);
  json Report = json::array();
  for (const auto &[Index, Window] : ByWindow) {
    json Summary = summarizeLatencies(Window.Latencies);
    Summary["at_ms"] = Index * Plan.WindowLength.count();
    Summary["answers"] = Window.OutcomeCounts;
    Report.push_back(std::move(Summary));
  }
  return Report;
}

} // namespace

json summarize(const Experiment &Plan, const std::vector<Arrival> &Arrivals,
               const std::vector<CallResult> &Results) {
  Aggregate Total;
  std::map<std::string, Aggregate> Services;
  std::vector<double> Lateness;
  for (const CallResult &Result : Results) {
    const Arrival &Call = Arrivals[Result.ArrivalIndex];
    Lateness.push_back(Result.LatenessMs);
    if (Call.Due < Plan.Warmup)
      continue;
    Total.add(Result);
    Services[Plan.Services[Call.ServiceIndex].Name].add(Result);
  }
  json Report = Total.toJson();
  Report["due"] = Arrivals.size();
  Report["answered"] = Results.size();
  Report["lateness"] = summarizeLatencies(Lateness);
  Report["distribution"] = cumulativeDistribution(Total.Latencies);
  for (const auto &[Name, Service] : Services)
    Report["services"][Name] = Service.toJson();
  Report["segments"] = summarizeSegments(Plan, Arrivals, Results);
  Report["windows"] = summarizeWindows(Plan, Arrivals, Results);
  return Report;
}

} // namespace jujubecart::dev
