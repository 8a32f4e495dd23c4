#include "load/check.hpp"

#include <nlohmann/json.hpp>
#include <unordered_map>

namespace jujubecart::dev {

using nlohmann::json;

json compare(const Experiment &Plan, const std::vector<Arrival> &All,
             const std::vector<Sample> &Samples, const json &Runs) {
  std::unordered_map<std::uint64_t, std::uint32_t> RunsOf;
  std::unordered_map<std::string, std::uint32_t> RunsOfKey;
  for (const json &Run : Runs) {
    if (const auto Draw = parseDraw(Run.at(0).get_ref<const std::string &>()))
      ++RunsOf[*Draw];
    const auto &Key = Run.at(1).get_ref<const std::string &>();
    if (!Key.empty())
      ++RunsOfKey[Key];
  }
  std::uint64_t FalseNotRun = 0;
  std::uint64_t CompleteNotRun = 0;
  std::uint64_t RepeatedLookups = 0;
  for (const Sample &Item : Samples) {
    const Arrival &Cause = All[Item.Arrival];
    const auto Found = RunsOf.find(Cause.Draw);
    const std::uint32_t Count = Found == RunsOf.end() ? 0 : Found->second;
    FalseNotRun += Item.Kind == Answer::NotRun && Count > 0 ? 1 : 0;
    CompleteNotRun += Item.Kind == Answer::Complete && Count == 0 ? 1 : 0;
    RepeatedLookups += !Plan.Services[Cause.Service].Order && Count > 1 ? 1 : 0;
  }
  json Duplicates = json::array();
  for (const auto &[Key, Count] : RunsOfKey)
    if (Count > 1)
      Duplicates.push_back(Key);
  return {{"orders_run", RunsOfKey.size()},
          {"duplicate_orders", Duplicates.size()},
          {"duplicate_order_keys", Duplicates},
          {"false_not_run", FalseNotRun},
          {"complete_without_run", CompleteNotRun},
          {"repeated_lookups", RepeatedLookups},
          {"runs", Runs.size()}};
}

} // namespace jujubecart::dev
