#include "load/check.hpp"

#include <nlohmann/json.hpp>
#include <unordered_map>

namespace jujubecart::dev {

using nlohmann::json;

json checkAgainstRuns(const Experiment &Plan,
                      const std::vector<Arrival> &Arrivals,
                      const std::vector<CallResult> &Results,
                      const json &Runs) {
  std::unordered_map<std::uint64_t, std::uint32_t> RunsByDraw;
  std::unordered_map<std::string, std::uint32_t> RunsByKey;
  for (const json &Run : Runs) {
    if (const auto Draw = parseDraw(Run.at(0).get_ref<const std::string &>()))
      ++RunsByDraw[*Draw];
    const auto &Key = Run.at(1).get_ref<const std::string &>();
    if (!Key.empty())
      ++RunsByKey[Key];
  }
  std::uint64_t FalseNotRun = 0;
  std::uint64_t CompleteWithoutRun = 0;
  std::uint64_t RepeatedLookups = 0;
  for (const CallResult &Result : Results) {
    const Arrival &Call = Arrivals[Result.ArrivalIndex];
    const auto Found = RunsByDraw.find(Call.Draw);
    const std::uint32_t Count = Found == RunsByDraw.end() ? 0 : Found->second;
    FalseNotRun += Result.Outcome == CallOutcome::NotRun && Count > 0 ? 1 : 0;
    CompleteWithoutRun +=
        Result.Outcome == CallOutcome::Complete && Count == 0 ? 1 : 0;
    RepeatedLookups +=
        !Plan.Services[Call.ServiceIndex].IsOrder && Count > 1 ? 1 : 0;
  }
  json Duplicates = json::array();
  for (const auto &[Key, Count] : RunsByKey)
    if (Count > 1)
      Duplicates.push_back(Key);
  return {{"orders_run", RunsByKey.size()},
          {"duplicate_orders", Duplicates.size()},
          {"duplicate_order_keys", Duplicates},
          {"false_not_run", FalseNotRun},
          {"complete_without_run", CompleteWithoutRun},
          {"repeated_lookups", RepeatedLookups},
          {"runs", Runs.size()}};
}

} // namespace jujubecart::dev
