#include "fake_backends/record.hpp"

#include "common/draw.hpp"

#include <nlohmann/json.hpp>

namespace jujubecart::dev {

std::size_t RunRecord::start(std::uint64_t Draw, std::string OrderKey,
                             std::string Server) {
  Runs.push_back({Draw, std::move(OrderKey), std::move(Server),
                  std::chrono::system_clock::now(), RunEnd::Running});
  return Runs.size() - 1;
}

nlohmann::json RunRecord::toJson() const {
  static constexpr const char *EndNames[] = {"running", "completed",
                                             "cancelled"};
  nlohmann::json All = nlohmann::json::array();
  for (const Run &Item : Runs) {
    const double StartedMs = std::chrono::duration<double, std::milli>(
                                 Item.Started.time_since_epoch())
                                 .count();
    All.push_back({formatDraw(Item.Draw), Item.OrderKey, Item.Server, StartedMs,
                   EndNames[static_cast<std::size_t>(Item.End)]});
  }
  return All;
}

} // namespace jujubecart::dev
