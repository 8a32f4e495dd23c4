#include "load/results.hpp"

#include "common/percentiles.hpp"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace jujubecart::dev {

using nlohmann::json;

const char *toString(Answer Kind) noexcept {
  static constexpr const char *Names[] = {
      "complete", "not_run", "unknown", "unlabelled",
      "wrong",    "cut",     "silent",  "no_connection"};
  return Names[static_cast<std::size_t>(Kind)];
}

namespace {

struct Group {
  std::vector<double> Latencies;
  std::vector<double> Rejections;
  std::map<std::string, std::uint64_t> Answers;
  std::map<std::string, std::uint64_t> Statuses;

  void add(const Sample &Item) {
    ++Answers[toString(Item.Kind)];
    ++Statuses[std::to_string(Item.Status)];
    if (Item.Kind == Answer::Complete)
      Latencies.push_back(Item.LatencyMs);
    if (Item.Kind == Answer::NotRun)
      Rejections.push_back(Item.LatencyMs);
  }

  [[nodiscard]] json describe() const {
    return {{"latency", summary(Latencies)},
            {"rejection_latency", summary(Rejections)},
            {"answers", Answers},
            {"statuses", Statuses}};
  }
};

bool inside(const Experiment &Plan, const Segment &Part, const Arrival &Cause,
            const Sample &Item) {
  if (Cause.Due < Part.From || Cause.Due >= Part.To)
    return false;
  const std::string &Entry = Plan.Entries[Item.Entry].Id;
  return std::find(Part.Excluded.begin(), Part.Excluded.end(), Entry) ==
         Part.Excluded.end();
}

json segments(const Experiment &Plan, const std::vector<Arrival> &All,
              const std::vector<Sample> &Samples) {
  json Result = json::object();
  for (const Segment &Part : Plan.Segments) {
    Group Members;
    std::map<std::string, Group> Services;
    for (const Sample &Item : Samples) {
      const Arrival &Cause = All[Item.Arrival];
      if (!inside(Plan, Part, Cause, Item))
        continue;
      Members.add(Item);
      Services[Plan.Services[Cause.Service].Name].add(Item);
    }
    Result[Part.Name] = Members.describe();
    for (const auto &[Name, Service] : Services)
      Result[Part.Name]["services"][Name] = Service.describe();
  }
  return Result;
}

json windows(const Experiment &Plan, const std::vector<Arrival> &All,
             const std::vector<Sample> &Samples) {
  std::map<std::int64_t, Group> ByTime;
  for (const Sample &Item : Samples)
    ByTime[All[Item.Arrival].Due / Plan.Window].add(Item);
  json Result = json::array();
  for (const auto &[Index, Window] : ByTime) {
    json Line = summary(Window.Latencies);
    Line["at_ms"] = Index * Plan.Window.count();
    Line["answers"] = Window.Answers;
    Result.push_back(std::move(Line));
  }
  return Result;
}

} // namespace

json summarize(const Experiment &Plan, const std::vector<Arrival> &All,
               const std::vector<Sample> &Samples) {
  Group Whole;
  std::map<std::string, Group> Services;
  std::vector<double> Lateness;
  for (const Sample &Item : Samples) {
    const Arrival &Cause = All[Item.Arrival];
    Lateness.push_back(Item.LateMs);
    if (Cause.Due < Plan.Warmup)
      continue;
    Whole.add(Item);
    Services[Plan.Services[Cause.Service].Name].add(Item);
  }
  json Result = Whole.describe();
  Result["due"] = All.size();
  Result["answered"] = Samples.size();
  Result["lateness"] = summary(Lateness);
  Result["distribution"] = distribution(Whole.Latencies);
  for (const auto &[Name, Service] : Services)
    Result["services"][Name] = Service.describe();
  Result["segments"] = segments(Plan, All, Samples);
  Result["windows"] = windows(Plan, All, Samples);
  return Result;
}

} // namespace jujubecart::dev
